// Package model defines the identifiers and records that the coordination
// parts share.
package model

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// HostID names a host of the system.
type HostID string

// Region names a region.
type Region string

// FailureDomain names a failure domain inside a region.
type FailureDomain string

// ServerID names a backend server.
type ServerID string

// Service names a service that backend servers offer.
type Service string

// Rank names a class of work. Its priority is in the operators' document.
type Rank string

// Generation is the store version of a document. A host only moves up.
type Generation uint64

// Incarnation identifies one start of a process. A later start has a higher
// incarnation.
type Incarnation uint64

// NewIncarnation derives an incarnation from the start time.
func NewIncarnation(start time.Time) Incarnation {
	return Incarnation(start.UnixNano())
}

// HostState is the lifecycle state of a host in the membership view.
type HostState int

// Host states. Suspect and dead are judgements of other hosts; the rest is
// reported by the host itself.
const (
	HostStarting HostState = iota + 1
	HostReady
	HostStopping
	HostSuspect
	HostDead
	HostLeft
)

var hostStateNames = map[HostState]string{
	HostStarting: "starting",
	HostReady:    "ready",
	HostStopping: "stopping",
	HostSuspect:  "suspect",
	HostDead:     "dead",
	HostLeft:     "left",
}

func (s HostState) String() string {
	if name, ok := hostStateNames[s]; ok {
		return name
	}
	return "unknown"
}

// HostRecord is what the membership view knows of one host.
type HostRecord struct {
	Host          HostID
	Region        Region
	FailureDomain FailureDomain
	// CallerAddress accepts callers' requests, PeerAddress other entry hosts.
	CallerAddress string
	PeerAddress   string
	AgentAddress  string
	LookupAddress string
	// Incarnation is that of the agent process; it orders records.
	Incarnation Incarnation
	// Sequence orders the records of one incarnation.
	Sequence uint64
	State    HostState
	// EntryIncarnation is that of the entry process; owner tokens name it.
	EntryIncarnation Incarnation
}

// Newer reports whether r supersedes other.
func (r HostRecord) Newer(other HostRecord) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	return r.Sequence > other.Sequence
}

// OwnerToken names the entry process that owns a non-idempotent request. It
// is the first part of the request's ID.
type OwnerToken struct {
	Host        HostID
	Incarnation Incarnation
	// IssuedAt has a resolution of one second.
	IssuedAt time.Time
}

// String returns the form that look-up answers carry.
func (t OwnerToken) String() string {
	return fmt.Sprintf("%s.%d.%d", t.Host, t.Incarnation, t.IssuedAt.Unix())
}

// ownerTokenParts is the number of dot-separated parts of an owner token.
const ownerTokenParts = 3

// ParseRequestID splits the ID of a non-idempotent request into its owner
// token and the caller's unique part. Host names contain no dots.
func ParseRequestID(id string) (OwnerToken, string, error) {
	parts := strings.SplitN(id, ".", ownerTokenParts+1)
	if len(parts) != ownerTokenParts+1 || parts[0] == "" || parts[ownerTokenParts] == "" {
		return OwnerToken{}, "", fmt.Errorf("request ID %q has no owner token", id)
	}
	incarnation, err := strconv.ParseUint(parts[1], 10, 64)
	if err != nil {
		return OwnerToken{}, "", fmt.Errorf("request ID %q: incarnation: %w", id, err)
	}
	issued, err := strconv.ParseInt(parts[2], 10, 64)
	if err != nil {
		return OwnerToken{}, "", fmt.Errorf("request ID %q: issue time: %w", id, err)
	}
	token := OwnerToken{
		Host:        HostID(parts[0]),
		Incarnation: Incarnation(incarnation),
		IssuedAt:    time.Unix(issued, 0),
	}
	return token, parts[ownerTokenParts], nil
}
