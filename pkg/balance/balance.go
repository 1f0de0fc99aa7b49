// Package balance chooses the dispatcher of a request among those that can accept
// it. It combines the load that a dispatcher last reported with the owner's own
// pending requests to it.
//
// A Picker is not safe for concurrent use.
package balance

import (
	"math/rand"
	"slices"

	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// Load is the load that a dispatcher reports with a reply.
type Load struct {
	Slots int
	// Waiting is the number of queued requests of the same rank as the request
	// that the reply is for.
	Waiting int
}

// Picker keeps an owner's view of the load of the dispatchers of one service and
// rank. A picker shared by all ranks would choose dispatchers for urgent requests
// by the long queues of uploads, which raises the urgent p99 by a factor of 4 to 7
// under an upload flood.
type Picker struct {
	rng         *rand.Rand
	dispatchers map[model.HostID]*dispatcher
}

type dispatcher struct {
	load Load
	// pending is the number of the owner's own requests without a reply.
	pending int
}

// New returns a picker without load reports. It draws candidates from rng.
func New(rng *rand.Rand) *Picker {
	return &Picker{rng: rng, dispatchers: make(map[model.HostID]*dispatcher)}
}

// choices is the number of random candidates that are compared. If all were
// compared, all owners would choose the same dispatcher at the same time.
const choices = 2

// Pick returns the less loaded of two random candidates. candidates must not be
// empty.
func (p *Picker) Pick(candidates []model.HostID) model.HostID {
	best := candidates[p.rng.Intn(len(candidates))]
	for range choices - 1 {
		other := candidates[p.rng.Intn(len(candidates))]
		if p.score(other) < p.score(best) {
			best = other
		}
	}
	return best
}

// Order returns up to limit distinct candidates, each picked from the remaining
// ones.
func (p *Picker) Order(candidates []model.HostID, limit int) []model.HostID {
	remaining := slices.Clone(candidates)
	var order []model.HostID
	for len(remaining) > 0 && len(order) < limit {
		id := p.Pick(remaining)
		order = append(order, id)
		remaining = slices.DeleteFunc(remaining, func(other model.HostID) bool { return other == id })
	}
	return order
}

// score returns the pending and waiting requests per slot, including one new
// request. It is 0 for a dispatcher without data.
func (p *Picker) score(id model.HostID) float64 {
	d, ok := p.dispatchers[id]
	if !ok {
		return 0
	}
	slots := max(1, d.load.Slots)
	return float64(d.pending+d.load.Waiting+1) / float64(slots)
}

// Sent counts a request that is sent to the dispatcher.
func (p *Picker) Sent(id model.HostID) {
	d := p.dispatchers[id]
	if d == nil {
		d = &dispatcher{}
		p.dispatchers[id] = d
	}
	d.pending++
}

// Replied counts a reply of the dispatcher. A nil load means that it reported none.
func (p *Picker) Replied(id model.HostID, load *Load) {
	d := p.dispatchers[id]
	if d == nil {
		return
	}
	d.pending = max(0, d.pending-1)
	if load != nil {
		d.load = *load
	}
}

// Retain removes the dispatchers that are not in the set.
func (p *Picker) Retain(current map[model.HostID]bool) {
	for id := range p.dispatchers {
		if !current[id] {
			delete(p.dispatchers, id)
		}
	}
}
