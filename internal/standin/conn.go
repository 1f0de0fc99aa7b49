package standin

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// faultConn is a server's side of a connection that can become unresponsive or
// write a response twice. It is safe for concurrent use.
type faultConn struct {
	net.Conn
	unresponsive  atomic.Bool
	duplicateNext atomic.Bool
}

// Read discards what arrives while the connection is unresponsive.
func (c *faultConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.unresponsive.Load() {
			return n, err
		}
	}
}

// Write reports success but sends nothing while the connection is unresponsive.
func (c *faultConn) Write(p []byte) (int, error) {
	if c.unresponsive.Load() {
		return len(p), nil
	}
	n, err := c.Conn.Write(p)
	if err == nil && c.duplicateNext.Swap(false) {
		_, err = c.Conn.Write(p)
	}
	return n, err
}

// reset closes the connection with a reset, as the kernel does for a process
// that was killed with unread input.
func (c *faultConn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Conn.Close()
}

type faultListener struct{ net.Listener }

func (l faultListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &faultConn{Conn: conn}, nil
}

type connKey struct{}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// connOf returns the connection of a request, or nil if the listener was not
// wrapped by Backend.Serve.
func connOf(r *http.Request) *faultConn {
	conn, _ := r.Context().Value(connKey{}).(*faultConn)
	return conn
}
