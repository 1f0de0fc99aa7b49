package backend

import (
	"context"
	"fmt"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

// acquire returns a connection that is reserved for the request. If it fails,
// no byte of the request has been written.
func (s *Server) acquire(ctx context.Context, req Request) (*connection, *result.Error) {
	forceNew := false
	for range maxConnectionTries {
		conn, refused := s.checkOut(ctx, forceNew)
		if refused != nil {
			return nil, refused
		}
		if req.needsProvenConn() && !s.proven(ctx, conn) {
			if forceNew {
				return nil, result.Errorf(result.ConnectFailed, "a new connection to %s got no response to its probe", s.spec.Name)
			}
			// If one idle connection is unresponsive, the others may be too.
			forceNew = true
			continue
		}
		now := time.Now()
		if ctx.Err() != nil || !now.Before(req.Deadline) {
			s.putIdle(conn)
			return nil, result.Errorf(result.DeadlineBeforeRun, "deadline passed or request cancelled before dispatch")
		}
		if conn.startRequest(req.needsProvenConn(), now) {
			return conn, nil
		}
		// This process was paused after the probe, longer than LivenessWindow.
		s.putIdle(conn)
	}
	return nil, result.Errorf(result.ConnectFailed, "no responsive connection to %s", s.spec.Name)
}

// checkOut returns the idle connection with the latest response, or a new one.
func (s *Server) checkOut(ctx context.Context, forceNew bool) (*connection, *result.Error) {
	if !forceNew {
		if conn := s.takeIdle(false); conn != nil {
			return conn, nil
		}
	}
	if !s.countOpen() {
		return nil, result.Errorf(result.NoCapacity, "%s is at its limit of %d connections", s.spec.Name, s.spec.Connections)
	}
	conn, err := s.newConnection(ctx)
	if err != nil {
		s.countClosed()
		return nil, result.Errorf(result.ConnectFailed, "%v", err)
	}
	return conn, nil
}

// takeIdle removes and returns an idle connection, either the one with the
// oldest response or the one with the latest. It returns nil if there is none.
func (s *Server) takeIdle(oldest bool) *connection {
	for {
		conn := s.popIdle(oldest)
		if conn == nil || conn.http.Err() == nil {
			return conn
		}
		s.abandon(conn)
	}
}

func (s *Server) popIdle(oldest bool) *connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := len(s.idle) - 1
	if last < 0 {
		return nil
	}
	if oldest {
		conn := s.idle[0]
		s.idle = append(s.idle[:0], s.idle[1:]...)
		return conn
	}
	conn := s.idle[last]
	s.idle = s.idle[:last]
	return conn
}

// countOpen counts a new connection. At the limit it closes an idle connection
// first, and returns false if there is none.
func (s *Server) countOpen() bool {
	s.mu.Lock()
	if s.open < s.spec.Connections {
		s.open++
		s.mu.Unlock()
		return true
	}
	s.mu.Unlock()
	if idle := s.popIdle(true); idle != nil {
		s.abandon(idle)
		return s.countOpen()
	}
	return false
}

func (s *Server) countClosed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
}

// release returns a connection to the idle ones after a response.
func (s *Server) release(conn *connection) {
	conn.fire(eventAnswered, time.Now())
	s.putIdle(conn)
}

// putIdle adds a connection to the idle ones and leaves its state unchanged.
func (s *Server) putIdle(conn *connection) {
	s.mu.Lock()
	closed := s.closed
	if !closed {
		s.idle = append(s.idle, conn)
	}
	s.mu.Unlock()
	if closed {
		s.abandon(conn)
	}
}

// abandon closes a connection and no longer counts it as open.
func (s *Server) abandon(conn *connection) {
	conn.fire(eventFail, time.Now())
	s.countClosed()
}

// proven probes a connection whose last response is older than LivenessWindow.
// It abandons the connection and returns false if the probe fails.
func (s *Server) proven(ctx context.Context, conn *connection) bool {
	conn.age(time.Now())
	if conn.machine.State() == stateProven {
		return true
	}
	if _, err := s.probe(ctx, conn); err != nil {
		s.abandon(conn)
		return false
	}
	return true
}

// String names the server in messages.
func (s *Server) String() string { return fmt.Sprintf("backend server %s", s.spec.Name) }
