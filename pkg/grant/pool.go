package grant

import (
	"slices"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// unusedTime is how long a part of a grant may stay unused before the owner
// returns it.
const unusedTime = time.Second

// Pool holds the grants of one owner.
type Pool struct {
	held []*held
}

type held struct {
	dispatcher model.HostID
	service    model.Service
	id         ID
	count      int
	used       int
	expires    time.Time
	// peak is the highest use since the last check for unused parts.
	peak      int
	peakSince time.Time
}

// Slot is one request's use of a grant.
type Slot struct {
	Dispatcher model.HostID
	ID         ID
}

// Surplus is an unused part of a grant to return to its dispatcher.
type Surplus struct {
	Dispatcher model.HostID
	Service    model.Service
	ID         ID
	Count      int
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{} }

// Add stores a grant. The lifetime counts from asked, the time when the owner
// asked for it, so that the owner's copy never outlives the dispatcher's.
func (w *Pool) Add(asked time.Time, dispatcher model.HostID, service model.Service, g Grant) {
	w.held = append(w.held, &held{
		dispatcher: dispatcher,
		service:    service,
		id:         g.ID,
		count:      g.Count,
		expires:    asked.Add(Lifetime),
		peakSince:  asked,
	})
}

// Acquire uses a slot of the grant that expires first among those of the
// dispatchers for which accept returns true.
func (w *Pool) Acquire(now time.Time, service model.Service, accept func(model.HostID) bool) (Slot, bool) {
	w.expire(now)
	for _, h := range w.held {
		if h.service == service && h.used < h.count && accept(h.dispatcher) {
			h.used++
			h.peak = max(h.peak, h.used)
			return Slot{Dispatcher: h.dispatcher, ID: h.id}, true
		}
	}
	return Slot{}, false
}

// Release ends the use of a slot.
func (w *Pool) Release(slot Slot) {
	if h := w.find(slot.ID); h != nil {
		h.used = max(0, h.used-1)
	}
}

// Remove removes a grant that its dispatcher refused.
func (w *Pool) Remove(id ID) {
	w.held = slices.DeleteFunc(w.held, func(h *held) bool { return h.id == id })
}

// FreeSlots returns the unused slots for a service.
func (w *Pool) FreeSlots(now time.Time, service model.Service) int {
	w.expire(now)
	room := 0
	for _, h := range w.held {
		if h.service == service {
			room += h.count - h.used
		}
	}
	return room
}

// TakeUnused takes out the parts of grants that were not used for a second. The
// owner sends them back to their dispatchers.
func (w *Pool) TakeUnused(now time.Time) []Surplus {
	w.expire(now)
	var surplus []Surplus
	for _, h := range w.held {
		if now.Sub(h.peakSince) < unusedTime {
			continue
		}
		if spare := h.count - h.peak; spare > 0 {
			h.count -= spare
			surplus = append(surplus, Surplus{Dispatcher: h.dispatcher, Service: h.service, ID: h.id, Count: spare})
		}
		h.peak, h.peakSince = h.used, now
	}
	return surplus
}

func (w *Pool) find(id ID) *held {
	at := slices.IndexFunc(w.held, func(h *held) bool { return h.id == id })
	if at < 0 {
		return nil
	}
	return w.held[at]
}

func (w *Pool) expire(now time.Time) {
	w.held = slices.DeleteFunc(w.held, func(h *held) bool { return !now.Before(h.expires) })
}
