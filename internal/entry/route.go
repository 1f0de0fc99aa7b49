package entry

import (
	"context"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/events"
	"github.com/wisteriacrank/wisteriacrank/internal/localstate"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
	"github.com/wisteriacrank/wisteriacrank/pkg/quarantine"
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

// candidate is where a request may go next: one dispatcher of the own region,
// or any of several in another region.
type candidate struct {
	region model.Region
	hosts  []model.HostRecord
}

// candidates returns where the request may go, in order: dispatchers of the
// own region by load, then the other regions. A suspect goes only to the host
// that tries it alone.
func (d *Daemon) candidates(view *localstate.View, req Request) []candidate {
	suspect := d.dispatcher.guard.standing(req, time.Now()) == quarantine.Suspect
	var order []candidate
	for _, region := range regionOrder(view, d.settings.Host.Region) {
		hosts := dispatchers(view, req.Service, region)
		switch {
		case len(hosts) == 0:
		case suspect:
			host, _ := view.Host(trialHost(view, region, req))
			return []candidate{{region, []model.HostRecord{host}}}
		case region == d.settings.Host.Region:
			for _, host := range d.balancer.order(pickerKey{req.Service, req.Rank}, hosts, localTries) {
				order = append(order, candidate{region, []model.HostRecord{host}})
			}
		default:
			order = append(order, candidate{region, hosts})
		}
	}
	return order
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

// mayWait reports whether the request waits for capacity: the cap on moved
// traffic rises with time, and a service without a server in this region
// depends on grants of others. Other refusals are final, because this region's
// queue is the place to wait. A service with servers but without
// dispatchers waits for the view: this host or the region has just started.
func (d *Daemon) mayWait(view *localstate.View, req Request, code result.Code) bool {
	switch code {
	case result.MoveCapReached:
		return true
	case result.NoCapacity, result.NoGrant:
		return len(dispatchers(view, req.Service, d.settings.Host.Region)) == 0
	case result.NoServer:
		return hasServer(view, req.Service)
	default:
		return false
	}
}

// hasServer reports whether any server of the service may get work.
func hasServer(view *localstate.View, service model.Service) bool {
	for _, s := range view.Document.Servers {
		if s.Service == service && !s.Drain && !view.Leaving[s.Name] {
			return true
		}
	}
	return false
}

// try passes the request to a candidate. The deadline is checked once more,
// since the process may have been paused after the last check.
func (d *Daemon) try(ctx context.Context, req Request, c candidate) Response {
	if !time.Now().Before(req.Deadline) {
		return refusal(req, result.DeadlineBeforeRun, "deadline passed at the owner")
	}
	if c.region != d.settings.Host.Region {
		return d.tryRegion(ctx, req, c)
	}
	host := c.hosts[0]
	key := pickerKey{req.Service, req.Rank}
	d.balancer.sent(key, host.Host)
	answer := d.passOn(ctx, req, host)
	d.balancer.answered(key, host.Host, answer)
	return answer
}

// tryRegion passes the request to a dispatcher of another region, under one of
// its grants and within the link's budget.
func (d *Daemon) tryRegion(ctx context.Context, req Request, c candidate) Response {
	slot, ok := d.remote.acquire(ctx, req.Service, c.hosts)
	if !ok {
		return refusal(req, result.NoCapacity, "no grant of region "+string(c.region))
	}
	refused := false
	defer func() { d.remote.release(slot, refused) }()
	if !d.links.wait(ctx, c.region, len(req.Body), req.Deadline) {
		d.log.Emit(events.LinkLimitReached, events.Region(c.region))
		return refusal(req, result.LinkLimit, "link to region "+string(c.region))
	}
	req.GrantID, req.GrantIncarnation = slot.ID.Sequence, slot.ID.Incarnation
	for _, host := range c.hosts {
		if host.Host == slot.Dispatcher {
			answer := d.passOn(ctx, req, host)
			refused = answer.Code == result.NoGrant
			if refused {
				d.log.Emit(events.GrantRefused, events.Region(c.region), events.Service(req.Service), events.Code(answer.Code))
			}
			return answer
		}
	}
	return refusal(req, result.NoGrant, "dispatcher is gone")
}
