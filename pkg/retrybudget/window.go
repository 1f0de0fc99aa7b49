package retrybudget

import (
	"slices"
	"sync"
	"time"
)

const (
	// ratioPart and slackPart are the parts of the bound on the retries of all
	// hosts together that the hosts use. The rest covers retries that wait for a
	// server and arrive later than they were granted, and hosts that have just
	// started and do not know all others.
	ratioPart = 0.7
	slackPart = 0.85
	// creditPart is the part of the window for which a first attempt entitles to
	// retries. When callers move to other hosts, or hosts restart, attempts from
	// before a window entitle to retries in it beside those of the window: with
	// steady traffic, ratioPart * (1 + creditPart) of the ratio is used at most.
	creditPart = 0.4
)

// Bound limits retries in any span of a given length to a ratio of the first
// attempts in that span plus a slack.
type Bound struct {
	Span  time.Duration
	Ratio float64
	Slack float64
}

// ForHost returns the bound of one host, if b is that of all hosts together. Each
// host sees its own first attempts only, so the ratio holds for each of them. The
// slack is divided: the shares of all hosts must not add up to more than 1.
func (b Bound) ForHost(slackShare float64) Bound {
	return Bound{Span: b.Span, Ratio: b.Ratio * ratioPart, Slack: b.Slack * slackPart * slackShare}
}

// Window is the retry budget of one service on one host. It is safe for concurrent
// use.
type Window struct {
	mu            sync.Mutex
	bound         Bound
	firstAttempts []time.Time
	// onCredit are the retries to which first attempts entitled, onSlack the others.
	onCredit []time.Time
	onSlack  []time.Time
}

// NewWindow returns a budget without attempts, with the bound of this host.
func NewWindow(b Bound) *Window { return &Window{bound: b} }

// SetBound sets the bound of this host.
func (w *Window) SetBound(b Bound) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bound = b
}

// FirstAttempt counts a request that is sent for the first time.
func (w *Window) FirstAttempt(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropOld(now)
	w.firstAttempts = appendInOrder(w.firstAttempts, now)
}

// Left returns the number of retries that the budget allows now.
func (w *Window) Left(now time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropOld(now)
	return min(w.left(), w.creditLeft(now)+w.slackLeft())
}

// Retry takes one retry from the budget and reports whether one was available.
func (w *Window) Retry(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropOld(now)
	switch {
	case w.left() == 0:
		return false
	case w.creditLeft(now) > 0:
		w.onCredit = appendInOrder(w.onCredit, now)
	case w.slackLeft() > 0:
		w.onSlack = appendInOrder(w.onSlack, now)
	default:
		return false
	}
	return true
}

// left returns the number of retries that the window still allows.
func (w *Window) left() int {
	allowed := w.bound.Ratio*float64(len(w.firstAttempts)) + w.bound.Slack
	return max(int(allowed)-len(w.onCredit)-len(w.onSlack), 0)
}

// creditLeft returns the number of retries to which recent first attempts entitle.
func (w *Window) creditLeft(now time.Time) int {
	since := now.Add(-time.Duration(creditPart * float64(w.bound.Span)))
	credit := w.bound.Ratio * float64(countAfter(w.firstAttempts, since))
	return max(int(credit)-countAfter(w.onCredit, since), 0)
}

func (w *Window) slackLeft() int { return max(int(w.bound.Slack)-len(w.onSlack), 0) }

// dropOld forgets what is older than the window.
func (w *Window) dropOld(now time.Time) {
	limit := now.Add(-w.bound.Span)
	for _, times := range []*[]time.Time{&w.firstAttempts, &w.onCredit, &w.onSlack} {
		*times = (*times)[len(*times)-countAfter(*times, limit):]
	}
}

// appendInOrder appends a time, or the last one if that is later: callers read the
// clock before they wait for the lock.
func appendInOrder(times []time.Time, t time.Time) []time.Time {
	if n := len(times); n > 0 && times[n-1].After(t) {
		t = times[n-1]
	}
	return append(times, t)
}

// countAfter returns how many of the times, which are in order, are after limit.
func countAfter(times []time.Time, limit time.Time) int {
	first, _ := slices.BinarySearchFunc(times, limit, func(t, limit time.Time) int {
		if t.After(limit) {
			return 1
		}
		return -1
	})
	return len(times) - first
}
