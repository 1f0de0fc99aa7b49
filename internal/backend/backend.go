// Package backend sends requests to backend servers over HTTP/1.1, one request
// at a time per connection, and never sends a request twice. For each failure
// it determines whether the request may have run.
package backend

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/document"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

// Headers of the interface to backend servers. Every response to a request,
// including one that sheds it, carries its request ID.
const (
	HeaderRequestID = "Wisteria-Request-Id"
	HeaderShed      = "Wisteria-Shed"
	HeaderDraining  = "Wisteria-Draining"
	HeaderDeadline  = "Wisteria-Deadline-Ms"
	HeaderRank      = "Wisteria-Rank"
)

const (
	// FirstByteTimeout bounds the wait for the first byte of a response, and how
	// long sent bytes may stay unacknowledged.
	FirstByteTimeout = 3 * time.Second
	// LivenessWindow is how recent the last response on a connection must be for
	// non-idempotent work.
	LivenessWindow = time.Second
	// refusalBackoff is how long a server that refused a connection gets no new
	// work.
	refusalBackoff = time.Second
	// maxConnectionTries bounds the connections that one request tries before
	// any of its bytes are written.
	maxConnectionTries = 3
	// maxResponseBytes bounds the body of a response. It is below the frame limit
	// between hosts, which must also hold the envelope.
	maxResponseBytes = 8 << 20
	// maxHeadBytes bounds the head of a response. The HTTP library allows 10 MB.
	maxHeadBytes = 64 << 10
)

// Request is one request for a backend server.
type Request struct {
	ID          string
	Path        string
	Rank        string
	ContentType string
	Idempotent  bool
	// Retry reports whether an earlier attempt failed. A retry may use all of the
	// remaining time.
	Retry    bool
	Deadline time.Time
	Body     []byte
}

// needsProvenConn reports whether the request starts only on a proven
// connection. This holds for requests that must not run twice, and for retries,
// which may have no time left for another unresponsive connection.
func (r Request) needsProvenConn() bool { return !r.Idempotent || r.Retry }

// Outcome is the result code of one request, with the response if it was
// served.
type Outcome struct {
	Code        result.Code
	Detail      string
	Status      int
	ContentType string
	Body        []byte
	// Draining is set if the backend server announced in the response that it is
	// draining.
	Draining bool
}

// Server holds the connections to one backend server. It is safe for
// concurrent use.
type Server struct {
	spec      document.Server
	transport *http.Transport

	mu   sync.Mutex
	idle []*connection // in order of their last response
	open int
	// avgFirstByte is a moving average of the time to the first byte of a
	// response.
	avgFirstByte time.Duration
	refusedAt    time.Time
	// announcedDraining is set by the header of a response, reportsDraining by
	// the health endpoint.
	announcedDraining bool
	reportsDraining   bool
	closed            bool
}

// NewServer returns a server without connections.
func NewServer(spec document.Server) *Server {
	return &Server{
		spec: spec,
		transport: &http.Transport{
			DialContext:            dialedConn,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeadBytes,
		},
	}
}

// Close closes the idle connections. Requests in progress complete.
func (s *Server) Close() {
	s.mu.Lock()
	idle := s.idle
	s.idle = nil
	s.closed = true
	s.mu.Unlock()
	for _, conn := range idle {
		s.abandon(conn)
	}
}

// Reachable reports whether new work may be sent: it is false for a second
// after the server refused a connection.
func (s *Server) Reachable(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refusedAt.IsZero() || now.Sub(s.refusedAt) > refusalBackoff
}

// Draining reports whether the server announced in a response or at its health
// endpoint that it is draining.
func (s *Server) Draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.announcedDraining || s.reportsDraining
}

// Do sends the request once. It uses another connection only if no byte was
// written on the first, which happens when the server closes an idle connection
// at that moment.
func (s *Server) Do(ctx context.Context, req Request, responseTimeout time.Duration) Outcome {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	var outcome Outcome
	for range maxConnectionTries {
		conn, refused := s.acquire(ctx, req)
		if refused != nil {
			return Outcome{Code: refused.Code, Detail: refused.Detail}
		}
		var reusable bool
		outcome, reusable = s.roundTrip(ctx, conn, req, responseTimeout)
		if reusable {
			s.release(conn)
			return outcome
		}
		s.abandon(conn)
		if outcome.Code != result.ConnectFailed || ctx.Err() != nil {
			return outcome
		}
	}
	return outcome
}

// firstByteLimit returns how long to wait for the first byte. The first attempt
// of idempotent work leaves half of its time for another one, unless responses
// usually take so long that the server is more likely slow than unresponsive.
func (s *Server) firstByteLimit(req Request, responseTimeout, remaining time.Duration) time.Duration {
	const slowFactor = 8
	wait := min(FirstByteTimeout, responseTimeout)
	if !req.Idempotent || req.Retry {
		return wait
	}
	s.mu.Lock()
	average := s.avgFirstByte
	s.mu.Unlock()
	return min(wait, max(remaining/2, slowFactor*average))
}

// observeFirstByte adds a time to the first byte to the moving average.
func (s *Server) observeFirstByte(took time.Duration) {
	const weight = 8
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.avgFirstByte == 0 {
		s.avgFirstByte = took
	}
	s.avgFirstByte += (took - s.avgFirstByte) / weight
}

// dialedConn is the dial function of the HTTP library. It returns the
// connection that newConnection has opened.
func dialedConn(ctx context.Context, _, _ string) (net.Conn, error) {
	return ctx.Value(dialedKey{}).(*trackedConn), nil
}

type dialedKey struct{}
