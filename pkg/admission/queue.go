// Package admission decides which request of a service runs next on a
// dispatcher: a queue per rank, guaranteed shares of slot time, lending of
// idle share, deadline checks, and preemption of long runs by urgent work.
//
// A Queue is not safe for concurrent use; the dispatcher serializes access.
package admission

import (
	"slices"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/document"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

// ItemID identifies a queued or running request. The caller chooses it and
// does not reuse it while the request is queued.
type ItemID uint64

// Item is a request that needs a slot.
type Item struct {
	ID       ItemID
	Rank     model.Rank
	Deadline time.Time
	// Exclusive is set if the request may only run on a server without other work.
	Exclusive bool
}

// FreeSlots says which kinds of free slots a dispatcher has.
type FreeSlots struct {
	// Shared is set if a server that may also run other work has a free slot.
	Shared bool
	// Exclusive is set if a server has no work at all.
	Exclusive bool
}

// Queue is the rank queue of one service.
type Queue struct {
	ranks  []*rankQueue // in order of priority
	byName map[model.Rank]*rankQueue
	rankOf map[ItemID]*rankQueue
	slots  int
	// earliest is not later than any queued deadline. Expire scans the queue only
	// from then on.
	earliest time.Time
	waste    wasteBudget
	reserve  reserve
}

type rankQueue struct {
	spec             document.Rank
	waiting          []waitingItem
	exclusiveWaiting int
	usage            usage
	runTime          runTime
}

// waitingItem is a queued item.
type waitingItem struct {
	Item
	since time.Time
}

// New returns an empty queue. The ranks' order does not matter.
func New(now time.Time, ranks []document.Rank, slots int) *Queue {
	q := &Queue{
		byName: make(map[model.Rank]*rankQueue),
		rankOf: make(map[ItemID]*rankQueue),
		waste:  wasteBudget{at: now},
	}
	q.SetSlots(now, slots)
	q.SetRanks(now, ranks)
	return q
}

// SetSlots sets the number of slots that the queue's work may use.
func (q *Queue) SetSlots(now time.Time, slots int) {
	q.waste.advance(now, q.slots)
	q.slots = slots
}

// SetRanks replaces the configuration of the ranks. Queued items stay in order;
// those whose rank no longer exists are removed and returned, and the caller
// refuses them.
func (q *Queue) SetRanks(now time.Time, ranks []document.Rank) (orphans []Item) {
	next := make(map[model.Rank]*rankQueue, len(ranks))
	q.ranks = q.ranks[:0:0]
	for _, spec := range ranks {
		r := q.byName[spec.Name]
		if r == nil {
			r = &rankQueue{usage: usage{at: now}}
		}
		r.spec = spec
		next[spec.Name] = r
		q.ranks = append(q.ranks, r)
	}
	for name, r := range q.byName {
		if next[name] == nil {
			orphans = append(orphans, q.removeAll(r)...)
		}
	}
	q.byName = next
	slices.SortStableFunc(q.ranks, func(a, b *rankQueue) int { return a.spec.Priority - b.spec.Priority })
	return orphans
}

func (q *Queue) removeAll(r *rankQueue) []Item {
	items := make([]Item, 0, len(r.waiting))
	for len(r.waiting) > 0 {
		items = append(items, q.removeAt(r, 0))
	}
	return items
}

// Offer queues the item, or refuses it with a code other than result.Served:
// UnknownRank, DeadlineBeforeRun, QueueFull or WouldMissDeadline.
func (q *Queue) Offer(now time.Time, item Item) result.Code {
	r := q.byName[item.Rank]
	switch {
	case r == nil:
		return result.UnknownRank
	case !now.Before(item.Deadline):
		return result.DeadlineBeforeRun
	case len(r.waiting) >= r.spec.QueueLimit:
		return result.QueueFull
	case now.Add(q.ExpectedWait(now, item.Rank) + r.runTime.mean).After(item.Deadline):
		return result.WouldMissDeadline
	}
	r.waiting = append(r.waiting, waitingItem{item, now})
	q.track(r, item)
	return result.Served
}

// Requeue puts a preempted item back at the front of its rank's queue. It does
// not check the queue limit, because the request was accepted before. A false
// result means that its rank no longer exists or its deadline has passed.
func (q *Queue) Requeue(now time.Time, item Item) bool {
	r := q.byName[item.Rank]
	if r == nil || !now.Before(item.Deadline) {
		return false
	}
	r.waiting = slices.Insert(r.waiting, 0, waitingItem{item, now})
	q.track(r, item)
	return true
}

func (q *Queue) track(r *rankQueue, item Item) {
	q.rankOf[item.ID] = r
	if item.Exclusive {
		r.exclusiveWaiting++
	}
	if q.earliest.IsZero() || item.Deadline.Before(q.earliest) {
		q.earliest = item.Deadline
	}
}

// Remove removes a waiting item, for example because its request was cancelled.
// It reports whether the item was waiting.
func (q *Queue) Remove(id ItemID) bool {
	r := q.rankOf[id]
	if r == nil {
		return false
	}
	at := slices.IndexFunc(r.waiting, func(w waitingItem) bool { return w.ID == id })
	q.removeAt(r, at)
	return true
}

func (q *Queue) removeAt(r *rankQueue, at int) Item {
	item := r.waiting[at].Item
	r.waiting = slices.Delete(r.waiting, at, at+1)
	delete(q.rankOf, item.ID)
	if item.Exclusive {
		r.exclusiveWaiting--
	}
	return item
}

// Expire removes and returns all items whose deadline has passed. The caller
// refuses them with result.DeadlineBeforeRun.
func (q *Queue) Expire(now time.Time) []Item {
	if q.earliest.IsZero() || now.Before(q.earliest) {
		return nil
	}
	var expired []Item
	q.earliest = time.Time{}
	for _, r := range q.ranks {
		for at := 0; at < len(r.waiting); {
			if !now.Before(r.waiting[at].Deadline) {
				expired = append(expired, q.removeAt(r, at))
				continue
			}
			if d := r.waiting[at].Deadline; q.earliest.IsZero() || d.Before(q.earliest) {
				q.earliest = d
			}
			at++
		}
	}
	return expired
}

// Waiting returns the number of waiting items of a rank.
func (q *Queue) Waiting(rank model.Rank) int {
	if r := q.byName[rank]; r != nil {
		return len(r.waiting)
	}
	return 0
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return len(q.rankOf) }

// ExclusiveWaiting reports whether an exclusive item is waiting.
func (q *Queue) ExclusiveWaiting() bool {
	return slices.ContainsFunc(q.ranks, func(r *rankQueue) bool { return r.exclusiveWaiting > 0 })
}
