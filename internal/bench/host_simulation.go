package bench

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/placement"
	"github.com/wisteriacrank/wisteriacrank/pkg/scheduler"
)

// The host scenarios simulate entry hosts that send requests to backend servers
// directly, and cover placement, choice of a server, queueing and refusal. The
// sizes are those of the service passdesk of Céu Ligado, whose regions differ
// in their number of servers.

const (
	hostService = "passdesk"
	hostSlots   = 3
	// hostQueueLimit is the number of requests that a server queues beyond its
	// slots, hostWarmObjects the number of objects in its cache.
	hostQueueLimit  = 9
	hostWarmObjects = 28
	// hostWarmTimeShare is the run time with a cached object as a share of the
	// run time without.
	hostWarmTimeShare = 0.3
	// hostObjects is the number of objects per class and region.
	hostObjects = 24
	// hostEntries is the number of entry hosts per region.
	hostEntries = 2
	// hostRunTimeDeviation is the standard deviation of a run time as a share of
	// its mean.
	hostRunTimeDeviation = 0.15

	hostTickInterval   = 40 * time.Millisecond
	hostReportInterval = 40 * time.Millisecond
	// hostMeasureStart and hostEnd bound the arrivals that are measured.
	hostMeasureStart = 6 * time.Second
	hostEnd          = 30 * time.Second
	// hostDrained is later than the deadline of the last request.
	hostDrained = hostEnd + 10*time.Second
	// hostEvent and hostEventEnd bound the flood. Servers are lost and added at
	// hostEvent.
	hostEvent    = 10 * time.Second
	hostEventEnd = 20 * time.Second
)

// hostClass is a class of requests.
type hostClass struct {
	name      string
	priority  int
	perSecond float64 // of each region
	runTime   time.Duration
	target    time.Duration
	deadline  time.Duration
}

func hostClasses() []hostClass {
	return []hostClass{
		{name: "check", priority: 0, perSecond: 28, runTime: 640 * time.Millisecond, target: 500 * time.Millisecond, deadline: 2 * time.Second},
		{name: "purchase", priority: 1, perSecond: 10, runTime: 840 * time.Millisecond, target: 600 * time.Millisecond, deadline: 2500 * time.Millisecond},
		{name: "history", priority: 2, perSecond: 2, runTime: 2560 * time.Millisecond, target: 3 * time.Second, deadline: 6 * time.Second},
	}
}

// hostRegions lists the regions with their number of servers.
var hostRegions = []struct {
	name    string
	servers int
}{{"lis", 10}, {"opo", 2}, {"fnc", 8}}

// HostScenario is a kind of load or a change of the servers.
type HostScenario struct {
	Name string
	// Flood multiplies the rate of the least urgent class.
	Flood float64
	// Lost is the share of the servers that fail without notice, Added the share
	// that is added.
	Lost, Added float64
}

// HostScenarios returns the host scenarios of `make bench`.
func HostScenarios() []HostScenario {
	return []HostScenario{
		{Name: "host-steady"},
		{Name: "host-flood", Flood: 12},
		{Name: "host-servers-lost", Lost: 0.25},
		{Name: "host-servers-added", Added: 0.3},
	}
}

// hostServer is a simulated backend server.
type hostServer struct {
	scheduler.Server
	sim     *hostSimulation
	down    bool
	running []*hostRun
	queue   []*hostRun
	warm    []string // keys of cached objects, least recently used first
}

// hostRun is a request at a server.
type hostRun struct {
	job    *scheduler.Job
	finish func(scheduler.Result, *scheduler.Load)
}

// hostSimulation is one run of a host scenario.
type hostSimulation struct {
	*clock
	rng      *rand.Rand
	scenario HostScenario
	servers  []*hostServer
	byID     map[string]*hostServer
	hosts    []*hostEntry
	results  map[string]*HostClassResult
	regions  map[string]*HostClassResult
}

// hostEntry is an entry host and its policy.
type hostEntry struct {
	region string
	policy hostPolicy
}

func newHostSimulation(scenario HostScenario, policy HostPolicy, seed uint64) *hostSimulation {
	sim := &hostSimulation{
		clock: newClock(), rng: rand.New(rand.NewPCG(seed, 0)), scenario: scenario,
		byID: make(map[string]*hostServer), results: make(map[string]*HostClassResult), regions: make(map[string]*HostClassResult),
	}
	for _, region := range hostRegions {
		for i := range region.servers {
			sim.addServer(region.name, fmt.Sprintf("%s-%d", region.name, i))
		}
	}
	for _, region := range hostRegions {
		sim.regions[region.name] = &HostClassResult{}
		for range hostEntries {
			sim.hosts = append(sim.hosts, &hostEntry{region: region.name, policy: policy.newPolicy(sim, region.name)})
		}
	}
	for _, class := range hostClasses() {
		sim.results[class.name] = &HostClassResult{Class: class.name}
	}
	sim.listServers()
	return sim
}

func (sim *hostSimulation) addServer(region, id string) {
	s := &hostServer{Server: scheduler.Server{ID: id, Service: hostService, Region: region, Slots: hostSlots}, sim: sim}
	sim.servers = append(sim.servers, s)
	sim.byID[id] = s
}

// listServers gives the current list of servers to all hosts.
func (sim *hostSimulation) listServers() {
	var listed []scheduler.Server
	for _, s := range sim.servers {
		if !s.down {
			listed = append(listed, s.Server)
		}
	}
	for _, h := range sim.hosts {
		h.policy.setServers(listed)
	}
}

// simulate runs until all requests have ended.
func (sim *hostSimulation) simulate() {
	for _, region := range hostRegions {
		for _, class := range hostClasses() {
			sim.arrive(region.name, class)
		}
	}
	sim.after(hostEvent, sim.changeServers)
	for i, h := range sim.hosts {
		peer := sim.hosts[i^1]
		sim.every(hostTickInterval, epoch.Add(hostDrained), h.policy.tick)
		sim.every(hostReportInterval, epoch.Add(hostDrained), func() { h.policy.reportTo(peer.policy) })
	}
	sim.run()
}

// arrive schedules the next request of a class of a region.
func (sim *hostSimulation) arrive(region string, class hostClass) {
	rate := class.perSecond
	if class.name == "history" && sim.scenario.Flood > 0 && sim.elapsed() >= hostEvent && sim.elapsed() < hostEventEnd {
		rate *= sim.scenario.Flood
	}
	sim.after(time.Duration(sim.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		if sim.elapsed() >= hostEnd {
			return
		}
		sim.request(region, class)
		sim.arrive(region, class)
	})
}

// request submits one request to a random entry host of the region.
func (sim *hostSimulation) request(region string, class hostClass) {
	arrived := sim.now
	job := &scheduler.Job{
		Class: class.name, Service: hostService, Sticky: true, Priority: class.priority, Target: class.target,
		Object:   placement.Object{Key: fmt.Sprintf("%s/%s/%d", class.name, region, sim.rng.IntN(hostObjects)), Origin: region},
		TargetAt: arrived.Add(class.target), Deadline: arrived.Add(class.deadline),
	}
	measured := sim.elapsed() >= hostMeasureStart
	var counts []*HostClassResult
	if measured {
		counts = []*HostClassResult{sim.results[class.name], sim.regions[region]}
	}
	for _, r := range counts {
		r.Requests++
	}
	entries := slices.DeleteFunc(slices.Clone(sim.hosts), func(h *hostEntry) bool { return h.region != region })
	entries[sim.rng.IntN(len(entries))].policy.submit(job, func(end hostOutcome) {
		for _, r := range counts {
			r.count(end, sim.now.Sub(arrived) <= class.target, sim.now.Sub(arrived) <= class.deadline)
		}
	})
}

// changeServers applies the scenario's change of the servers. Requests on lost
// servers fail, and the hosts get the new list without delay.
func (sim *hostSimulation) changeServers() {
	lost := int(sim.scenario.Lost * float64(len(sim.servers)))
	for _, i := range sim.rng.Perm(len(sim.servers))[:lost] {
		sim.servers[i].fail()
	}
	for i := range int(sim.scenario.Added * float64(len(sim.servers))) {
		region := hostRegions[i%len(hostRegions)].name
		sim.addServer(region, fmt.Sprintf("%s-new-%d", region, i))
	}
	sim.listServers()
}

// fail stops the server and fails its requests.
func (s *hostServer) fail() {
	s.down = true
	interrupted := append(s.running, s.queue...)
	s.running, s.queue = nil, nil
	for _, r := range interrupted {
		r.finish(scheduler.Failed, nil)
	}
}

// offer runs, queues or sheds a request.
func (s *hostServer) offer(r *hostRun) {
	switch {
	case s.down:
		r.finish(scheduler.Failed, nil)
	case len(s.running) < s.Slots:
		s.start(r)
	case len(s.queue) < hostQueueLimit:
		s.queue = append(s.queue, r)
	default:
		r.finish(scheduler.Shed, s.load())
	}
}

func (s *hostServer) load() *scheduler.Load {
	return &scheduler.Load{Running: len(s.running), Waiting: len(s.queue)}
}

func (s *hostServer) start(r *hostRun) {
	s.running = append(s.running, r)
	classes := hostClasses()
	class := classes[slices.IndexFunc(classes, func(c hostClass) bool { return c.name == r.job.Class })]
	runTime := float64(class.runTime) * (1 + hostRunTimeDeviation*s.sim.rng.NormFloat64())
	if slices.Contains(s.warm, r.job.Object.Key) {
		runTime *= hostWarmTimeShare
	}
	s.sim.after(time.Duration(max(runTime, 0)), func() { s.finish(r) })
}

func (s *hostServer) finish(r *hostRun) {
	index := slices.Index(s.running, r)
	if index < 0 {
		return // the server failed during the run
	}
	load := s.load()
	s.running = slices.Delete(s.running, index, index+1)
	s.warm = append(slices.DeleteFunc(s.warm, func(key string) bool { return key == r.job.Object.Key }), r.job.Object.Key)
	s.warm = s.warm[max(len(s.warm)-hostWarmObjects, 0):]
	if len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		s.start(next)
	}
	r.finish(scheduler.Succeeded, load)
}
