package admission

import (
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

const (
	// WasteShare is the share of slot time that preempted runs may waste. The
	// design limits repeated work to 10% of the load.
	WasteShare = 0.08
	// wasteBurst is the slot time per slot that may be wasted at once.
	wasteBurst = 200 * time.Millisecond
	// preemptAfterShare is the part of its rank's deadline that an item waits
	// before it may preempt a run. Most items get a slot that becomes free before
	// that.
	preemptAfterShare = 0.1
)

// wasteBudget is a token bucket of slot time.
type wasteBudget struct {
	at   time.Time
	left time.Duration
}

func (b *wasteBudget) advance(now time.Time, slots int) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.left += time.Duration(WasteShare * float64(elapsed) * float64(slots))
		b.at = now
	}
	b.left = min(b.left, time.Duration(slots)*wasteBurst)
}

// Run is a running request that may be preempted. Only idempotent requests may
// be passed as runs, because a preempted request runs again.
type Run struct {
	ID      ItemID
	Rank    model.Rank
	Started time.Time
}

// Preempt picks a run to cancel so that an item of a more urgent rank gets its
// slot. That rank must be below its guaranteed share, and the item must have
// waited for preemptAfterShare of its rank's deadline. The dispatcher calls
// Preempt when no slot is free and every few milliseconds while items wait,
// cancels the run, and then calls Preempted and Requeue. stopping is the number
// of runs whose cancellation is still in progress.
func (q *Queue) Preempt(now time.Time, runs []Run, stopping int) (ItemID, bool) {
	q.waste.advance(now, q.slots)
	urgent := q.urgentWaiting(now, stopping)
	if urgent == nil {
		return 0, false
	}
	victim, ok := q.victim(now, urgent, runs)
	if !ok || now.Sub(victim.Started) > q.waste.left {
		return 0, false
	}
	return victim.ID, true
}

// Preempted reports the end of a preempted run.
func (q *Queue) Preempted(now time.Time, rank model.Rank, slotTime time.Duration) {
	q.waste.advance(now, q.slots)
	q.waste.left -= slotTime
	if r := q.byName[rank]; r != nil {
		r.usage.add(now, -1)
	}
}

// urgentWaiting returns the most urgent rank below its guarantee that has more
// items that may preempt a run than slots are about to become free for it.
func (q *Queue) urgentWaiting(now time.Time, stopping int) *rankQueue {
	for _, r := range q.ranks {
		if !q.belowGuarantee(now, r) {
			continue
		}
		stopping -= r.countPreempting(now)
		if stopping < 0 {
			return r
		}
	}
	return nil
}

// victim returns the run whose cancellation wastes the least work: the youngest
// run of a less urgent rank that is above its own guarantee.
func (q *Queue) victim(now time.Time, urgent *rankQueue, runs []Run) (Run, bool) {
	var best Run
	found := false
	for _, run := range runs {
		r := q.byName[run.Rank]
		if r == nil || r.spec.Priority <= urgent.spec.Priority || r.usage.share(now, q.slots) <= r.spec.GuaranteedShare {
			continue
		}
		if !found || run.Started.After(best.Started) {
			best, found = run, true
		}
	}
	return best, found
}

// countPreempting returns the number of items that have waited long enough to
// preempt a run. Exclusive items never do.
func (r *rankQueue) countPreempting(now time.Time) int {
	bound := time.Duration(preemptAfterShare * float64(r.spec.Deadline))
	count := 0
	for _, w := range r.waiting {
		if now.Sub(w.since) < bound {
			break
		}
		if !w.Exclusive {
			count++
		}
	}
	return count
}
