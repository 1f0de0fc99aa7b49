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
	// grantsPerRequest is how many slots an owner asks for at a time. Small
	// grants leave slots for the owners of other hosts.
	grantsPerRequest = 2
	// askedDispatchers bounds the dispatchers asked for one request.
	askedDispatchers = 3
	grantCallTimeout = 500 * time.Millisecond
)

// remote is the owner's side of capacity grants. It is safe for concurrent
// use.
type remote struct {
	region model.Region
	peers  *wire.Client

	mu     sync.Mutex
	wallet *grant.Pool
	rng    *rand.Rand
	// addresses are needed to return grants.
	addresses map[model.HostID]string
}

func newRemote(region model.Region, peers *wire.Client, seed int64) *remote {
	return &remote{
		region:    region,
		peers:     peers,
		wallet:    grant.NewPool(),
		rng:       rand.New(rand.NewSource(seed)),
		addresses: make(map[model.HostID]string),
	}
}

// acquire returns a slot of one of the dispatchers, asking them for grants if
// there is none.
func (r *remote) acquire(ctx context.Context, service model.Service, hosts []model.HostRecord) (grant.Slot, bool) {
	if slot, ok := r.take(service, hosts); ok {
		return slot, true
	}
	for _, host := range r.sample(hosts) {
		r.ask(ctx, service, host)
		if slot, ok := r.take(service, hosts); ok {
			return slot, true
		}
	}
	return grant.Slot{}, false
}

func (r *remote) take(service model.Service, hosts []model.HostRecord) (grant.Slot, bool) {
	allowed := make(map[model.HostID]bool, len(hosts))
	for _, h := range hosts {
		allowed[h.Host] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.wallet.Acquire(time.Now(), service, func(id model.HostID) bool { return allowed[id] })
}

func (r *remote) sample(hosts []model.HostRecord) []model.HostRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	shuffled := append([]model.HostRecord(nil), hosts...)
	r.rng.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	return shuffled[:min(askedDispatchers, len(shuffled))]
}

func (r *remote) ask(ctx context.Context, service model.Service, host model.HostRecord) {
	ctx, cancel := context.WithTimeout(ctx, grantCallTimeout)
	defer cancel()
	asked := time.Now()
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
	r.wallet.Add(asked, host.Host, service, grant.Grant{ID: id, Count: int(granted.Count)})
	r.addresses[host.Host] = host.PeerAddress
}

// release ends the use of a slot. A slot that its dispatcher refused takes
// the rest of the grant with it.
func (r *remote) release(slot grant.Slot, refused bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wallet.Release(slot)
	if refused {
		r.wallet.Remove(slot.ID)
	}
}

// returnUnused gives unused slots back to their dispatchers. A lost return
// costs nothing but time: the grant expires.
func (r *remote) returnUnused(ctx context.Context) {
	r.mu.Lock()
	surplus := r.wallet.TakeUnused(time.Now())
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

// issueGrant answers an entry host of another region.
func (d *dispatcher) issueGrant(holder model.HostID, m *wirepb.GrantRequest) *wirepb.Envelope {
	reply := &wirepb.GrantReply{Incarnation: uint64(d.incarnation), ValidMillis: grant.Lifetime.Milliseconds()}
	if s := d.scheduler(model.Service(m.Service)); s != nil {
		if g, ok := s.issue(time.Now(), holder, int(m.Count)); ok {
			reply.GrantId, reply.Count = g.ID.Sequence, uint32(g.Count)
		}
	}
	return &wirepb.Envelope{Body: &wirepb.Envelope_GrantReply{GrantReply: reply}}
}

// takeBackGrant accepts returned slots.
func (d *dispatcher) takeBackGrant(holder model.HostID, m *wirepb.GrantReturn) *wirepb.Envelope {
	if s := d.scheduler(model.Service(m.Service)); s != nil {
		id := grant.ID{Incarnation: model.Incarnation(m.Incarnation), Sequence: m.GrantId}
		s.takeBack(time.Now(), id, holder, int(m.Count))
	}
	return &wirepb.Envelope{Body: &wirepb.Envelope_GrantReturnReply{GrantReturnReply: &wirepb.GrantReturnReply{}}}
}
