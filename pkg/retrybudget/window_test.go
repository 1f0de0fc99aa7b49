package retrybudget

import (
	"testing"
	"time"
)

const span = 10 * time.Second

var start = time.Unix(1000, 0)

// spend takes all retries that the budget allows.
func spend(w *Window, now time.Time) int {
	n := 0
	for w.Retry(now) {
		n++
	}
	return n
}

func firstAttempts(w *Window, now time.Time, n int) {
	for range n {
		w.FirstAttempt(now)
	}
}

// Guards against retries beyond the bound in a window, and against a budget that
// stays spent after it.
func TestWindowBoundsRetries(t *testing.T) {
	w := NewWindow(Bound{Span: span, Ratio: 0.1, Slack: 5})
	for second := range 60 {
		now := start.Add(time.Duration(second) * time.Second)
		firstAttempts(w, now, 100)
		if left, spent := w.Left(now), spend(w, now); left != spent {
			t.Errorf("%d retries are left, %d were granted", left, spent)
		}
	}
	now := start.Add(time.Minute)
	if retries := len(w.onCredit) + len(w.onSlack); retries > 105 || retries < 95 {
		t.Errorf("%d retries of 1,000 first attempts in the window, want about 100 and at most 105", retries)
	}
	if w.Left(now.Add(span)) != 5 {
		t.Errorf("%d retries are left after a window without requests, want the slack", w.Left(now.Add(span)))
	}
}

// Guards against first attempts that entitle to retries for a whole window: their
// callers may have moved to a host that counts its own.
func TestCreditOfFirstAttemptsEnds(t *testing.T) {
	for _, c := range []struct {
		after time.Duration
		want  int
	}{{0, 10}, {3900 * time.Millisecond, 10}, {4100 * time.Millisecond, 0}} {
		w := NewWindow(Bound{Span: span, Ratio: 0.1})
		firstAttempts(w, start, 100)
		if got := spend(w, start.Add(c.after)); got != c.want {
			t.Errorf("%d retries %v after the first attempts, want %d", got, c.after, c.want)
		}
	}
}

// Guards against slack that is used a second time when the share of a host changes.
func TestSlackIsUsedOnceInAWindow(t *testing.T) {
	w := NewWindow(Bound{Span: span, Slack: 8})
	if got := spend(w, start); got != 8 {
		t.Errorf("%d retries of a slack of 8", got)
	}
	w.SetBound(Bound{Span: span, Slack: 4})
	w.SetBound(Bound{Span: span, Slack: 8})
	if got := spend(w, start.Add(span-time.Millisecond)); got != 0 {
		t.Errorf("%d retries in the same window", got)
	}
	if got := spend(w, start.Add(span+time.Millisecond)); got != 8 {
		t.Errorf("%d retries in the next window", got)
	}
}

// Guards against attempts that are lost because an earlier time was counted after them.
func TestTimesOutOfOrderAreCounted(t *testing.T) {
	w := NewWindow(Bound{Span: span, Ratio: 1})
	firstAttempts(w, start.Add(5*time.Second), 10)
	firstAttempts(w, start, 10)
	if left := w.Left(start.Add(6 * time.Second)); left != 20 {
		t.Errorf("%d retries are left after 20 first attempts", left)
	}
	if left := w.Left(start.Add(5*time.Second + span)); left != 0 {
		t.Errorf("%d retries are left after the window", left)
	}
}
