package wire

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"golang.org/x/sync/singleflight"

	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

const dialTimeout = time.Second

// CallError is the error of a call that got no reply.
type CallError struct {
	// Sent reports whether the peer may have received the request.
	Sent bool
	Err  error
}

// Error implements error.
func (e *CallError) Error() string {
	if e.Sent {
		return fmt.Sprintf("call without reply: %v", e.Err)
	}
	return fmt.Sprintf("call not sent: %v", e.Err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// Client calls peers. It keeps one session per address and opens it on
// demand. It is safe for concurrent use.
type Client struct {
	self     Identity
	maxFrame int
	quiet    bool
	dials    singleflight.Group

	// connect opens the connection under a session.
	connect func(address string) (net.Conn, error)

	// IdleTimeout is how long a session without calls stays open. Zero keeps it
	// open, because a new one costs two round trips. A process that calls many
	// peers in turn sets it, because each session costs memory and keepalives.
	// Set it before use.
	IdleTimeout time.Duration

	mu       sync.Mutex
	sessions map[string]*clientSession
	closed   bool
}

// clientSession is one session of a client. Its fields are guarded by the
// client's lock.
type clientSession struct {
	*yamux.Session
	// calls is the number of open calls; uses counts all calls of the session.
	calls int
	uses  uint64
}

// NewClient returns a client that identifies itself to peers as self.
func NewClient(self Identity, maxFrameBytes int) *Client {
	return &Client{
		self:     self,
		maxFrame: maxFrameBytes,
		sessions: make(map[string]*clientSession),
		connect:  Dial,
	}
}

// NewQuietClient returns a client whose idle sessions cause no traffic: the
// greeting is sent with the first call, and there are no keepalives. An
// unresponsive peer is detected only by a call, whose failure ends the session.
// The reply to the first call must arrive within the greeting timeout of 1.9 s.
func NewQuietClient(self Identity, maxFrameBytes int) *Client {
	c := NewClient(self, maxFrameBytes)
	c.quiet = true
	return c
}

// ConnectWith sets the function that opens connections, for example to count
// them. Use it before the first call.
func (c *Client) ConnectWith(connect func(address string) (net.Conn, error)) { c.connect = connect }

// Dial opens a connection. It is the default of a client.
func Dial(address string) (net.Conn, error) { return net.DialTimeout("tcp", address, dialTimeout) }

// Call sends one envelope and waits for one reply. A reply that is a Failure
// is returned as *result.Error; every other error is a *CallError.
func (c *Client) Call(ctx context.Context, address string, env *wirepb.Envelope) (*wirepb.Envelope, error) {
	stream, err := c.Open(ctx, address, env)
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	reply, err := stream.Receive()
	if err != nil {
		c.dropQuietSession(address, stream)
		return nil, &CallError{Sent: true, Err: err}
	}
	if failure := reply.GetFailure(); failure != nil {
		return nil, &result.Error{Code: result.Code(failure.Code), Detail: failure.Detail}
	}
	return reply, nil
}

// Open starts a call whose replies are read from the stream. The end of ctx
// cancels the stream. Errors are those of Call.
func (c *Client) Open(ctx context.Context, address string, env *wirepb.Envelope) (*Stream, error) {
	if err := ctx.Err(); err != nil {
		return nil, &CallError{Err: err}
	}
	session, err := c.acquireSession(ctx, address)
	if err != nil {
		return nil, &CallError{Err: err}
	}
	conn, err := session.OpenStream()
	if err != nil {
		c.dropSession(address, session)
		return nil, &CallError{Err: fmt.Errorf("open stream to %s: %w", address, err)}
	}
	stream := newStream(conn, c.maxFrame)
	stream.onClose = sync.OnceFunc(func() { c.endCall(address, session) })
	stream.stop = context.AfterFunc(ctx, stream.cancel)
	if err := stream.Send(env); err != nil {
		defer stream.Close()
		if refused := stream.refusal(); refused != nil {
			return nil, refused
		}
		var refused *result.Error
		return nil, &CallError{Sent: !errors.As(err, &refused), Err: err}
	}
	return stream, nil
}

// Close ends all sessions. Later calls fail.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for address, session := range c.sessions {
		_ = session.Close()
		delete(c.sessions, address)
	}
}

func (c *Client) session(ctx context.Context, address string) (*clientSession, error) {
	if session := c.cachedSession(address); session != nil {
		return session, nil
	}
	opened := c.dials.DoChan(address, func() (any, error) {
		if session := c.cachedSession(address); session != nil {
			return session, nil
		}
		return c.dial(address)
	})
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case res := <-opened:
		if res.Err != nil {
			return nil, res.Err
		}
		return res.Val.(*clientSession), nil
	}
}

func (c *Client) cachedSession(address string) *clientSession {
	c.mu.Lock()
	defer c.mu.Unlock()
	session := c.sessions[address]
	if session == nil || session.IsClosed() {
		delete(c.sessions, address)
		return nil
	}
	return session
}

func (c *Client) dial(address string) (*clientSession, error) {
	conn, err := c.connect(address)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	open := openSession
	if c.quiet {
		open = openQuietSession
	}
	opened, err := open(conn, c.self)
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("open session to %s: %w", address, err)
	}
	session := &clientSession{Session: opened}
	if !c.storeSession(address, session) {
		_ = session.Close()
		return nil, fmt.Errorf("open session to %s: %w", address, net.ErrClosed)
	}
	return session, nil
}

// storeSession stores a session and returns true, unless the client was closed
// while the session was opened.
func (c *Client) storeSession(address string, session *clientSession) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.sessions[address] = session
	}
	return !c.closed
}

// acquireSession returns a session and counts a call on it. An idle session may
// be closed between lookup and count; the lookup is then repeated.
func (c *Client) acquireSession(ctx context.Context, address string) (*clientSession, error) {
	for {
		session, err := c.session(ctx, address)
		if err != nil {
			return nil, err
		}
		if c.beginCall(address, session) {
			return session, nil
		}
	}
}

func (c *Client) beginCall(address string, session *clientSession) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sessions[address] != session {
		return false
	}
	session.calls++
	session.uses++
	return true
}

// endCall counts the end of a call. If it was the last one, the session closes
// after IdleTimeout unless another call begins.
func (c *Client) endCall(address string, session *clientSession) {
	c.mu.Lock()
	defer c.mu.Unlock()
	session.calls--
	if session.calls > 0 || c.IdleTimeout == 0 {
		return
	}
	uses := session.uses
	time.AfterFunc(c.IdleTimeout, func() { c.closeIdle(address, session, uses) })
}

func (c *Client) closeIdle(address string, session *clientSession, uses uint64) {
	c.mu.Lock()
	idle := session.uses == uses
	if idle && c.sessions[address] == session {
		delete(c.sessions, address)
	}
	c.mu.Unlock()
	if idle {
		_ = session.Close()
	}
}

// dropQuietSession ends a quiet session on which a call failed. Nothing else
// would show that the peer is unresponsive.
func (c *Client) dropQuietSession(address string, stream *Stream) {
	if !c.quiet {
		return
	}
	c.mu.Lock()
	session := c.sessions[address]
	c.mu.Unlock()
	if session != nil && session.Session == stream.conn.Session() {
		c.dropSession(address, session)
	}
}

func (c *Client) dropSession(address string, session *clientSession) {
	c.mu.Lock()
	if c.sessions[address] == session {
		delete(c.sessions, address)
	}
	c.mu.Unlock()
	_ = session.Close()
}
