package inventory

import (
	"context"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

const (
	// overdueAfter is how long a watch may go on waiting while other responses show that
	// the store has written since the watch began. A write to another collection costs a
	// call for each watch, so it is about as long as a change may take to be read.
	overdueAfter = 700 * time.Millisecond
	// overdueEvacuationAfter is overdueAfter for evacuations, which may take longer.
	overdueEvacuationAfter = 2500 * time.Millisecond
)

// watches has the watches of a Reader that wait for changes. A store may forget one
// without ending the call. Its other responses show its position, so if a watch has not
// returned for a write, a call beside it asks for the changes.
type watches struct {
	// storeAt is the latest position that a response of the store has shown.
	storeAt model.Position
	waiting map[Collection]*waitingWatch
}

type waitingWatch struct {
	collection Collection
	cancel     context.CancelFunc
	began      time.Time
	// knownAt is the position of the store that was known when the watch began or was
	// checked last; behindSince is when a response first showed a later one, or zero.
	knownAt     model.Position
	behindSince time.Time
	// checked is true while a call beside the watch asks for the changes.
	checked bool
}

func newWatches() watches { return watches{waiting: make(map[Collection]*waitingWatch)} }

func (w *watches) begin(now time.Time, c Collection, cancel context.CancelFunc) {
	w.waiting[c] = &waitingWatch{collection: c, cancel: cancel, began: now, knownAt: w.storeAt}
}

func (w *watches) end(c Collection) { delete(w.waiting, c) }

// heldSince returns since when the store has held a watch that it had the time to
// refuse, or zero. A probe that began at that time has been served.
func (w *watches) heldSince(now, probed time.Time, limit time.Duration) (since time.Time) {
	for _, watch := range w.waiting {
		if now.Sub(watch.began) >= limit && !probed.Before(watch.began) && (since.IsZero() || watch.began.Before(since)) {
			since = watch.began
		}
	}
	return since
}

// observe records the position that a response of the store has shown.
func (w *watches) observe(now time.Time, at model.Position) {
	w.storeAt = w.storeAt.Later(at)
	for _, watch := range w.waiting {
		if watch.behindSince.IsZero() && watch.knownAt.Before(w.storeAt) {
			watch.behindSince = now
		}
	}
}

// beginChecks returns the watches that have not returned in time and are not being
// checked.
func (w *watches) beginChecks(now time.Time) (overdue []*waitingWatch) {
	for c, watch := range w.waiting {
		limit := overdueAfter
		if c == Evacuations {
			limit = overdueEvacuationAfter
		}
		if !watch.checked && !watch.behindSince.IsZero() && now.Sub(watch.behindSince) >= limit {
			watch.checked = true
			overdue = append(overdue, watch)
		}
	}
	return overdue
}

// endCheck records the end of a check. A failed one is repeated after the same time.
func (w *watches) endCheck(now time.Time, watch *waitingWatch, failed bool) {
	watch.checked, watch.behindSince = false, time.Time{}
	if failed {
		watch.behindSince = now
		return
	}
	watch.knownAt = w.storeAt
}

func (w *watches) cancel(c Collection) {
	if watch, ok := w.waiting[c]; ok {
		watch.cancel()
	}
}

func (w *watches) cancelAll() {
	for c := range w.waiting {
		w.cancel(c)
	}
}
