// Package host implements one entry host: it answers lookups, accepts callers'
// requests and forwards them directly to backend servers. Decisions are made
// in packages without I/O; this package connects them to sockets.
package host

import (
	"net/http"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/callers"
	"github.com/wisteriacrank/wisteriacrank/internal/upstream"
	"github.com/wisteriacrank/wisteriacrank/pkg/scheduler"
)

// Call holds what a caller's request states beyond plain HTTP.
type Call struct {
	ID string
	// TimeLeft is how long the caller waits, or 0 if the request does not state it.
	TimeLeft time.Duration
	// Object is the key of the object that the request concerns, or empty.
	Object string
}

// Forward holds what a forwarded request states beyond plain HTTP.
type Forward struct {
	TimeLeft time.Duration
	// Server is the only server that may run the request.
	Server string
}

// Report holds what a backend server's response states beyond plain HTTP.
type Report struct {
	// NotRun means that the server guarantees that the request did not run.
	NotRun bool
	// Leaving means that the server is leaving and wants no new requests.
	Leaving bool
	// Signed means that the response has the server's signature.
	Signed bool
	// Server is the ID of the responding server, or empty.
	Server string
	// Load is nil if the response does not state it.
	Load *scheduler.Load
	// ColdFor is how long the server stays cold.
	ColdFor time.Duration
}

// Lookup is a query for the hosts that a caller should use.
type Lookup struct {
	Name   string
	Region string
	Domain string
}

// Protocol encodes and decodes the platform's additions to HTTP between
// callers, hosts and backend servers. Implementations are safe for concurrent
// use.
type Protocol interface {
	DecodeCall(*http.Request) (Call, error)
	// EncodeForward sets the headers of a request to a backend server.
	EncodeForward(http.Header, Forward)
	// MatchResponse reports whether a response belongs to the request with the ID.
	MatchResponse(h http.Header, requestID string) upstream.Match
	DecodeResponse(status int, h http.Header) Report
	// IsEndToEnd reports whether a header is part of what callers and servers state to
	// each other, in any case of its name.
	IsEndToEnd(name string) bool
	// DecodeLookup reports false for a request that is not a lookup.
	DecodeLookup(*http.Request) (Lookup, bool)
	EncodeLookup(addresses []string, ttl time.Duration) (callers.Response, error)
	// IsReadinessCheck reports whether a request asks if this host is ready.
	IsReadinessCheck(*http.Request) bool
}
