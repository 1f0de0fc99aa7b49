package lookup

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/steering"
)

const (
	// readTimeout bounds the whole query, so a slow sender holds a connection
	// no longer than this.
	readTimeout  = 5 * time.Second
	writeTimeout = 10 * time.Second
	idleTimeout  = time.Minute
	// maxHeaderBytes bounds the header. The library adds 4 KB.
	maxHeaderBytes = 4 << 10
	// shutdownTimeout bounds the wait for queries that have begun. It exceeds
	// the time that one query can take.
	shutdownTimeout = readTimeout + writeTimeout
)

// serve answers look-ups until ctx ends, then completes those that have begun
// to arrive. http.Server.Shutdown is not used: it closes a connection whose
// header is only partly read, which a caller sees as a lost query.
func serve(ctx context.Context, listener *limitedListener, current func() *steering.Table) error {
	server := &http.Server{
		Handler:           NewHandler(current),
		ReadHeaderTimeout: readTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	defer server.Close()
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	err := server.Serve(listener)
	if ctx.Err() == nil {
		return fmt.Errorf("serve look-ups: %w", err)
	}
	// Closes idle connections; the others close after their answer.
	server.SetKeepAlivesEnabled(false)
	listener.wait(shutdownTimeout)
	return nil
}

// limitedListener closes connections over a limit. It does not leave them in
// the backlog: their callers would wait instead of asking another host.
type limitedListener struct {
	net.Listener
	tokens chan struct{}
	open   sync.WaitGroup
}

func limitConnections(l net.Listener, limit int) *limitedListener {
	return &limitedListener{Listener: l, tokens: make(chan struct{}, limit)}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
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
			countDroppedOnFull.Add(1)
			_ = conn.Close()
		}
	}
}

func (l *limitedListener) release() {
	<-l.tokens
	l.open.Done()
}

// wait returns when all connections are closed or the time is over. It must
// not run while Accept does.
func (l *limitedListener) wait(limit time.Duration) {
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
