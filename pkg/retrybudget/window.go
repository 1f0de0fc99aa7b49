package retrybudget

import (
	"sync"
	"time"
)

// WindowSafety is the part of an installation's bound that hosts use, because
// each of them sees only its own requests.
const WindowSafety = 0.7

// Window bounds the retries of a service within any span of a given length to
// a share of the first attempts in it and a slack. It is safe for concurrent
// use.
type Window struct {
	span  time.Duration
	share float64
	slack float64

	mu      sync.Mutex
	first   []time.Time
	retried []time.Time
}

// NewWindow returns a budget for one host.
func NewWindow(span time.Duration, share, slack float64) *Window {
	return &Window{span: span, share: share, slack: slack}
}

// FirstAttempt counts a request that is sent for the first time.
func (w *Window) FirstAttempt(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.first = append(dropOld(w.first, now.Add(-w.span)), now)
}

// Left returns the number of retries that the budget allows now.
func (w *Window) Left(now time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(int(w.allowed(now))-len(w.retried), 0)
}

// allowed drops what has left the window and returns the retries that may be
// in it. It is called with the lock held.
func (w *Window) allowed(now time.Time) float64 {
	w.first = dropOld(w.first, now.Add(-w.span))
	w.retried = dropOld(w.retried, now.Add(-w.span))
	return w.share*float64(len(w.first)) + w.slack
}

// Retry takes one retry out of the budget and reports whether it was there.
func (w *Window) Retry(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if float64(len(w.retried)+1) > w.allowed(now) {
		return false
	}
	w.retried = append(w.retried, now)
	return true
}

func dropOld(times []time.Time, limit time.Time) []time.Time {
	for len(times) > 0 && !times[0].After(limit) {
		times = times[1:]
	}
	return times
}
