// Package model defines the identifiers and records that the other packages
// share.
package model

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// HostID is the name of a host.
type HostID string

// Region is the name of a region.
type Region string

// FailureDomain is the name of a failure domain within a region.
type FailureDomain string

// ServerID is the name of a backend server.
type ServerID string

// Service is the name of a service that backend servers provide.
type Service string

// Rank is the name of a class of work. The operators' document defines its
// priority.
type Rank string

// Generation is the version of a document in the store. The generation that a
// host uses never decreases.
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

// Host states. Other hosts determine suspect and dead; the host itself reports
// the others.
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

// HostRecord is the entry of one host in the membership view.
type HostRecord struct {
	Host          HostID
	Region        Region
	FailureDomain FailureDomain
	// CallerAddress accepts connections of callers, PeerAddress those of other
	// entry hosts.
	CallerAddress string
	PeerAddress   string
	AgentAddress  string
	LookupAddress string
	// Incarnation is the incarnation of the agent process; it orders records.
	Incarnation Incarnation
	// Sequence orders the records of one incarnation.
	Sequence uint64
	State    HostState
	// EntryIncarnation is the incarnation of the entry process, which owner
	// tokens contain.
	EntryIncarnation Incarnation
}

// Newer reports whether r supersedes other.
func (r HostRecord) Newer(other HostRecord) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	return r.Sequence > other.Sequence
}

// OwnerToken identifies the entry process that owns a non-idempotent request.
// It is the first part of the request's ID.
type OwnerToken struct {
	Host        HostID
	Incarnation Incarnation
	// IssuedAt has a resolution of one second.
	IssuedAt time.Time
}

// String returns the form that lookup responses contain.
func (t OwnerToken) String() string {
	return fmt.Sprintf("%s.%d.%d", t.Host, t.Incarnation, t.IssuedAt.Unix())
}

// ownerTokenParts is the number of dot-separated parts of an owner token.
const ownerTokenParts = 3

// ParseRequestID splits the ID of a non-idempotent request into its owner
// token and the caller's unique part. Host names contain no dots, so that the
// parts are unambiguous.
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
