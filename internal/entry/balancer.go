package entry

import (
	"math/rand"
	"sync"

	"github.com/wisteriacrank/wisteriacrank/pkg/balance"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// pickerKey names what one picker is for.
type pickerKey struct {
	service model.Service
	rank    model.Rank
}

// balancer guards the pickers of all services. It is safe for concurrent use.
type balancer struct {
	mu      sync.Mutex
	rng     *rand.Rand
	pickers map[pickerKey]*balance.Picker
}

func newBalancer(seed int64) *balancer {
	return &balancer{rng: rand.New(rand.NewSource(seed)), pickers: make(map[pickerKey]*balance.Picker)}
}

// order returns up to limit hosts in the order in which to try them.
func (b *balancer) order(key pickerKey, hosts []model.HostRecord, limit int) []model.HostRecord {
	ids := make([]model.HostID, len(hosts))
	byID := make(map[model.HostID]model.HostRecord, len(hosts))
	for i, h := range hosts {
		ids[i] = h.Host
		byID[h.Host] = h
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var ordered []model.HostRecord
	for _, id := range b.picker(key).Order(ids, limit) {
		ordered = append(ordered, byID[id])
	}
	return ordered
}

// keep forgets hosts that the view no longer has.
func (b *balancer) keep(hosts []model.HostRecord) {
	current := make(map[model.HostID]bool, len(hosts))
	for _, h := range hosts {
		current[h.Host] = true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.pickers {
		p.Retain(current)
	}
}

func (b *balancer) sent(key pickerKey, id model.HostID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.picker(key).Sent(id)
}

func (b *balancer) answered(key pickerKey, id model.HostID, answer Response) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var load *balance.Load
	if answer.Load.Slots > 0 {
		load = &answer.Load
	}
	b.picker(key).Replied(id, load)
}

// picker returns the picker of a service and rank of the document. The caller
// holds the mutex.
func (b *balancer) picker(key pickerKey) *balance.Picker {
	p := b.pickers[key]
	if p == nil {
		p = balance.New(b.rng)
		b.pickers[key] = p
	}
	return p
}
