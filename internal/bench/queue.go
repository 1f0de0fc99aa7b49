package bench

import (
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/admission"
	"github.com/wisteriacrank/wisteriacrank/pkg/document"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

// queue is the interface of a dispatcher to its queue.
type queue interface {
	Offer(now time.Time, item admission.Item) result.Code
	Requeue(now time.Time, item admission.Item) bool
	Next(now time.Time, free admission.FreeSlots) (admission.Item, bool)
	Expire(now time.Time) []admission.Item
	Done(now time.Time, rank model.Rank, slotTime time.Duration)
	Started(now time.Time, rank model.Rank)
	SetSlots(now time.Time, slots int)
	ExpectedWait(now time.Time, rank model.Rank) time.Duration
	Preempt(now time.Time, runs []admission.Run, stopping int) (admission.ItemID, bool)
	Preempted(now time.Time, rank model.Rank, slotTime time.Duration)
	Waiting(rank model.Rank) int
	Len() int
}

// fifo is the baseline: a single queue for all ranks, limited to the sum of the
// ranks' queue limits.
type fifo struct {
	items      []admission.Item
	limit      int
	lastExpire time.Time // last scan for expired items
}

func newFIFO(ranks []document.Rank) *fifo {
	f := &fifo{}
	for _, r := range ranks {
		f.limit += r.QueueLimit
	}
	return f
}

// Offer implements queue.
func (f *fifo) Offer(now time.Time, item admission.Item) result.Code {
	if len(f.items) >= f.limit {
		return result.QueueFull
	}
	f.items = append(f.items, item)
	return result.Served
}

// Requeue implements queue.
func (f *fifo) Requeue(_ time.Time, item admission.Item) bool {
	f.items = append([]admission.Item{item}, f.items...)
	return true
}

// Next implements queue.
func (f *fifo) Next(time.Time, admission.FreeSlots) (admission.Item, bool) {
	if len(f.items) == 0 {
		return admission.Item{}, false
	}
	item := f.items[0]
	f.items = f.items[1:]
	return item, true
}

// Expire implements queue. It removes expired items, as common proxies do when
// the caller closes its connection.
func (f *fifo) Expire(now time.Time) []admission.Item {
	if now.Sub(f.lastExpire) < refreshInterval {
		return nil
	}
	f.lastExpire = now
	var expired, remaining []admission.Item
	for _, item := range f.items {
		if now.Before(item.Deadline) {
			remaining = append(remaining, item)
		} else {
			expired = append(expired, item)
		}
	}
	f.items = remaining
	return expired
}

// Done implements queue.
func (f *fifo) Done(time.Time, model.Rank, time.Duration) {}

// Started implements queue.
func (f *fifo) Started(time.Time, model.Rank) {}

// SetSlots implements queue.
func (f *fifo) SetSlots(time.Time, int) {}

// ExpectedWait implements queue.
func (f *fifo) ExpectedWait(time.Time, model.Rank) time.Duration { return 0 }

// Preempt implements queue.
func (f *fifo) Preempt(time.Time, []admission.Run, int) (admission.ItemID, bool) { return 0, false }

// Preempted implements queue.
func (f *fifo) Preempted(time.Time, model.Rank, time.Duration) {}

// Len implements queue.
func (f *fifo) Len() int { return len(f.items) }

// Waiting implements queue. It counts the items of all ranks.
func (f *fifo) Waiting(model.Rank) int { return len(f.items) }
