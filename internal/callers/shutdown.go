package callers

import (
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// lingerTimeout is how long unread bytes are discarded after the last
	// response: closing with unread bytes resets the connection, possibly before
	// the response arrives.
	lingerTimeout = 500 * time.Millisecond
	// lastRequestWait is how long a connection without a request is kept after the
	// server was told to close it: a request may be on its way, or may have arrived
	// on a connection that was just accepted.
	lastRequestWait = 200 * time.Millisecond
	// minReadTime is the shortest time for which a read waits: one whose deadline
	// has passed fails although bytes have arrived.
	minReadTime = 10 * time.Millisecond
)

// CloseIdle stops accepting connections. It closes those that have no request in
// flight and on which none arrives within lastRequestWait, and the others after
// their responses.
func (s *Server) CloseIdle() {
	s.Drain()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	s.interruptAccept()
	for c := range s.conns {
		c.finishReading()
	}
}

// RefuseUnread calls CloseIdle and refuses the requests that are still being read
// or arrive later: they get a 503 with Retry-After, and their connections end.
// Idle connections are closed at once. Requests that were passed to the handler get
// their responses.
func (s *Server) RefuseUnread() {
	s.CloseIdle()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusing = true
	for c := range s.conns {
		c.refuseUnread()
	}
}

// interruptAccept ends the wait for new connections once CloseIdle was called. The
// caller holds mu.
func (s *Server) interruptAccept() {
	if !s.closing || s.listener == nil {
		return
	}
	if l, ok := s.listener.(interface{ SetDeadline(time.Time) error }); ok {
		_ = l.SetDeadline(time.Unix(1, 0))
		return
	}
	_ = s.listener.Close()
}

// acceptQueued accepts the connections in the kernel's queue and closes the
// listener. Closing it first would reset them with the requests they carry.
func (s *Server) acceptQueued(l net.Listener) {
	defer l.Close()
	tcp, ok := l.(interface {
		syscall.Conn
		SetDeadline(t time.Time) error
	})
	if !ok {
		return
	}
	const step = 20 * time.Millisecond
	for until := time.Now().Add(lastRequestWait); time.Now().Before(until) && hasInput(tcp); {
		_ = tcp.SetDeadline(time.Now().Add(step))
		raw, err := l.Accept()
		if err != nil {
			time.Sleep(step)
			continue
		}
		s.start(raw)
	}
}

// hasInput reports whether an accept or a read would return at once.
func hasInput(s syscall.Conn) bool {
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	ready := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(fds, 0)
		ready = err == nil && n > 0 && fds[0].Revents&unix.POLLIN != 0
	})
	return err == nil && ready
}

// stopReading interrupts the wait for the next request.
func (c *conn) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	_ = c.raw.SetReadDeadline(time.Unix(1, 0))
}

// finishReading ends the wait for the next request after lastRequestWait. A request
// that has begun to arrive is read and served.
func (c *conn) finishReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finishBy = time.Now().Add(lastRequestWait)
	c.awaitLast()
}

// refuseUnread interrupts the reading of a request and the wait for the next one.
func (c *conn) refuseUnread() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refusing = true
	c.finishBy = time.Now()
	if !c.stopped {
		_ = c.raw.SetReadDeadline(time.Unix(1, 0))
	}
}

func (c *conn) isRefusing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refusing
}

// awaitLast starts the wait for a last request if the connection is idle and
// finishReading was called. The caller holds mu.
func (c *conn) awaitLast() {
	if c.finishBy.IsZero() || c.inFlight > 0 || !c.awaiting || c.stopped {
		return
	}
	c.finishBy = time.Now().Add(lastRequestWait)
	_ = c.raw.SetReadDeadline(c.finishBy)
}

// beginAwaiting sets the deadline of the wait for the next request, unless
// stopReading was called.
func (c *conn) beginAwaiting(timeout time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return false
	}
	c.awaiting = true
	now := time.Now()
	deadline := now.Add(timeout)
	if c.inFlight == 0 {
		deadline = c.idleUntil(timeout)
	}
	if earliest := now.Add(minReadTime); deadline.Before(earliest) {
		deadline = earliest
	}
	_ = c.raw.SetReadDeadline(deadline)
	return true
}

func (c *conn) endAwaiting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaiting = false
}

// beginReading reports whether the request whose first byte has arrived is to be
// read. It is not if it was sent behind the last response.
func (c *conn) beginReading() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun = true
	return !c.lastChosen
}

// chooseLastResponse makes the response that is written next the last one if the
// server drains, and reports whether it is. It is not if another request is in flight
// or has begun to arrive.
func (c *conn) chooseLastResponse() bool {
	if !c.server.draining.Load() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight > 1 || c.begun || c.hasInput() {
		return false
	}
	c.lastChosen = true
	return true
}

// isIdle reports whether no request is in flight and the wait for the next one is
// over.
func (c *conn) isIdle(timeout time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inFlight == 0 && !time.Now().Before(c.idleUntil(timeout))
}

// idleUntil returns when the wait for the next request ends if no request is in
// flight. The caller holds mu.
func (c *conn) idleUntil(timeout time.Duration) time.Time {
	if !c.finishBy.IsZero() {
		return c.finishBy
	}
	return c.idleSince.Add(timeout)
}

func (c *conn) isStopped() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stopped
}

// hasInput reports whether bytes or the caller's close have arrived.
func (c *conn) hasInput() bool {
	sys, ok := c.raw.(syscall.Conn)
	return ok && hasInput(sys)
}

// close closes the connection. After the last response, bytes that arrive are
// discarded for at most lingerTimeout, until the caller closes. On an idle
// connection nothing is read: a request that crosses the close is reset, which
// tells its caller that it was not read.
func (c *conn) close(reason closeReason) {
	if tcp, ok := c.raw.(*net.TCPConn); ok && reason == afterResponse {
		_ = tcp.CloseWrite()
		_ = c.raw.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.Copy(io.Discard, c.raw)
	}
	_ = c.raw.Close()
}
