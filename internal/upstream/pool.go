// Package upstream carries requests over HTTP/1.1 connections to backend
// servers. It never repeats a request by itself, and it tells whether a failed
// request may have reached the server.
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
	// DialTimeout bounds the opening of a connection: a SYN that is lost is
	// repeated by the kernel after 1 s.
	DialTimeout = 1200 * time.Millisecond
	// silenceTimeout ends a connection whose peer does not acknowledge sent
	// bytes: open connections can go silent without a reset.
	silenceTimeout = 1200 * time.Millisecond
	// Keepalive finds a silent peer on a connection that waits for an answer.
	keepAlive      = time.Second
	keepAliveCount = 2
	// defaultIdle is how long an idle connection is kept if the server does not
	// say when it closes it; idleMargin is kept before that time.
	defaultIdle = 8 * time.Second
	idleMargin  = 1500 * time.Millisecond
	// maxIdlePerServer bounds the idle connections to one server: a few more
	// than its slots.
	maxIdlePerServer = 8
)

// Failure is a request without a usable answer.
type Failure struct {
	// Sent says that the server may have received the request.
	Sent bool
	// Unreachable says that no connection could be opened.
	Unreachable bool
	// InvalidResponse says that the server sent something other than a whole answer.
	InvalidResponse bool
	Err             error
}

func (f *Failure) Error() string { return f.Err.Error() }

func (f *Failure) Unwrap() error { return f.Err }

// Request is one request to a backend server.
type Request struct {
	Method string
	// Target is the request target, passed on unchanged.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// MatchResponse tells what an answer's header says about the request it answers.
	MatchResponse func(http.Header) Match
}

// Match says whether an answer is that of the request.
type Match int

// Ownerships of an answer.
const (
	Matching Match = iota
	// Mismatched answers belong to an earlier request of the connection.
	Mismatched
	// Unmarked answers name no request.
	Unmarked
)

// Response is a whole answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Pool keeps the connections to one address. It is safe for concurrent use.
type Pool struct {
	address string
	memory  *bounded.Budget

	mu     sync.Mutex
	idle   []*conn
	closed bool
}

// NewPool returns a pool without connections. Answers that are being read take
// from the memory, which pools share.
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

// Do sends a request and reads the whole answer. Every error is a *Failure.
// dialed is called with the time that a new connection took to open.
func (p *Pool) Do(ctx context.Context, req Request, dialed func(time.Duration)) (*Response, error) {
	c := p.take(time.Now())
	if c == nil {
		start := time.Now()
		var err error
		if c, err = p.dial(ctx); err != nil {
			return nil, &Failure{Unreachable: ctx.Err() == nil, Err: err}
		}
		dialed(time.Since(start))
	}
	answer, reusable, err := c.roundTrip(ctx, req)
	if err != nil || !reusable {
		_ = c.raw.Close()
		return answer, err
	}
	p.give(c)
	return answer, nil
}

// Open opens a connection for later use.
func (p *Pool) Open(ctx context.Context, dialed func(time.Duration)) error {
	start := time.Now()
	c, err := p.dial(ctx)
	if err != nil {
		return err
	}
	dialed(time.Since(start))
	c.useUntil = time.Now().Add(defaultIdle)
	p.give(c)
	return nil
}

// take returns the connection that was used last, if it is still open.
func (p *Pool) take(now time.Time) *conn {
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
		if now.Before(c.useUntil) && c.isQuiet() {
			return c
		}
		_ = c.raw.Close()
	}
}

func (p *Pool) give(c *conn) {
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
	keep := p.idle[:0]
	for _, c := range p.idle {
		if now.Before(c.useUntil) {
			keep = append(keep, c)
			continue
		}
		expired = append(expired, c)
	}
	p.idle = keep
	p.mu.Unlock()
	for _, c := range expired {
		_ = c.raw.Close()
	}
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	dialer := livedial.NewDialer(livedial.Limits{
		Dial:           DialTimeout,
		Unacknowledged: silenceTimeout,
		KeepAlive:      keepAlive,
		KeepAliveCount: keepAliveCount,
	})
	raw, err := dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", p.address, err)
	}
	return newConn(raw, p.memory), nil
}
