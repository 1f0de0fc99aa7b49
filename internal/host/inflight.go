package host

import (
	"context"
	"sync"
	"time"
)

// inFlight has the requests of callers that have no response yet.
type inFlight struct {
	mu       sync.Mutex
	requests map[*requestState]*flight
}

// flight is one request in flight.
type flight struct {
	id       string
	received time.Time
	// server was granted to the request, or is empty while the request waits for one.
	server string
	cancel context.CancelCauseFunc
}

func newInFlight() *inFlight {
	return &inFlight{requests: make(map[*requestState]*flight)}
}

// add records a request. The returned function removes it.
func (f *inFlight) add(r *requestState, cancel context.CancelCauseFunc) (remove func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests[r] = &flight{id: r.call.ID, received: r.req.Received, cancel: cancel}
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.requests, r)
	}
}

// setServer records the server that has the request, or none.
func (f *inFlight) setServer(r *requestState, server string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if flight := f.requests[r]; flight != nil {
		flight.server = server
	}
}

// all returns a copy of the requests in flight.
func (f *inFlight) all() []flight {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make([]flight, 0, len(f.requests))
	for _, flight := range f.requests {
		all = append(all, *flight)
	}
	return all
}

// cancelAll cancels the requests in flight. Each ends with a response of the host.
func (f *inFlight) cancelAll(cause error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, flight := range f.requests {
		flight.cancel(cause)
	}
}
