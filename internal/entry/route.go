package entry

import (
	"context"
	"math/rand"
	"sync"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/localstate"
	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
	"github.com/wisteriacrank/wisteriacrank/pkg/balance"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

const (
	// localTries bounds the dispatchers of the own region that are tried in
	// one pass.
	localTries = 3
	// A request that waits for capacity tries again after these delays.
	minCapacityWait = 25 * time.Millisecond
	maxCapacityWait = 400 * time.Millisecond
)

// route passes the request to one dispatcher after the other. It goes on only
// after an explicit *not run*.
func (d *Daemon) route(ctx context.Context, req Request, view *localstate.View) Answer {
	wait := minCapacityWait
	for {
		answer := d.routeOnce(ctx, req, view)
		if !d.mayWait(view, req, answer.Code) {
			return answer
		}
		if time.Now().Add(wait).After(req.Deadline) {
			return answer
		}
		select {
		case <-ctx.Done():
			return answer
		case <-time.After(wait):
		}
		wait = min(2*wait, maxCapacityWait)
		view = d.watcher.Current()
	}
}

// mayWait reports whether the request waits for capacity: the cap on moved
// traffic rises with time, and a service without a server in this region
// depends on grants of others. Other refusals are final, because this region's
// queue is the place to wait.
func (d *Daemon) mayWait(view *localstate.View, req Request, code result.Code) bool {
	switch code {
	case result.MoveCapReached:
		return true
	case result.NoCapacity, result.NoGrant:
		return len(dispatchers(view, req.Service, d.settings.Host.Region)) == 0
	default:
		return false
	}
}

func (d *Daemon) routeOnce(ctx context.Context, req Request, view *localstate.View) Answer {
	answer := refusal(req, result.NoServer, "no region has a server of "+string(req.Service))
	for _, region := range regionOrder(view, d.settings.Host.Region) {
		hosts := dispatchers(view, req.Service, region)
		if len(hosts) == 0 {
			continue
		}
		if region == d.settings.Host.Region {
			answer = d.tryLocal(ctx, req, hosts)
		} else {
			answer = d.tryRegion(ctx, req, region, hosts)
		}
		if !passesOn(answer.Code) {
			return answer
		}
	}
	return answer
}

// passesOn reports whether another dispatcher may take the request after this
// answer: it did not run, and the reason lies with the dispatcher.
func passesOn(code result.Code) bool {
	switch code {
	case result.NotReady, result.Stopping, result.QueueFull, result.WouldMissDeadline,
		result.NoCapacity, result.NoGrant, result.MoveCapReached, result.LinkLimit,
		result.ServerShed, result.NoServer, result.ConnectFailed, result.NotDispatcher:
		return true
	default:
		return false
	}
}

func (d *Daemon) tryLocal(ctx context.Context, req Request, hosts []model.HostRecord) Answer {
	var answer Answer
	for range min(localTries, len(hosts)) {
		host := d.balancer.pick(req.Service, hosts)
		answer = d.passOn(ctx, req, host, wirepb.Stage_STAGE_DISPATCH)
		d.balancer.answered(req.Service, host.Host, answer)
		if !passesOn(answer.Code) {
			return answer
		}
		hosts = without(hosts, host.Host)
	}
	return answer
}

// tryRegion passes the request to a dispatcher of another region, under one of
// its grants and within the link's budget.
func (d *Daemon) tryRegion(ctx context.Context, req Request, region model.Region, hosts []model.HostRecord) Answer {
	slot, ok := d.remote.acquire(ctx, req.Service, hosts)
	if !ok {
		return refusal(req, result.NoCapacity, "no grant of region "+string(region))
	}
	refused := false
	defer func() { d.remote.release(slot, refused) }()
	if !d.links.wait(ctx, region, len(req.Body), req.Deadline) {
		return refusal(req, result.LinkLimit, "link to region "+string(region))
	}
	req.GrantID, req.GrantIncarnation = slot.ID.Sequence, slot.ID.Incarnation
	for _, host := range hosts {
		if host.Host == slot.Dispatcher {
			answer := d.passOn(ctx, req, host, wirepb.Stage_STAGE_DISPATCH)
			refused = answer.Code == result.NoGrant
			return answer
		}
	}
	return refusal(req, result.NoGrant, "dispatcher is gone")
}

// regionOrder returns the own region, then the others in document order.
func regionOrder(view *localstate.View, own model.Region) []model.Region {
	order := []model.Region{own}
	for _, r := range view.Document.Regions {
		if r.Name != own {
			order = append(order, r.Name)
		}
	}
	return order
}

// dispatchers returns the hosts of a region that dispatch to a server of the
// service which is not leaving.
func dispatchers(view *localstate.View, service model.Service, region model.Region) []model.HostRecord {
	assigned := assignment(view, service, region)
	seen := make(map[model.HostID]bool)
	for _, s := range view.Document.Servers {
		if host, ok := assigned[s.Name]; ok && !s.Drain && !view.Leaving[s.Name] {
			seen[host] = true
		}
	}
	var hosts []model.HostRecord
	for _, h := range view.Hosts {
		if seen[h.Host] {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

func without(hosts []model.HostRecord, id model.HostID) []model.HostRecord {
	rest := make([]model.HostRecord, 0, len(hosts))
	for _, h := range hosts {
		if h.Host != id {
			rest = append(rest, h)
		}
	}
	return rest
}

// balancer guards the pickers of all services. It is safe for concurrent use.
type balancer struct {
	mu      sync.Mutex
	rng     *rand.Rand
	pickers map[model.Service]*balance.Picker
}

func newBalancer(seed int64) *balancer {
	return &balancer{rng: rand.New(rand.NewSource(seed)), pickers: make(map[model.Service]*balance.Picker)}
}

// pick chooses a dispatcher and counts the request as sent to it.
func (b *balancer) pick(service model.Service, hosts []model.HostRecord) model.HostRecord {
	ids := make([]model.HostID, len(hosts))
	byID := make(map[model.HostID]model.HostRecord, len(hosts))
	for i, h := range hosts {
		ids[i] = h.Host
		byID[h.Host] = h
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pickers[service]
	if p == nil {
		p = balance.New(b.rng)
		b.pickers[service] = p
	}
	id := p.Pick(ids)
	p.Sent(id)
	return byID[id]
}

func (b *balancer) answered(service model.Service, id model.HostID, answer Answer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var load *balance.Load
	if answer.Load.Slots > 0 {
		load = &answer.Load
	}
	b.pickers[service].Answered(id, load)
}
