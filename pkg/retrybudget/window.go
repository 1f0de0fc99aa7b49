package retrybudget

import (
	"sync"
	"time"
)

// WindowSafety is the factor that hosts apply to the bound on the retries of all
// hosts together, because each of them sees only its own requests.
const WindowSafety = 0.7

// Window bounds the retries of a service in any span of a given length to a
// share of the first attempts in that span plus a slack. It is safe for
// concurrent use.
type Window struct {
	span  time.Duration
	share float64
	slack float64

	mu            sync.Mutex
	firstAttempts []time.Time
	retries       []time.Time
}

// NewWindow returns a budget for one host.
func NewWindow(span time.Duration, share, slack float64) *Window {
	return &Window{span: span, share: share, slack: slack}
}

// FirstAttempt counts a request that is sent for the first time.
func (w *Window) FirstAttempt(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.firstAttempts = append(dropOld(w.firstAttempts, now.Add(-w.span)), now)
}

// Left returns the number of retries that the budget allows now.
func (w *Window) Left(now time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(int(w.allowed(now))-len(w.retries), 0)
}

// allowed drops attempts and retries that are older than the window and returns
// the number of retries allowed in it. It is called with the lock held.
func (w *Window) allowed(now time.Time) float64 {
	w.firstAttempts = dropOld(w.firstAttempts, now.Add(-w.span))
	w.retries = dropOld(w.retries, now.Add(-w.span))
	return w.share*float64(len(w.firstAttempts)) + w.slack
}

// Retry takes one retry from the budget and reports whether one was available.
func (w *Window) Retry(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if float64(len(w.retries)+1) > w.allowed(now) {
		return false
	}
	w.retries = append(w.retries, now)
	return true
}

func dropOld(times []time.Time, limit time.Time) []time.Time {
	for len(times) > 0 && !times[0].After(limit) {
		times = times[1:]
	}
	return times
}
