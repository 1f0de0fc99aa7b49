package backend

import (
	"context"
	"fmt"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

// acquire returns a connection that is reserved for the request. Nothing of
// the request has been written when it fails.
func (s *Server) acquire(ctx context.Context, req Request) (*connection, *result.Error) {
	fresh := false
	for range maxConnectionTries {
		conn, refused := s.take(ctx, fresh)
		if refused != nil {
			return nil, refused
		}
		if req.needsProof() && !s.proven(ctx, conn) {
			if fresh {
				return nil, result.Errorf(result.ConnectFailed, "a new connection to %s did not answer its probe", s.spec.Name)
			}
			// Where one idle connection is silent the others may be too.
			fresh = true
			continue
		}
		now := time.Now()
		if ctx.Err() != nil || !now.Before(req.Deadline) {
			s.giveBack(conn)
			return nil, result.Errorf(result.DeadlineBeforeRun, "deadline or cancellation before dispatch")
		}
		if conn.startRequest(req.needsProof(), now) {
			return conn, nil
		}
		// The process was paused after the probe.
		s.giveBack(conn)
	}
	return nil, result.Errorf(result.ConnectFailed, "no live connection to %s", s.spec.Name)
}

// take returns the idle connection with the latest answer, or a new one.
func (s *Server) take(ctx context.Context, fresh bool) (*connection, *result.Error) {
	if !fresh {
		if conn := s.takeIdle(false); conn != nil {
			return conn, nil
		}
	}
	if !s.countOpen() {
		return nil, result.Errorf(result.NoCapacity, "%s has its limit of %d connections", s.spec.Name, s.spec.Connections)
	}
	conn, err := s.newConnection(ctx)
	if err != nil {
		s.countClosed()
		return nil, result.Errorf(result.ConnectFailed, "%v", err)
	}
	return conn, nil
}

// takeIdle returns an idle connection, the oldest or the one that answered
// last, or nil.
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

// countOpen counts a new connection, unless the limit is reached even after
// an idle one was closed in its favour.
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

// release makes a connection idle after an answer.
func (s *Server) release(conn *connection) {
	conn.fire(eventAnswered, time.Now())
	s.giveBack(conn)
}

// giveBack makes a connection idle in its state.
func (s *Server) giveBack(conn *connection) {
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

// abandon closes a connection for good.
func (s *Server) abandon(conn *connection) {
	conn.fire(eventFail, time.Now())
	s.countClosed()
}

// proven makes sure that the connection answered within LivenessWindow, and
// probes it if not. A connection that fails its probe is abandoned.
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
