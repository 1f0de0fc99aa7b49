// Package backend sends requests to backend servers over HTTP, one request at
// a time per connection.
package backend

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/document"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

// Headers of the interface to backend servers.
const (
	HeaderRequestID = "Wisteria-Request-Id"
	HeaderShed      = "Wisteria-Shed"
	HeaderDraining  = "Wisteria-Draining"
	HeaderDeadline  = "Wisteria-Deadline-Ms"
)

const dialTimeout = time.Second

// Request is one request for a backend server.
type Request struct {
	ID          string
	Path        string
	Rank        string
	ContentType string
	Idempotent  bool
	Deadline    time.Time
	Body        []byte
}

// Answer is the outcome of one request.
type Answer struct {
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
	idle []*http.ClientConn
}

// NewServer returns a server without connections.
func NewServer(spec document.Server) *Server {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Server{
		spec:      spec,
		transport: &http.Transport{DialContext: dialer.DialContext, DisableCompression: true},
	}
}

// Close closes the idle connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.idle {
		_ = conn.Close()
	}
	s.idle = nil
}

// Do runs the request once. It never sends it a second time.
func (s *Server) Do(ctx context.Context, req Request, answerTimeout time.Duration) Answer {
	ctx, cancel := context.WithDeadline(ctx, earlier(req.Deadline, time.Now().Add(answerTimeout)))
	defer cancel()
	conn, err := s.connection(ctx)
	if err != nil {
		return Answer{Code: result.ConnectFailed, Detail: err.Error()}
	}
	answer, reusable := s.roundTrip(ctx, conn, req)
	if reusable {
		s.release(conn)
	} else {
		_ = conn.Close()
	}
	return answer
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (s *Server) connection(ctx context.Context) (*http.ClientConn, error) {
	s.mu.Lock()
	for n := len(s.idle); n > 0; n = len(s.idle) {
		conn := s.idle[n-1]
		s.idle = s.idle[:n-1]
		if conn.Err() == nil {
			s.mu.Unlock()
			return conn, nil
		}
		_ = conn.Close()
	}
	s.mu.Unlock()
	conn, err := s.transport.NewClientConn(ctx, "http", s.spec.Address)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", s.spec.Name, err)
	}
	return conn, nil
}

func (s *Server) release(conn *http.ClientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle = append(s.idle, conn)
}

func (s *Server) roundTrip(ctx context.Context, conn *http.ClientConn, req Request) (Answer, bool) {
	httpReq, err := s.httpRequest(ctx, req)
	if err != nil {
		return Answer{Code: result.BadRequest, Detail: err.Error()}, true
	}
	resp, err := conn.RoundTrip(httpReq)
	if err != nil {
		return Answer{Code: lostCode(ctx), Detail: err.Error()}, false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.Header.Get(HeaderRequestID) != req.ID && resp.StatusCode < http.StatusInternalServerError {
		return Answer{Code: result.AnswerTruncated, Detail: "incomplete answer"}, false
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderShed) == "1" {
		return Answer{Code: result.ServerShed}, true
	}
	return Answer{
		Code:        result.Served,
		Status:      resp.StatusCode,
		ContentType: resp.Header.Get("Content-Type"),
		Body:        body,
		Draining:    resp.Header.Get(HeaderDraining) == "1",
	}, true
}

func lostCode(ctx context.Context) result.Code {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return result.DeadlineAfter
	}
	return result.ConnectionLost
}

// httpRequest builds a request that the HTTP library cannot replay: its body
// has no GetBody and it carries no idempotency header.
func (s *Server) httpRequest(ctx context.Context, req Request) (*http.Request, error) {
	url := "http://" + s.spec.Address + "/" + req.Path
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(req.Body))
	if err != nil {
		return nil, err
	}
	httpReq.GetBody = nil
	httpReq.Header.Set(HeaderRequestID, req.ID)
	httpReq.Header.Set("Content-Type", req.ContentType)
	httpReq.Header.Set(HeaderDeadline, fmt.Sprint(time.Until(req.Deadline).Milliseconds()))
	return httpReq, nil
}
