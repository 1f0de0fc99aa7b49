// Package backend sends requests to backend servers over HTTP/1.1, one request
// at a time per connection, and never sends a request twice. It decides what
// each failure proves about the run of the request.
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

// Headers of the interface to backend servers. Every answer to a request,
// including one that sheds it, carries its request ID.
const (
	HeaderRequestID = "Wisteria-Request-Id"
	HeaderShed      = "Wisteria-Shed"
	HeaderDraining  = "Wisteria-Draining"
	HeaderDeadline  = "Wisteria-Deadline-Ms"
	HeaderRank      = "Wisteria-Rank"
)

const (
	// FirstByteTimeout abandons a connection without a first byte of the answer.
	FirstByteTimeout = 3 * time.Second
	// LivenessWindow is how recent the last answer on a connection must be for
	// non-idempotent work.
	LivenessWindow = time.Second
	// refusalMemory keeps new work from a server that refused a connection.
	refusalMemory = time.Second
	// maxConnectionTries bounds the connections that one request tries before
	// any of its bytes are written.
	maxConnectionTries = 3
	// maxAnswerBytes leaves room for the envelope in a frame between hosts.
	maxAnswerBytes = 8 << 20
)

// Request is one request for a backend server.
type Request struct {
	ID          string
	Path        string
	Rank        string
	ContentType string
	Idempotent  bool
	// Retry says that an earlier attempt failed, so that this one gets all of
	// the remaining time.
	Retry    bool
	Deadline time.Time
	Body     []byte
}

// needsProof reports whether the request starts only on a proven connection:
// one that must not run twice, and a retry, which may have no time left for
// another silent connection.
func (r Request) needsProof() bool { return !r.Idempotent || r.Retry }

// Outcome is the outcome of one request.
type Outcome struct {
	Code        result.Code
	Detail      string
	Status      int
	ContentType string
	Body        []byte
	// Draining says that the backend server announced that it leaves.
	Draining bool
}

// Server is the connections to one backend server. It is safe for concurrent
// use.
type Server struct {
	spec      document.Server
	transport *http.Transport

	mu   sync.Mutex
	idle []*connection // in order of their last answer
	open int
	// typical is a moving average of the time to the first byte of an answer.
	typical   time.Duration
	refusedAt time.Time
	// announced and reportsDraining are the two ways to learn that the server
	// leaves: an answer's header and the health endpoint.
	announced       bool
	reportsDraining bool
	closed          bool
}

// NewServer returns a server without connections.
func NewServer(spec document.Server) *Server {
	return &Server{
		spec: spec,
		transport: &http.Transport{
			DialContext:        dialedConn,
			DisableCompression: true,
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
	return s.refusedAt.IsZero() || now.Sub(s.refusedAt) > refusalMemory
}

// Draining reports whether the server announced in an answer or its health
// endpoint that it leaves.
func (s *Server) Draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.announced || s.reportsDraining
}

// Do runs the request once. It never sends it a second time: it takes another
// connection only if no byte was written on the first, which happens when the
// server closes an idle connection at that moment.
func (s *Server) Do(ctx context.Context, req Request, answerTimeout time.Duration) Outcome {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	var answer Outcome
	for range maxConnectionTries {
		conn, refused := s.acquire(ctx, req)
		if refused != nil {
			return Outcome{Code: refused.Code, Detail: refused.Detail}
		}
		var reusable bool
		answer, reusable = s.roundTrip(ctx, conn, req, answerTimeout)
		if reusable {
			s.release(conn)
			return answer
		}
		s.abandon(conn)
		if answer.Code != result.ConnectFailed || ctx.Err() != nil {
			return answer
		}
	}
	return answer
}

// patience is how long to wait for the first byte. The first attempt of
// idempotent work leaves half of its time for another one, unless answers
// usually take so long that the server is rather slow than silent.
func (s *Server) patience(req Request, answerTimeout, remaining time.Duration) time.Duration {
	const slowFactor = 8
	wait := min(FirstByteTimeout, answerTimeout)
	if !req.Idempotent || req.Retry {
		return wait
	}
	s.mu.Lock()
	typical := s.typical
	s.mu.Unlock()
	return min(wait, max(remaining/2, slowFactor*typical))
}

// observe updates the moving average of the time to the first byte.
func (s *Server) observe(took time.Duration) {
	const weight = 8
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.typical == 0 {
		s.typical = took
	}
	s.typical += (took - s.typical) / weight
}

// dialedConn hands the connection of newConnection to the HTTP library.
func dialedConn(ctx context.Context, _, _ string) (net.Conn, error) {
	return ctx.Value(dialedKey{}).(*trackedConn), nil
}

type dialedKey struct{}
