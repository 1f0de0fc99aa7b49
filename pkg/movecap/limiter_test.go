package movecap

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

var start = time.Unix(1000, 0)

const interval = time.Second

// Guards against a limit that never rises on a small host, where one step is less
// than one request.
func TestSmallHostRises(t *testing.T) {
	l := New(start, 0.1, interval)
	l.SetSlots(start, 3, false)
	now := start
	for now.Sub(start) < 30*interval {
		l.Start(now)
		now = now.Add(50 * time.Millisecond)
	}
	if got := l.Limit(now); got != 3 {
		t.Errorf("limit %d after 30 intervals of demand, want 3", got)
	}
}

// Guards against a limit that is reset between two refused requests because the
// dispatcher sets its slots in between.
func TestLimitRisesBetweenRefusals(t *testing.T) {
	l := New(start, 0.1, interval)
	now := start
	for now.Sub(start) < 10*interval {
		now = now.Add(10 * time.Millisecond)
		l.SetSlots(now, 9, false)
		if now.Sub(start)%(200*time.Millisecond) == 0 {
			l.Start(now)
		}
	}
	if got := l.Limit(now); got < 3 {
		t.Errorf("limit %d after 10 intervals of demand, want at least 3", got)
	}
}

// Guards against a limit that stays high after the moved traffic has ended.
func TestLimitFallsWithUse(t *testing.T) {
	l := New(start, 0.5, interval)
	l.SetSlots(start, 10, false)
	now := start
	for l.State() != stateOpening || l.inFlight < 10 {
		l.Start(now)
		now = now.Add(50 * time.Millisecond)
	}
	for l.inFlight > 2 {
		l.Finish(now)
	}
	now = now.Add(3 * interval)
	if got := l.Limit(now); got > 7 {
		t.Errorf("limit %d with 2 requests in flight and a step of 5, want at most 7", got)
	}
	l.Finish(now)
	l.Finish(now)
	if l.Limit(now.Add(3 * interval)); l.State() != stateClosed {
		t.Errorf("state %s without moved requests, want %s", l.State(), stateClosed)
	}
}

// Guards against a gap between evaluations that counts as time under demand: the
// limit must not rise by more than one step in the interval after the gap. A
// request that runs throughout the gap keeps the limit above zero.
func TestGapAddsAtMostOneStep(t *testing.T) {
	const step = 20
	l := New(start, 0.2, interval)
	l.SetSlots(start, 100, false)
	now := start
	for l.inFlight == 0 {
		serve(l, now, 1)
		now = now.Add(10 * time.Millisecond)
	}
	before := l.Limit(now)
	gap := now.Add(time.Minute)
	for now = gap; now.Sub(gap) <= interval; now = now.Add(10 * time.Millisecond) {
		serve(l, now, 100)
	}
	if got := l.Limit(gap.Add(interval)) - before; got > step || float64(got) < (1-burstShare)*step {
		t.Errorf("limit rose by %d in the interval after the gap, want at most %d and not much less", got, step)
	}
}

// Guards against a region whose moved traffic rises by more than the cap per
// interval, plus one request per host for rounding, while the demand jumps as
// after concurrent weight changes, hosts restart and servers become cold.
func TestRegionStaysUnderCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const hosts, share = 8, 0.2
		slots := rapid.SampledFrom([]int{3, 9, 30}).Draw(t, "slots")
		now := start
		limiters := make([]*Limiter, hosts)
		restart := func(i int) {
			limiters[i] = New(now, share, interval)
			limiters[i].SetSlots(now, slots, false)
		}
		for i := range limiters {
			restart(i)
		}
		type sample struct {
			at    time.Time
			total int
		}
		var history []sample
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			demand := rapid.SampledFrom([]int{0, 1, hosts * slots}).Draw(t, "demand")
			i := rapid.IntRange(0, hosts*4).Draw(t, "host")
			if i < hosts {
				restart(i)
			} else if i < 2*hosts {
				limiters[i-hosts].SetSlots(now, slots, rapid.Bool().Draw(t, "cold"))
			}
			for _, l := range limiters {
				serve(l, now, demand)
			}
			total := 0
			for _, l := range limiters {
				total += l.Limit(now)
			}
			for _, h := range history {
				if now.Sub(h.at) <= interval && float64(total-h.total) > share*float64(slots*hosts)+hosts {
					t.Fatalf("limit of the region rose from %d to %d in %v", h.total, total, now.Sub(h.at))
				}
			}
			history = append(history, sample{now, total})
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
		}
	})
}

// serve starts or finishes requests until as many are in flight as the demand, or
// until one is refused.
func serve(l *Limiter, now time.Time, demand int) {
	for l.inFlight > demand {
		l.Finish(now)
	}
	for l.inFlight < demand {
		if l.Start(now) != result.Served {
			return
		}
	}
}

// Guards against a limit that returns to 0 between two attempts of a refused
// caller because the dispatcher evaluates it in between.
func TestLimitRisesBetweenSparseAttempts(t *testing.T) {
	now := time.Unix(0, 0)
	l := New(now, 0.5, time.Second)
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		l.SetSlots(now, 4, false)
		if now.UnixMilli()%400 == 0 && l.Start(now) == result.Served {
			return
		}
	}
	t.Errorf("no request was admitted within 5 s, limit %d", l.Limit(now))
}
