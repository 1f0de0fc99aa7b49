package bench

import (
	"fmt"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/admission"
	"github.com/wisteriacrank/wisteriacrank/pkg/document"
	"github.com/wisteriacrank/wisteriacrank/pkg/grant"
	"github.com/wisteriacrank/wisteriacrank/pkg/linkbudget"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
	"github.com/wisteriacrank/wisteriacrank/pkg/rendezvous"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
	"github.com/wisteriacrank/wisteriacrank/pkg/retrybudget"
)

const (
	// refreshInterval is the interval at which a dispatcher expires requests.
	refreshInterval = 5 * time.Millisecond
	// grantReturnInterval is the interval at which an owner returns unused
	// grants.
	grantReturnInterval = 250 * time.Millisecond
	// minSlotsPerDispatcher is the average number of slots below which a region
	// gets fewer dispatchers. With fewer slots per dispatcher, a slot for urgent
	// work becomes free too rarely.
	minSlotsPerDispatcher = 9
	// sameDomainDelay is the one-way delay within a failure domain.
	sameDomainDelay = 300 * time.Microsecond
)

// simulation is one run of a scenario.
type simulation struct {
	clock      *clock
	deployment *Deployment
	scenario   *Scenario
	policy     Policy
	seed       int64
	end        time.Time
	lastID     admission.ItemID
	hosts      []*host
	byName     map[model.HostID]*host
	servers    []*server
	lostRegion int // index of the lost region, or -1
	inFlight   map[*request]bool
	rec        *recorder
}

func newSimulation(deployment *Deployment, scenario *Scenario, policy Policy, seed int64) *simulation {
	sim := &simulation{
		clock: newClock(), deployment: deployment, scenario: scenario, policy: policy, seed: seed,
		end:        epoch.Add(scenario.End + deployment.Ranks[rankUpload].Deadline + time.Second),
		byName:     make(map[model.HostID]*host),
		lostRegion: -1,
		inFlight:   make(map[*request]bool),
	}
	sim.rec = newRecorder(sim)
	sim.addHosts()
	for service := range deployment.Services {
		sim.addServers(service)
	}
	return sim
}

// addHosts adds the entry hosts of all regions.
func (sim *simulation) addHosts() {
	for region, count := range sim.deployment.EntryHosts {
		for i := range count {
			h := &host{
				sim: sim, index: len(sim.hosts), region: region, domain: i % failureDomains,
				name:   model.HostID(fmt.Sprintf("%s-%d", sim.deployment.Regions[region], i)),
				grants: grant.NewPool(), links: linkbudget.New(maxBodyBytes),
			}
			for range sim.deployment.Services {
				h.dispatchers = append(h.dispatchers, nil)
				h.views = append(h.views, make(map[*dispatcher]*dispatcherView))
				h.retryBudgets = append(h.retryBudgets, retrybudget.New())
				h.nextDispatcher = append(h.nextDispatcher, h.index)
				h.requestingGrant = append(h.requestingGrant, false)
			}
			for to := range sim.deployment.Regions {
				direction := linkbudget.Direction{From: sim.deployment.Regions[region], To: sim.deployment.Regions[to]}
				h.links.SetLink(epoch, direction, sim.deployment.LinkBytes, count, count)
			}
			sim.hosts = append(sim.hosts, h)
			sim.byName[h.name] = h
		}
	}
}

// addServers distributes the servers of a service over regions and failure
// domains, and assigns each to a dispatcher.
func (sim *simulation) addServers(service int) {
	spec := sim.deployment.Services[service]
	regions := len(sim.deployment.Regions)
	keys := make([][]string, regions)
	added := make(map[string]*server)
	for i := range spec.Servers {
		s := &server{sim: sim, region: i % regions, domain: i / regions % failureDomains, spec: document.Server{
			Name:  model.ServerID(fmt.Sprintf("%s-%02d", spec.Name, i)),
			Slots: spec.Slots, Connections: spec.Connections,
		}}
		sim.servers = append(sim.servers, s)
		added[string(s.spec.Name)] = s
		keys[s.region] = append(keys[s.region], string(s.spec.Name))
	}
	for region := range keys {
		sim.assign(service, region, keys[region], added)
	}
}

// assign chooses the dispatchers of a service in a region and distributes the
// servers over them.
func (sim *simulation) assign(service, region int, keys []string, added map[string]*server) {
	var members []string
	for _, h := range sim.hosts {
		if h.region == region {
			members = append(members, string(h.name))
		}
	}
	slots := len(keys) * sim.deployment.Services[service].Slots
	members = rendezvous.Rank(string(sim.deployment.Services[service].Name), members)[:max(1, slots/minSlotsPerDispatcher)]
	assigned := rendezvous.Assign(keys, members)
	for _, key := range keys {
		h := sim.byName[model.HostID(assigned[key])]
		if h.dispatchers[service] == nil {
			h.dispatchers[service] = newDispatcher(sim, h, service)
		}
		h.dispatchers[service].add(added[key])
	}
}

// slots returns the number of slots of servers that are not draining.
func (d *dispatcher) slots() int { return d.ledger.Slots() }

// localDispatchers returns the dispatchers of a region.
func (sim *simulation) localDispatchers(service, region int) []*dispatcher {
	var found []*dispatcher
	for _, h := range sim.hosts {
		if h.region == region && h.dispatchers[service] != nil {
			found = append(found, h.dispatchers[service])
		}
	}
	return found
}

// dispatchersElsewhere returns the dispatchers of the other live regions.
func (sim *simulation) dispatchersElsewhere(service, region int) []*dispatcher {
	var found []*dispatcher
	for _, h := range sim.hosts {
		if h.region != region && h.region != sim.lostRegion && h.dispatchers[service] != nil {
			found = append(found, h.dispatchers[service])
		}
	}
	return found
}

func (sim *simulation) isLost(h *host) bool { return h.region == sim.lostRegion }

func (sim *simulation) delay(a, b *host) time.Duration {
	switch {
	case a == b:
		return 0
	case a.region != b.region:
		return sim.deployment.RegionDelay
	case a.domain != b.domain:
		return sim.deployment.DomainDelay
	default:
		return sameDomainDelay
	}
}

func (sim *simulation) delayToServer(h *host, s *server) time.Duration {
	if h.domain != s.domain {
		return sim.deployment.DomainDelay
	}
	return sameDomainDelay
}

// run simulates until all requests have ended.
func (sim *simulation) run() {
	sim.startStreams()
	sim.clock.after(sim.scenario.Event, sim.startFault)
	for _, h := range sim.hosts {
		for _, d := range h.dispatchers {
			if d != nil {
				sim.clock.every(refreshInterval, sim.end, func() { d.refresh(sim.clock.now); d.startWaiting() })
			}
		}
		if sim.policy.Grants {
			sim.clock.every(grantReturnInterval, sim.end, h.returnUnused)
		}
	}
	sim.clock.run()
}

// arrive sends a request from its caller to an entry host.
func (sim *simulation) arrive(r *request) {
	now := sim.clock.now
	r.sent = now
	sim.rec.countRequest()
	region, delay := sim.route(r)
	r.deadline = now.Add(sim.deployment.Ranks[r.work.Rank].Deadline - sim.deployment.CallerDelay)
	r.moved = region != r.homeRegion
	var hosts []*host
	for _, h := range sim.hosts {
		if h.region == region {
			hosts = append(hosts, h)
		}
	}
	r.entry = hosts[int(r.pick*float64(len(hosts)))]
	sim.clock.after(delay, func() {
		if sim.isLost(r.entry) {
			sim.finish(r, result.ConnectionLost)
			return
		}
		sim.inFlight[r] = true
		r.entry.accept(r)
	})
}

// route returns the region that a caller uses and the delay to it. A caller of
// a lost region fails to connect and uses the next region of its lookup
// response. A moved caller gets another region from its lookup.
func (sim *simulation) route(r *request) (int, time.Duration) {
	delay := sim.deployment.CallerDelay
	regions := len(sim.deployment.Regions)
	spread := int(r.pick * 1e6)
	switch {
	case r.homeRegion == sim.lostRegion:
		return (sim.lostRegion + 1 + spread%(regions-1)) % regions, 3 * delay
	case sim.scenario.Fault == FaultMove && sim.clock.elapsed() >= sim.scenario.Event && r.homeRegion == 0 && float64(spread%1000)/1000 < movedShare:
		return 1 + spread%(regions-1), delay
	default:
		return r.homeRegion, delay
	}
}

// finish returns the result to the caller.
func (sim *simulation) finish(r *request, code result.Code) {
	if r.done {
		return
	}
	r.done = true
	delete(sim.inFlight, r)
	sim.clock.after(sim.deployment.CallerDelay, func() { sim.rec.countResult(r, code) })
}

// startFault applies the fault of the scenario.
func (sim *simulation) startFault() {
	switch sim.scenario.Fault {
	case FaultRegionLoss:
		sim.loseRegion(len(sim.deployment.Regions) - 1)
	case FaultMove:
		sim.clearCaches()
	case FaultDrain:
		sim.drainEveryThird()
	}
}

// loseRegion stops a region and ends every request whose entry host is there.
func (sim *simulation) loseRegion(region int) {
	sim.lostRegion = region
	for r := range sim.inFlight {
		if sim.isLost(r.entry) {
			r.done = true
			sim.rec.countResult(r, result.ConnectionLost)
		}
	}
	sim.clearCaches()
}

// clearCaches makes the caches of all servers cold for moved requests.
func (sim *simulation) clearCaches() {
	for _, s := range sim.servers {
		s.coldRequests = coldRuns
	}
}

// drainEveryThird drains every third server of each region.
func (sim *simulation) drainEveryThird() {
	for i, s := range sim.servers {
		if i/len(sim.deployment.Regions)%3 == 0 {
			s.dispatcher.drain(s)
		}
	}
}
