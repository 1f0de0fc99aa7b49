package callers

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
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
