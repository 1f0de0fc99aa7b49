// Package host is the program of one entry host: it answers look-ups, takes
// callers' requests and carries them straight to backend servers. Decisions
// are in packages without I/O; this package connects them to sockets.
package host

import (
	"net/http"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/callers"
	"github.com/wisteriacrank/wisteriacrank/internal/upstream"
	"github.com/wisteriacrank/wisteriacrank/pkg/scheduler"
)

// Call is what a caller says of a request beside HTTP itself.
type Call struct {
	ID string
	// TimeLeft is how long the caller waits; 0 if it does not say.
	TimeLeft time.Duration
	// Object names what the request concerns; empty if nothing is named.
	Object string
}

// Forward is what a backend server is told of a request.
type Forward struct {
	TimeLeft time.Duration
	// Server is the only server that may run the request.
	Server string
}

// Report is what a backend server says with an answer.
type Report struct {
	// NotRun promises that the request did not run.
	NotRun bool
	// Signed answers carry the server's proof.
	Signed bool
	// Server is the ID of the answering server, if it says so.
	Server  string
	Load    *scheduler.Load
	ColdFor time.Duration
}

// Lookup is the question which hosts a caller should use.
type Lookup struct {
	Name   string
	Region string
	Domain string
}

// Protocol encodes and decodes what callers and backend servers speak.
// Implementations are safe for concurrent use.
type Protocol interface {
	DecodeCall(*http.Request) (Call, error)
	EncodeForward(http.Header, Forward)
	MatchResponse(h http.Header, requestID string) upstream.Ownership
	DecodeResponse(status int, h http.Header) Report
	DecodeLookup(*http.Request) (Lookup, bool)
	EncodeLookup(addresses []string, ttl time.Duration) (callers.Answer, error)
	IsReadinessCheck(*http.Request) bool
}
