package backend

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/livedial"
	"github.com/wisteriacrank/wisteriacrank/internal/responsehead"
)

const (
	dialTimeout = time.Second
	// TCP keepalive detects a lost peer on an idle connection within 3 s.
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// errSealed is returned for a write after the request was abandoned.
var errSealed = errors.New("connection is abandoned")

// trackedConn counts the bytes that the kernel accepted, so that a failed
// request with no byte written is known not to have run, and checks the heads of
// responses. It is safe for concurrent use.
type trackedConn struct {
	net.Conn
	mu      sync.Mutex
	sealed  bool
	written int64

	// headsMu is not mu, which is held while a write waits.
	headsMu sync.Mutex
	heads   responsehead.Scanner
}

// expectResponse makes the next bytes that are read those of a response.
func (c *trackedConn) expectResponse() {
	c.headsMu.Lock()
	defer c.headsMu.Unlock()
	c.heads.Expect()
}

// Read implements net.Conn. It fails if a head is not valid, before the HTTP library
// has all of it.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.headsMu.Lock()
	defer c.headsMu.Unlock()
	if invalid := c.heads.Scan(p[:n]); invalid != nil {
		return 0, invalid
	}
	return n, err
}

// Write implements net.Conn.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return 0, errSealed
	}
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	return n, err
}

// bytesWritten returns the number of bytes that the kernel accepted so far.
func (c *trackedConn) bytesWritten() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal closes the connection and returns the final number of bytes written.
// The HTTP library may return from a request before its writer has started, so
// the count is only final when no later write is possible.
func (c *trackedConn) seal() int64 {
	_ = c.Conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}

func (s *Server) dial(ctx context.Context) (*trackedConn, error) {
	dialer := livedial.NewDialer(livedial.Limits{
		Dial:           dialTimeout,
		Unacknowledged: FirstByteTimeout,
		KeepAlive:      keepAliveInterval,
		KeepAliveCount: keepAliveCount,
	})
	conn, err := dialer.DialContext(ctx, "tcp", s.spec.Address)
	s.recordDial(err)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", s.spec.Name, err)
	}
	return &trackedConn{Conn: conn}, nil
}

// recordDial records whether the server accepts connections. A server that
// refuses them has no process that could be draining.
func (s *Server) recordDial(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil:
		s.refusedAt = time.Time{}
	case errors.Is(err, syscall.ECONNREFUSED):
		s.refusedAt = time.Now()
		s.announcedDraining = false
		s.reportsDraining = false
	}
}

// refusesConnections reports whether the server refuses a new connection. If
// it also lost an open one, its process crashed.
func (s *Server) refusesConnections() bool {
	const timeout = 200 * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	conn, err := s.dial(ctx)
	if err == nil {
		_ = conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
