package admission

import (
	"math"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// usageTimeConstant is the time constant of the average of busy slots per rank.
// With a shorter one, the average follows single runs on small hosts; with a
// longer one, a rank that was idle counts as below its share for too long.
const usageTimeConstant = 2 * time.Second

// maxChargeFactor is the largest multiple of its guaranteed share that counts
// as the recent use of a rank. Without the limit, a rank that used lent slots
// gets none of its own for seconds after a flood of another rank has begun.
const maxChargeFactor = 1.5

// usage is the exponentially weighted average of a rank's busy slots.
type usage struct {
	at      time.Time
	running int
	average float64
	// chargedAverage follows the average, but belowGuarantee limits it to
	// maxChargeFactor times the guarantee.
	chargedAverage float64
}

func (u *usage) advance(now time.Time) {
	elapsed := now.Sub(u.at)
	if elapsed <= 0 {
		return
	}
	decay := math.Exp(-float64(elapsed) / float64(usageTimeConstant))
	u.average = float64(u.running) + (u.average-float64(u.running))*decay
	u.chargedAverage = float64(u.running) + (u.chargedAverage-float64(u.running))*decay
	u.at = now
}

// add changes the number of running requests.
func (u *usage) add(now time.Time, change int) {
	u.advance(now)
	u.running = max(0, u.running+change)
}

// share returns the rank's recent share of the slots.
func (u *usage) share(now time.Time, slots int) float64 {
	u.advance(now)
	if slots <= 0 {
		return 0
	}
	return u.average / float64(slots)
}

// belowGuarantee reports whether a rank recently used less than its guaranteed
// share.
func (q *Queue) belowGuarantee(now time.Time, r *rankQueue) bool {
	r.usage.advance(now)
	guaranteed := r.spec.GuaranteedShare * float64(q.slots)
	r.usage.chargedAverage = min(r.usage.chargedAverage, maxChargeFactor*guaranteed)
	return r.usage.chargedAverage < guaranteed
}

// Next removes and returns the item that gets the free slot: first from ranks
// below their guaranteed share in order of priority, then from any rank in order
// of priority. An item whose deadline has passed is never picked. The last free
// slot may be reserved for urgent work for some milliseconds, so the dispatcher
// calls Next again every few milliseconds while items wait.
func (q *Queue) Next(now time.Time, free FreeSlots) (Item, bool) {
	for _, r := range q.ranks {
		if q.belowGuarantee(now, r) {
			if item, ok := q.start(now, r, free); ok {
				return item, true
			}
		}
	}
	for _, r := range q.ranks {
		if item, ok := q.start(now, r, free); ok {
			return item, true
		}
	}
	return Item{}, false
}

func (q *Queue) start(now time.Time, r *rankQueue, free FreeSlots) (Item, bool) {
	if len(r.waiting) > 0 && q.isReserved(now, r) {
		return Item{}, false
	}
	for at, w := range r.waiting {
		item := w.Item
		if !now.Before(item.Deadline) {
			continue
		}
		if (item.Exclusive && free.Exclusive) || (!item.Exclusive && free.Shared) {
			r.usage.add(now, 1)
			return q.removeAt(r, at), true
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

// Done records the end of a run and how long it occupied its slot.
func (q *Queue) Done(now time.Time, rank model.Rank, slotTime time.Duration) {
	if r := q.byName[rank]; r != nil {
		q.startReserve(now, r)
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
