package entry

import (
	"context"
	"math/rand"
	"sync"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/wire"
	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
	"github.com/wisteriacrank/wisteriacrank/pkg/grant"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

const (
	// grantsPerRequest is the number of slots that an owner requests at a time.
	// Larger grants would leave fewer slots for owners on other hosts.
	grantsPerRequest = 2
	// maxGrantRequests bounds the dispatchers that are requested to grant slots
	// for one request of a caller.
	maxGrantRequests = 3
	grantCallTimeout = 500 * time.Millisecond
)

// remoteGrants is the owner's side of capacity grants. It is safe for concurrent
// use.
type remoteGrants struct {
	region model.Region
	peers  *wire.Client

	mu   sync.Mutex
	pool *grant.Pool
	rng  *rand.Rand
	// addresses are the peer addresses of dispatchers, to return grants.
	addresses map[model.HostID]string
}

func newRemoteGrants(region model.Region, peers *wire.Client, seed int64) *remoteGrants {
	return &remoteGrants{
		region:    region,
		peers:     peers,
		pool:      grant.NewPool(),
		rng:       rand.New(rand.NewSource(seed)),
		addresses: make(map[model.HostID]string),
	}
}

// acquire returns a slot of one of the dispatchers. It requests grants from them
// if the pool has no slot.
func (r *remoteGrants) acquire(ctx context.Context, service model.Service, hosts []model.HostRecord) (grant.Slot, bool) {
	if slot, ok := r.takeSlot(service, hosts); ok {
		return slot, true
	}
	for _, host := range r.sample(hosts) {
		r.requestGrant(ctx, service, host)
		if slot, ok := r.takeSlot(service, hosts); ok {
			return slot, true
		}
	}
	return grant.Slot{}, false
}

func (r *remoteGrants) takeSlot(service model.Service, hosts []model.HostRecord) (grant.Slot, bool) {
	allowed := make(map[model.HostID]bool, len(hosts))
	for _, h := range hosts {
		allowed[h.Host] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pool.Acquire(time.Now(), service, func(id model.HostID) bool { return allowed[id] })
}

func (r *remoteGrants) sample(hosts []model.HostRecord) []model.HostRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	shuffled := append([]model.HostRecord(nil), hosts...)
	r.rng.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	return shuffled[:min(maxGrantRequests, len(shuffled))]
}

func (r *remoteGrants) requestGrant(ctx context.Context, service model.Service, host model.HostRecord) {
	ctx, cancel := context.WithTimeout(ctx, grantCallTimeout)
	defer cancel()
	requested := time.Now()
	env := &wirepb.Envelope{Body: &wirepb.Envelope_GrantRequest{GrantRequest: &wirepb.GrantRequest{
		Service:    string(service),
		FromRegion: string(r.region),
		Count:      grantsPerRequest,
	}}}
	reply, err := r.peers.Call(ctx, host.PeerAddress, env)
	if err != nil || reply.GetGrantReply().GetCount() == 0 {
		return
	}
	granted := reply.GetGrantReply()
	id := grant.ID{Incarnation: model.Incarnation(granted.Incarnation), Sequence: granted.GrantId}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pool.Add(requested, host.Host, service, grant.Grant{ID: id, Count: int(granted.Count)})
	r.addresses[host.Host] = host.PeerAddress
}

// release ends the use of a slot. If the dispatcher refused the slot, the whole
// grant is removed.
func (r *remoteGrants) release(slot grant.Slot, refused bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pool.Release(slot)
	if refused {
		r.pool.Remove(slot.ID)
	}
}

// returnUnused returns unused slots to their dispatchers. If a return is lost,
// the slots become free when the grant expires.
func (r *remoteGrants) returnUnused(ctx context.Context) {
	r.mu.Lock()
	surplus := r.pool.TakeUnused(time.Now())
	envelopes := make(map[*wirepb.Envelope]string, len(surplus))
	for _, unused := range surplus {
		envelopes[grantReturn(unused)] = r.addresses[unused.Dispatcher]
	}
	r.mu.Unlock()
	for env, address := range envelopes {
		callCtx, cancel := context.WithTimeout(ctx, grantCallTimeout)
		_, _ = r.peers.Call(callCtx, address, env)
		cancel()
	}
}

func grantReturn(unused grant.Surplus) *wirepb.Envelope {
	return &wirepb.Envelope{Body: &wirepb.Envelope_GrantReturn{GrantReturn: &wirepb.GrantReturn{
		Service:     string(unused.Service),
		GrantId:     unused.ID.Sequence,
		Incarnation: uint64(unused.ID.Incarnation),
		Count:       uint32(unused.Count),
	}}}
}

// handleGrantRequest grants slots to an entry host of another region.
func (d *dispatcher) handleGrantRequest(holder model.HostID, m *wirepb.GrantRequest) *wirepb.Envelope {
	reply := &wirepb.GrantReply{Incarnation: uint64(d.incarnation), ValidMillis: grant.Lifetime.Milliseconds()}
	if s := d.scheduler(model.Service(m.Service)); s != nil {
		if g, ok := s.issue(time.Now(), holder, int(m.Count)); ok {
			reply.GrantId, reply.Count = g.ID.Sequence, uint32(g.Count)
		}
	}
	return &wirepb.Envelope{Body: &wirepb.Envelope_GrantReply{GrantReply: reply}}
}

// handleGrantReturn frees returned slots.
func (d *dispatcher) handleGrantReturn(holder model.HostID, m *wirepb.GrantReturn) *wirepb.Envelope {
	if s := d.scheduler(model.Service(m.Service)); s != nil {
		id := grant.ID{Incarnation: model.Incarnation(m.Incarnation), Sequence: m.GrantId}
		s.returnSlots(time.Now(), id, holder, int(m.Count))
	}
	return &wirepb.Envelope{Body: &wirepb.Envelope_GrantReturnReply{GrantReturnReply: &wirepb.GrantReturnReply{}}}
}
