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
	// maxLocalCandidates bounds the dispatchers of this host's region among the
	// candidates of a request.
	maxLocalCandidates = 3
	// minCapacityWait and maxCapacityWait bound the delay, doubled each time,
	// after which a request that waits for capacity is tried again.
	minCapacityWait = 25 * time.Millisecond
	maxCapacityWait = 400 * time.Millisecond
)

// candidate is a destination of a request: one dispatcher of this host's region,
// or any of several dispatchers of another region.
type candidate struct {
	region model.Region
	hosts  []model.HostRecord
}

// candidates returns the destinations of the request in the order in which to
// try them: dispatchers of this host's region by load, then the other regions. A
// suspect is sent only to the host that runs its trial.
func (d *Daemon) candidates(view *localstate.View, req Request) []candidate {
	suspect := d.dispatcher.guard.status(req, time.Now()) == quarantine.Suspect
	var order []candidate
	for _, region := range regionOrder(view, d.settings.Host.Region) {
		hosts := dispatchers(view, req.Service, region)
		switch {
		case len(hosts) == 0:
		case suspect:
			host, _ := view.Host(trialHost(view, region, req))
			return []candidate{{region, []model.HostRecord{host}}}
		case region == d.settings.Host.Region:
			for _, host := range d.balancer.order(pickerKey{req.Service, req.Rank}, hosts, maxLocalCandidates) {
				order = append(order, candidate{region, []model.HostRecord{host}})
			}
		default:
			order = append(order, candidate{region, hosts})
		}
	}
	return order
}

// regionOrder returns the host's own region, then the others in the order of the
// document.
func regionOrder(view *localstate.View, own model.Region) []model.Region {
	order := []model.Region{own}
	for _, r := range view.Document.Regions {
		if r.Name != own {
			order = append(order, r.Name)
		}
	}
	return order
}

// mayWait reports whether a request that was refused with the code may wait for
// capacity and be tried again: the cap on moved traffic rises with time, and a
// service without a dispatcher in this region depends on grants of other regions.
// If a service has servers but no dispatcher, this host or the region has just
// started, and the request waits for a new view. Other refusals are final,
// because requests wait in the queue of this region.
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

// hasServer reports whether any server of the service may get new work.
func hasServer(view *localstate.View, service model.Service) bool {
	for _, s := range view.Document.Servers {
		if s.Service == service && !s.Drain && !view.Leaving[s.Name] {
			return true
		}
	}
	return false
}

// tryCandidate sends the request to a candidate. It checks the deadline again,
// because the process may have been paused since the previous check.
func (d *Daemon) tryCandidate(ctx context.Context, req Request, c candidate) Response {
	if !time.Now().Before(req.Deadline) {
		return refusal(req, result.DeadlineBeforeRun, "deadline passed at the owner")
	}
	if c.region != d.settings.Host.Region {
		return d.tryRegion(ctx, req, c)
	}
	host := c.hosts[0]
	key := pickerKey{req.Service, req.Rank}
	d.balancer.sent(key, host.Host)
	response := d.sendToDispatcher(ctx, req, host)
	d.balancer.replied(key, host.Host, response)
	return response
}

// tryRegion sends the request to a dispatcher of another region, under one of its
// grants and within the budget of the link.
func (d *Daemon) tryRegion(ctx context.Context, req Request, c candidate) Response {
	slot, ok := d.remote.acquire(ctx, req.Service, c.hosts)
	if !ok {
		return refusal(req, result.NoCapacity, "no grant of region "+string(c.region))
	}
	refused := false
	defer func() { d.remote.release(slot, refused) }()
	if !d.links.wait(ctx, c.region, len(req.Body), req.Deadline) {
		d.log.Emit(events.LinkLimitReached, events.Region(c.region))
		return refusal(req, result.LinkLimit, "no budget before the deadline on the link to region "+string(c.region))
	}
	req.GrantID, req.GrantIncarnation = slot.ID.Sequence, slot.ID.Incarnation
	for _, host := range c.hosts {
		if host.Host == slot.Dispatcher {
			response := d.sendToDispatcher(ctx, req, host)
			refused = response.Code == result.NoGrant
			if refused {
				d.log.Emit(events.GrantRefused, events.Region(c.region), events.Service(req.Service), events.Code(response.Code))
			}
			return response
		}
	}
	return refusal(req, result.NoGrant, "the dispatcher of the grant is not a candidate")
}
