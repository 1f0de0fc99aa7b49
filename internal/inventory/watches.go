package inventory

import (
	"context"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// overdueAfter is the least time for which a watch may go on waiting while other
// responses show that the store has written since the watch began. A write to another
// collection costs a call for each watch, so it is about as long as a change may take to
// be read.
const overdueAfter = 700 * time.Millisecond

// watches has the watches of a Reader that wait for changes. A store may forget one
// without ending the call. Its other responses show its position, so a watch that
// has not returned for a write is begun again from where it was.
type watches struct {
	// storeAt is the latest position that a response of the store has shown.
	storeAt model.Position
	latest  map[Collection]*watchCall
}

// watchCall is the latest watch of a collection. It may have ended.
type watchCall struct {
	cancel context.CancelFunc
	began  time.Time
	// knownAt is the latest known position of the store when the watch began.
	knownAt model.Position
	// behindSince is when a response first showed a later position, or zero.
	behindSince time.Time
	// overdue is true if the watch was cancelled because it had not returned.
	overdue bool
}

func newWatches() watches { return watches{latest: make(map[Collection]*watchCall)} }

// begin records the start of a watch. If the one before was overdue, it returns the
// position up to which that one should have returned changes.
func (w *watches) begin(now time.Time, c Collection, cancel context.CancelFunc) (missed model.Position) {
	if previous, ok := w.latest[c]; ok && previous.overdue {
		missed = w.storeAt
	}
	w.latest[c] = &watchCall{cancel: cancel, began: now, knownAt: w.storeAt}
	return missed
}

// end records that the latest watch of a collection has returned.
func (w *watches) end(c Collection) {
	if call, ok := w.latest[c]; ok && !call.overdue {
		delete(w.latest, c)
	}
}

// heldSince returns since when the store has held a watch that it had the time to
// refuse, or zero. A probe that began at that time has been served.
func (w *watches) heldSince(now, probed time.Time, limit time.Duration) (since time.Time) {
	for _, call := range w.latest {
		if now.Sub(call.began) >= limit && !probed.Before(call.began) && (since.IsZero() || call.began.Before(since)) {
			since = call.began
		}
	}
	return since
}

// observe records the position that a response of the store has shown.
func (w *watches) observe(now time.Time, at model.Position) {
	w.storeAt = w.storeAt.Later(at)
	for _, call := range w.latest {
		if call.behindSince.IsZero() && call.knownAt.Before(w.storeAt) {
			call.behindSince = now
		}
	}
}

// cancelOverdue cancels the watches that have not returned in time. A response may take
// as long as the limit.
func (w *watches) cancelOverdue(now time.Time, limit time.Duration) {
	limit = max(limit, overdueAfter)
	for _, call := range w.latest {
		if !call.overdue && !call.behindSince.IsZero() && now.Sub(call.behindSince) >= limit {
			call.overdue = true
			call.cancel()
		}
	}
}

func (w *watches) cancel(c Collection) {
	if call, ok := w.latest[c]; ok {
		call.cancel()
	}
}

func (w *watches) cancelAll() {
	for c := range w.latest {
		w.cancel(c)
	}
}
