package grant

import (
	"slices"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// unusedTime is how long slots of a grant may stay unused before the owner returns
// them.
const unusedTime = time.Second

// Pool holds the grants that one owner received.
type Pool struct {
	grants []*heldGrant
}

// heldGrant is a grant in a pool.
type heldGrant struct {
	dispatcher model.HostID
	service    model.Service
	id         ID
	count      int
	used       int
	expires    time.Time
	// peak is the highest value of used since peakSince, the time of the last
	// check for unused slots.
	peak      int
	peakSince time.Time
}

// Slot is a slot of a grant that one request uses.
type Slot struct {
	Dispatcher model.HostID
	ID         ID
}

// Surplus is a number of unused slots of a grant to return to its dispatcher.
type Surplus struct {
	Dispatcher model.HostID
	Service    model.Service
	ID         ID
	Count      int
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{} }

// Add stores a grant. Its lifetime starts at requested, the time when the owner
// requested it, so that the grant never expires later in the pool than on the
// dispatcher.
func (p *Pool) Add(requested time.Time, dispatcher model.HostID, service model.Service, g Grant) {
	p.grants = append(p.grants, &heldGrant{
		dispatcher: dispatcher,
		service:    service,
		id:         g.ID,
		count:      g.Count,
		expires:    requested.Add(Lifetime),
		peakSince:  requested,
	})
}

// Acquire occupies a slot of the oldest usable grant of a dispatcher for which
// accept returns true.
func (p *Pool) Acquire(now time.Time, service model.Service, accept func(model.HostID) bool) (Slot, bool) {
	p.expire(now)
	for _, g := range p.grants {
		if g.service == service && g.used < g.count && accept(g.dispatcher) {
			g.used++
			g.peak = max(g.peak, g.used)
			return Slot{Dispatcher: g.dispatcher, ID: g.id}, true
		}
	}
	return Slot{}, false
}

// Release frees a slot.
func (p *Pool) Release(slot Slot) {
	if g := p.find(slot.ID); g != nil {
		g.used = max(0, g.used-1)
	}
}

// Remove removes a grant, after its dispatcher refused it.
func (p *Pool) Remove(id ID) {
	p.grants = slices.DeleteFunc(p.grants, func(g *heldGrant) bool { return g.id == id })
}

// FreeSlots returns the number of unused slots for a service.
func (p *Pool) FreeSlots(now time.Time, service model.Service) int {
	p.expire(now)
	free := 0
	for _, g := range p.grants {
		if g.service == service {
			free += g.count - g.used
		}
	}
	return free
}

// TakeUnused removes the slots that were not used since the last check, which was
// at least unusedTime ago, and returns them. The owner sends them back to their
// dispatchers.
func (p *Pool) TakeUnused(now time.Time) []Surplus {
	p.expire(now)
	var surplus []Surplus
	for _, g := range p.grants {
		if now.Sub(g.peakSince) < unusedTime {
			continue
		}
		if unused := g.count - g.peak; unused > 0 {
			g.count -= unused
			surplus = append(surplus, Surplus{Dispatcher: g.dispatcher, Service: g.service, ID: g.id, Count: unused})
		}
		g.peak, g.peakSince = g.used, now
	}
	return surplus
}

func (p *Pool) find(id ID) *heldGrant {
	i := slices.IndexFunc(p.grants, func(g *heldGrant) bool { return g.id == id })
	if i < 0 {
		return nil
	}
	return p.grants[i]
}

func (p *Pool) expire(now time.Time) {
	p.grants = slices.DeleteFunc(p.grants, func(g *heldGrant) bool { return !now.Before(g.expires) })
}
