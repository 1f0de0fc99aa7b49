// Package listen bounds the open connections of a listener, and closes them when
// their server stops.
package listen

import (
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// lastRequestWait is how long a connection without a request is kept when the
	// server stops: a request may be on its way.
	lastRequestWait = 200 * time.Millisecond
	// sweepInterval is the interval between searches for idle connections.
	sweepInterval = 50 * time.Millisecond
)

// Limited is a listener that closes connections over a limit. If it left them in
// the backlog, their callers would wait instead of trying another host.
type Limited struct {
	net.Listener
	onDrop func()
	tokens chan struct{}
	open   sync.WaitGroup

	mu    sync.Mutex
	conns map[*limitedConn]struct{}
}

// Limit returns a listener with at most limit open connections. onDrop is
// called for each connection that is closed instead.
func Limit(l net.Listener, limit int, onDrop func()) *Limited {
	return &Limited{Listener: l, onDrop: onDrop, tokens: make(chan struct{}, limit), conns: make(map[*limitedConn]struct{})}
}

// Accept implements net.Listener.
func (l *Limited) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.tokens <- struct{}{}:
			l.open.Add(1)
			return l.add(conn), nil
		default:
			l.onDrop()
			_ = conn.Close()
		}
	}
}

func (l *Limited) add(conn net.Conn) *limitedConn {
	c := &limitedConn{Conn: conn, idle: true}
	c.release = sync.OnceFunc(func() { l.remove(c) })
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return c
}

func (l *Limited) remove(c *limitedConn) {
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
	<-l.tokens
	l.open.Done()
}

// ConnState is the hook of the http.Server that serves the listener.
func (l *Limited) ConnState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*limitedConn); ok && (state == http.StateIdle || state == http.StateActive) {
		c.setIdle(state == http.StateIdle)
	}
}

// Drain waits until all connections are closed, at most for limit, and reports
// whether they are. It closes those that are idle. http.Server would also close one
// on which a request has begun to arrive. The server must end the others after their
// responses. Drain must not be called while Accept runs.
func (l *Limited) Drain(limit time.Duration) bool {
	closed := make(chan struct{})
	go func() {
		l.open.Wait()
		close(closed)
	}()
	expired := time.After(limit)
	for pause := lastRequestWait; ; pause = sweepInterval {
		select {
		case <-closed:
			return true
		case <-expired:
			return false
		case <-time.After(pause):
			l.closeIdle()
		}
	}
}

func (l *Limited) closeIdle() {
	l.mu.Lock()
	var idle []*limitedConn
	for c := range l.conns {
		if c.isIdle() {
			idle = append(idle, c)
		}
	}
	l.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

type limitedConn struct {
	net.Conn
	release func()

	mu sync.Mutex
	// idle is set until the next request begins to arrive.
	idle bool
}

func (c *limitedConn) setIdle(idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = idle
}

func (c *limitedConn) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idle
}

// Read implements net.Conn.
func (c *limitedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.setIdle(false)
	}
	return n, err
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.release()
	return c.Conn.Close()
}
