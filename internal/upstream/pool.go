// Package upstream sends requests over HTTP/1.1 connections to backend servers.
// It never resends a request by itself, and it reports whether a failed request
// may have reached the server.
package upstream

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/bounded"
	"github.com/wisteriacrank/wisteriacrank/internal/livedial"
)

const (
	// DialTimeout bounds the opening of a connection. The kernel resends a lost
	// SYN after 1 s, so a lower value would fail on a single lost packet.
	DialTimeout = 1200 * time.Millisecond
	// unacknowledgedTimeout ends a connection whose peer does not acknowledge
	// sent bytes: a connection can lose its peer without a reset.
	unacknowledgedTimeout = 1200 * time.Millisecond
	// TCP keepalive detects an unresponsive peer on a connection that waits for
	// a response.
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// defaultIdleTimeout is how long an idle connection is kept if the server
	// sends no Keep-Alive timeout. With one, the connection is kept for
	// idleTimeoutMargin less, so that no request is sent while the server closes
	// it.
	defaultIdleTimeout = 8 * time.Second
	idleTimeoutMargin  = 1500 * time.Millisecond
	// maxIdlePerServer bounds the idle connections to one server. It is a little
	// higher than a server's number of slots.
	maxIdlePerServer = 8
)

// Failure is the error of a request without a usable response.
type Failure struct {
	// Sent reports whether the server may have received the request.
	Sent bool
	// Unreachable is set if no connection could be opened.
	Unreachable bool
	// InvalidResponse is set if the server sent something other than a whole
	// response within the limits.
	InvalidResponse bool
	Err             error
}

// Error implements error.
func (f *Failure) Error() string { return f.Err.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// Request is one request to a backend server.
type Request struct {
	Method string
	// Target is the request target, forwarded unchanged.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// MatchResponse compares the header of a response with the request.
	MatchResponse func(http.Header) Match
	// OwnConnection sends the request on a new connection, which carries no other
	// request: for requests whose responses have no request ID.
	OwnConnection bool
}

// Match reports whether a response belongs to the request.
type Match int

// Results of comparing a response with the request.
const (
	// Matching responses belong to the request.
	Matching Match = iota
	// Mismatched responses belong to an earlier request on the connection.
	Mismatched
	// Unmarked responses carry no request ID. They are accepted only as the first
	// response on a connection.
	Unmarked
)

// Response is a response with its whole body. Its receiver releases Memory once
// when it no longer uses the header and the body.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	Memory *bounded.Reservation
}

// Pool keeps the connections to one address. It is safe for concurrent use.
type Pool struct {
	address string
	memory  *bounded.Budget

	mu     sync.Mutex
	idle   []*conn
	closed bool
}

// NewPool returns a pool without connections. Responses reserve memory from the
// budget until they are released; pools may share it.
func NewPool(address string, memory *bounded.Budget) *Pool {
	return &Pool{address: address, memory: memory}
}

// Close closes the idle connections; those in use are closed after use.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.raw.Close()
	}
}

// Do sends a request and reads the whole response. Every error is a *Failure.
// dialed is called with the time that a new connection took to open.
func (p *Pool) Do(ctx context.Context, req Request, dialed func(time.Duration)) (*Response, error) {
	var c *conn
	if !req.OwnConnection {
		c = p.get(time.Now())
	}
	if c == nil {
		start := time.Now()
		var err error
		if c, err = p.dial(ctx); err != nil {
			return nil, &Failure{Unreachable: ctx.Err() == nil, Err: err}
		}
		dialed(time.Since(start))
	}
	resp, reusable, err := c.roundTrip(ctx, req)
	if err != nil || !reusable || req.OwnConnection {
		_ = c.raw.Close()
		return resp, err
	}
	p.put(c)
	return resp, nil
}

// Open opens a connection for later use.
func (p *Pool) Open(ctx context.Context, dialed func(time.Duration)) error {
	start := time.Now()
	c, err := p.dial(ctx)
	if err != nil {
		return err
	}
	dialed(time.Since(start))
	c.useUntil = time.Now().Add(defaultIdleTimeout)
	p.put(c)
	return nil
}

// get removes and returns the idle connection that was used last and is still
// open, or nil.
func (p *Pool) get(now time.Time) *conn {
	for {
		p.mu.Lock()
		n := len(p.idle)
		if n == 0 {
			p.mu.Unlock()
			return nil
		}
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		if now.Before(c.useUntil) && c.isIdle() {
			return c
		}
		_ = c.raw.Close()
	}
}

func (p *Pool) put(c *conn) {
	p.mu.Lock()
	full := p.closed || len(p.idle) >= maxIdlePerServer
	if !full {
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if full {
		_ = c.raw.Close()
	}
}

// Prune closes connections that have been idle too long to be used.
func (p *Pool) Prune(now time.Time) {
	p.mu.Lock()
	var expired []*conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Before(c.useUntil) {
			kept = append(kept, c)
			continue
		}
		expired = append(expired, c)
	}
	p.idle = kept
	p.mu.Unlock()
	for _, c := range expired {
		_ = c.raw.Close()
	}
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	dialer := livedial.NewDialer(livedial.Limits{
		Dial:           DialTimeout,
		Unacknowledged: unacknowledgedTimeout,
		KeepAlive:      keepAliveInterval,
		KeepAliveCount: keepAliveCount,
	})
	raw, err := dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", p.address, err)
	}
	return newConn(raw, p.memory), nil
}
