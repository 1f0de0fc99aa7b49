package entry

import (
	"math/rand"
	"sync"

	"github.com/wisteriacrank/wisteriacrank/pkg/balance"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// pickerKey identifies a picker.
type pickerKey struct {
	service model.Service
	rank    model.Rank
}

// balancer holds the pickers of all services and ranks. It is safe for
// concurrent use.
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

// retain removes hosts that are not in the view from the pickers.
func (b *balancer) retain(hosts []model.HostRecord) {
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

// sent counts a request that is sent to a host.
func (b *balancer) sent(key pickerKey, id model.HostID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.picker(key).Sent(id)
}

// replied counts the reply of a host and stores the load that it reports, if any.
func (b *balancer) replied(key pickerKey, id model.HostID, response Response) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var load *balance.Load
	if response.Load.Slots > 0 {
		load = &response.Load
	}
	b.picker(key).Replied(id, load)
}

// picker returns the picker of a service and rank, which must be in the
// document. The caller holds the mutex.
func (b *balancer) picker(key pickerKey) *balance.Picker {
	p := b.pickers[key]
	if p == nil {
		p = balance.New(b.rng)
		b.pickers[key] = p
	}
	return p
}
