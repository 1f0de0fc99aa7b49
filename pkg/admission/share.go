package admission

import (
	"math"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// usageWindow is the time constant of the average of busy slots per rank. A
// shorter one follows single runs on small hosts, a longer one lets a rank
// that was idle claim its share for too long.
const usageWindow = 2 * time.Second

// claimBound limits how far use above the guaranteed share counts against a
// rank later. Without it, a rank that used lent slots gets none of its own for
// seconds after a flood of another rank has begun.
const claimBound = 1.5

// usage is the exponentially weighted average of a rank's busy slots.
type usage struct {
	at      time.Time
	running int
	average float64
	// claim follows the average but is at most claimBound times the guarantee.
	claim float64
}

func (u *usage) advance(now time.Time) {
	elapsed := now.Sub(u.at)
	if elapsed <= 0 {
		return
	}
	keep := math.Exp(-float64(elapsed) / float64(usageWindow))
	u.average = float64(u.running) + (u.average-float64(u.running))*keep
	u.claim = float64(u.running) + (u.claim-float64(u.running))*keep
	u.at = now
}

// add changes the number of running requests.
func (u *usage) add(now time.Time, change int) {
	u.advance(now)
	u.running = max(0, u.running+change)
}

// share returns the recent share of the slots.
func (u *usage) share(now time.Time, slots int) float64 {
	u.advance(now)
	if slots <= 0 {
		return 0
	}
	return u.average / float64(slots)
}

// belowGuarantee reports whether a rank used less than its guaranteed share.
func (q *Queue) belowGuarantee(now time.Time, r *rankQueue) bool {
	r.usage.advance(now)
	guaranteed := r.spec.GuaranteedShare * float64(q.slots)
	r.usage.claim = min(r.usage.claim, claimBound*guaranteed)
	return r.usage.claim < guaranteed
}

// Next takes out the item that gets the free slot: first from ranks below
// their guaranteed share in order of priority, then from any rank in order of
// priority. An item whose deadline has passed is never picked. The last free
// slot may be kept for urgent work for some milliseconds, so the dispatcher
// calls Next again every few milliseconds while items wait.
func (q *Queue) Next(now time.Time, room FreeSlots) (Item, bool) {
	for _, r := range q.ranks {
		if q.belowGuarantee(now, r) {
			if item, ok := q.start(now, r, room); ok {
				return item, true
			}
		}
	}
	for _, r := range q.ranks {
		if item, ok := q.start(now, r, room); ok {
			return item, true
		}
	}
	return Item{}, false
}

func (q *Queue) start(now time.Time, r *rankQueue, room FreeSlots) (Item, bool) {
	if len(r.waiting) > 0 && q.kept(now, r) {
		return Item{}, false
	}
	for at, w := range r.waiting {
		item := w.Item
		if !now.Before(item.Deadline) {
			continue
		}
		if (item.Exclusive && room.Exclusive) || (!item.Exclusive && room.Shared) {
			r.usage.add(now, 1)
			return q.take(r, at), true
		}
	}
	return Item{}, false
}

// Started counts a run that did not come from Next, such as one that arrived
// with a capacity grant.
func (q *Queue) Started(now time.Time, rank model.Rank) {
	if r := q.byName[rank]; r != nil {
		r.usage.add(now, 1)
	}
}

// Done reports the end of a run and how long it held its slot.
func (q *Queue) Done(now time.Time, rank model.Rank, slotTime time.Duration) {
	if r := q.byName[rank]; r != nil {
		q.keep(now, r)
		r.usage.add(now, -1)
		r.runTime.add(slotTime)
	}
}

// Share returns a rank's recent share of the slots.
func (q *Queue) Share(now time.Time, rank model.Rank) float64 {
	if r := q.byName[rank]; r != nil {
		return r.usage.share(now, q.slots)
	}
	return 0
}
