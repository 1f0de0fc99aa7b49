// Package callers serves HTTP/1.1 connections of callers with pipelining: it
// reads further requests of a connection before the earlier ones are done, runs
// them concurrently and writes the responses in the order of the requests.
//
// A request's context ends when its caller closes the connection.
package callers

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/bounded"
)

// Request is one request with its whole body.
type Request struct {
	*http.Request
	Body []byte
	// Target is the request target as the caller sent it.
	Target string
	// Received is when the header was complete.
	Received time.Time
}

// Response is a response with its whole body.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Memory, if set, is reserved for the response. The server releases it when the
	// response is written or dropped.
	Memory *bounded.Reservation
	// Close ends the connection after the response.
	Close bool
}

// Handler returns the response to one request. It is called concurrently.
type Handler func(ctx context.Context, req *Request) Response

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	BodyTimeout    time.Duration
	IdleTimeout    time.Duration
}

// Server serves the connections of one listener.
type Server struct {
	handler Handler
	limits  func() Limits
	// refused counts the requests that got an error response without a call of
	// the handler.
	refused atomic.Int64

	draining atomic.Bool
	memory   *bounded.Budget

	mu       sync.Mutex
	listener net.Listener
	conns    map[*conn]struct{}
	// closing is set once CloseIdle was called.
	closing bool
	// refusing is set once RefuseUnread was called.
	refusing bool
	wg       sync.WaitGroup
}

// NewServer returns a server. limits is called for every request. bodyMemory
// bounds the bytes of request bodies that are held at the same time.
func NewServer(handler Handler, limits func() Limits, bodyMemory int64) *Server {
	return &Server{handler: handler, limits: limits, memory: bounded.New(bodyMemory), conns: make(map[*conn]struct{})}
}

// Serve accepts connections until the listener is closed or CloseIdle is called.
func (s *Server) Serve(l net.Listener) error {
	const acceptPause = 20 * time.Millisecond // lets file descriptors be closed if the process is out of them
	s.wg.Add(1)
	defer s.wg.Done()
	s.mu.Lock()
	s.listener = l
	s.interruptAccept()
	s.mu.Unlock()
	for {
		raw, err := l.Accept()
		var temporary net.Error
		switch {
		case err == nil:
			s.start(raw)
		case errors.Is(err, net.ErrClosed):
			return nil
		case errors.Is(err, os.ErrDeadlineExceeded):
			s.acceptQueued(l)
			return nil
		case errors.As(err, &temporary):
			time.Sleep(acceptPause)
		default:
			return err
		}
	}
}

// start serves an accepted connection.
func (s *Server) start(raw net.Conn) {
	c := newConn(s, raw)
	s.mu.Lock()
	s.conns[c] = struct{}{}
	if s.closing {
		c.finishReading()
	}
	c.refusing = s.refusing
	s.mu.Unlock()
	s.wg.Go(func() {
		c.serve()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	})
}

// Drain closes each connection after the response to its next request, or to the
// last one in flight if no further request has begun to arrive.
func (s *Server) Drain() { s.draining.Store(true) }

// Wait waits until Serve has ended and all connections are closed, at most for
// limit. It reports whether they are.
func (s *Server) Wait(limit time.Duration) bool {
	done := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
		return true
	case <-time.After(limit):
		return false
	}
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Refused returns the number of requests that got an error response without a
// call of the handler: invalid, late or over the limits.
func (s *Server) Refused() int64 { return s.refused.Load() }
