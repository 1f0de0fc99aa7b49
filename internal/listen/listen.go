// Package listen bounds the open connections of a listener.
package listen

import (
	"net"
	"sync"
	"time"
)

// Limited is a listener that closes connections over a limit. If it left them in
// the backlog, their callers would wait instead of trying another host.
type Limited struct {
	net.Listener
	onDrop func()
	tokens chan struct{}
	open   sync.WaitGroup
}

// Limit returns a listener with at most limit open connections. onDrop is
// called for each connection that is closed instead.
func Limit(l net.Listener, limit int, onDrop func()) *Limited {
	return &Limited{Listener: l, onDrop: onDrop, tokens: make(chan struct{}, limit)}
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
			return &limitedConn{Conn: conn, release: sync.OnceFunc(l.release)}, nil
		default:
			l.onDrop()
			_ = conn.Close()
		}
	}
}

func (l *Limited) release() {
	<-l.tokens
	l.open.Done()
}

// Wait waits until all connections are closed, at most for limit. It must not be
// called while Accept runs.
func (l *Limited) Wait(limit time.Duration) {
	closed := make(chan struct{})
	go func() {
		l.open.Wait()
		close(closed)
	}()
	select {
	case <-closed:
	case <-time.After(limit):
	}
}

type limitedConn struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.release()
	return c.Conn.Close()
}
