package bench

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/placement"
	"github.com/wisteriacrank/wisteriacrank/pkg/scheduler"
)

// The host scenarios play the decisions of a host that sends straight to
// backend servers: placement, choice of a server, waiting and refusing. The
// sizes are those of Céu Ligado's passdesk, with its uneven regions.

const (
	hostService = "passdesk"
	hostSlots   = 3
	// hostQueue is what a server queues beyond its slots, hostWarmObjects what
	// it holds.
	hostQueue       = 9
	hostWarmObjects = 28
	// hostWarmShare is the part of a first run that a later one takes.
	hostWarmShare = 0.3
	// hostObjects is the number of objects of each class and region.
	hostObjects = 24
	// hostEntries is the number of entry hosts of a region.
	hostEntries = 2
	// hostSpread is the deviation of the work of one run, as a share of it.
	hostSpread = 0.15

	hostTick   = 40 * time.Millisecond
	hostReport = 40 * time.Millisecond
	// hostMeasured and hostEnd bound the arrivals that count.
	hostMeasured = 6 * time.Second
	hostEnd      = 30 * time.Second
	// hostSettled is when the last request has ended, one way or another.
	hostSettled = hostEnd + 10*time.Second
	// hostEvent and hostEventEnd bound the flood; servers change at hostEvent.
	hostEvent    = 10 * time.Second
	hostEventEnd = 20 * time.Second
)

// hostClass is one kind of request.
type hostClass struct {
	name     string
	priority int
	perS     float64 // of each region
	work     time.Duration
	target   time.Duration
	limit    time.Duration
}

func hostClasses() []hostClass {
	return []hostClass{
		{name: "check", priority: 0, perS: 28, work: 640 * time.Millisecond, target: 500 * time.Millisecond, limit: 2 * time.Second},
		{name: "purchase", priority: 1, perS: 10, work: 840 * time.Millisecond, target: 600 * time.Millisecond, limit: 2500 * time.Millisecond},
		{name: "history", priority: 2, perS: 2, work: 2560 * time.Millisecond, target: 3 * time.Second, limit: 6 * time.Second},
	}
}

// hostRegions gives the number of servers of each region.
var hostRegions = []struct {
	name    string
	servers int
}{{"lis", 10}, {"opo", 2}, {"fnc", 8}}

// HostScenario is one kind of load or change.
type HostScenario struct {
	Name string
	// Flood multiplies the rate of the least urgent class.
	Flood float64
	// Lost and Added are the shares of the servers that leave without a word,
	// and that join.
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

// hostServer is a backend server.
type hostServer struct {
	scheduler.Server
	world   *hostWorld
	down    bool
	running []*hostRun
	queue   []*hostRun
	warm    []string
}

// hostRun is a request at a server.
type hostRun struct {
	job  *scheduler.Job
	done func(scheduler.Result, *scheduler.Load)
}

// hostWorld is one run of a scenario.
type hostWorld struct {
	*clock
	rng      *rand.Rand
	scenario HostScenario
	servers  []*hostServer
	byID     map[string]*hostServer
	hosts    []*hostEntry
	results  map[string]*HostClassResult
	regions  map[string]*HostClassResult
}

// hostEntry is an entry host under a policy.
type hostEntry struct {
	region string
	policy hostPolicy
}

func newHostWorld(scenario HostScenario, policy HostPolicy, seed uint64) *hostWorld {
	w := &hostWorld{
		clock: newClock(), rng: rand.New(rand.NewPCG(seed, 0)), scenario: scenario,
		byID: make(map[string]*hostServer), results: make(map[string]*HostClassResult), regions: make(map[string]*HostClassResult),
	}
	for _, region := range hostRegions {
		for i := range region.servers {
			w.addServer(region.name, fmt.Sprintf("%s-%d", region.name, i))
		}
	}
	for _, region := range hostRegions {
		w.regions[region.name] = &HostClassResult{}
		for range hostEntries {
			w.hosts = append(w.hosts, &hostEntry{region: region.name, policy: policy.start(w, region.name)})
		}
	}
	for _, class := range hostClasses() {
		w.results[class.name] = &HostClassResult{Class: class.name}
	}
	w.listServers()
	return w
}

func (w *hostWorld) addServer(region, id string) {
	s := &hostServer{Server: scheduler.Server{ID: id, Service: hostService, Region: region, Slots: hostSlots}, world: w}
	w.servers = append(w.servers, s)
	w.byID[id] = s
}

// listServers tells all hosts of the servers that are listed.
func (w *hostWorld) listServers() {
	var listed []scheduler.Server
	for _, s := range w.servers {
		if !s.down {
			listed = append(listed, s.Server)
		}
	}
	for _, h := range w.hosts {
		h.policy.list(listed)
	}
}

func (w *hostWorld) play() {
	for _, region := range hostRegions {
		for _, class := range hostClasses() {
			w.arrive(region.name, class)
		}
	}
	w.after(hostEvent, w.changeServers)
	for i, h := range w.hosts {
		peer := w.hosts[i^1]
		w.every(hostTick, epoch.Add(hostSettled), h.policy.tick)
		w.every(hostReport, epoch.Add(hostSettled), func() { h.policy.tell(peer.policy) })
	}
	w.run()
}

// arrive schedules the next request of a class of a region.
func (w *hostWorld) arrive(region string, class hostClass) {
	rate := class.perS
	if class.name == "history" && w.scenario.Flood > 0 && w.elapsed() >= hostEvent && w.elapsed() < hostEventEnd {
		rate *= w.scenario.Flood
	}
	w.after(time.Duration(w.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		if w.elapsed() >= hostEnd {
			return
		}
		w.request(region, class)
		w.arrive(region, class)
	})
}

func (w *hostWorld) request(region string, class hostClass) {
	arrived := w.now
	job := &scheduler.Job{
		Class: class.name, Service: hostService, Sticky: true, Priority: class.priority, Target: class.target,
		Object:   placement.Object{Key: fmt.Sprintf("%s/%s/%d", class.name, region, w.rng.IntN(hostObjects)), Origin: region},
		TargetAt: arrived.Add(class.target), Deadline: arrived.Add(class.limit),
	}
	measured := w.elapsed() >= hostMeasured
	var of []*HostClassResult
	if measured {
		of = []*HostClassResult{w.results[class.name], w.regions[region]}
	}
	for _, r := range of {
		r.Requests++
	}
	entries := slices.DeleteFunc(slices.Clone(w.hosts), func(h *hostEntry) bool { return h.region != region })
	entries[w.rng.IntN(len(entries))].policy.submit(job, func(end hostOutcome) {
		for _, r := range of {
			r.count(end, w.now.Sub(arrived) <= class.target, w.now.Sub(arrived) <= class.limit)
		}
	})
}

// changeServers carries out the change of the scenario: lost servers break off
// what they run, and the list follows at once.
func (w *hostWorld) changeServers() {
	lost := int(w.scenario.Lost * float64(len(w.servers)))
	for _, i := range w.rng.Perm(len(w.servers))[:lost] {
		w.servers[i].fail()
	}
	for i := range int(w.scenario.Added * float64(len(w.servers))) {
		region := hostRegions[i%len(hostRegions)].name
		w.addServer(region, fmt.Sprintf("%s-new-%d", region, i))
	}
	w.listServers()
}

func (s *hostServer) fail() {
	s.down = true
	broken := append(s.running, s.queue...)
	s.running, s.queue = nil, nil
	for _, r := range broken {
		r.done(scheduler.Failed, nil)
	}
}

// offer hands a request to the server.
func (s *hostServer) offer(r *hostRun) {
	switch {
	case s.down:
		r.done(scheduler.Failed, nil)
	case len(s.running) < s.Slots:
		s.start(r)
	case len(s.queue) < hostQueue:
		s.queue = append(s.queue, r)
	default:
		r.done(scheduler.Shed, s.load())
	}
}

func (s *hostServer) load() *scheduler.Load {
	return &scheduler.Load{Running: len(s.running), Waiting: len(s.queue)}
}

func (s *hostServer) start(r *hostRun) {
	s.running = append(s.running, r)
	classes := hostClasses()
	class := classes[slices.IndexFunc(classes, func(c hostClass) bool { return c.name == r.job.Class })]
	work := float64(class.work) * (1 + hostSpread*s.world.rng.NormFloat64())
	if slices.Contains(s.warm, r.job.Object.Key) {
		work *= hostWarmShare
	}
	s.world.after(time.Duration(max(work, 0)), func() { s.finish(r) })
}

func (s *hostServer) finish(r *hostRun) {
	at := slices.Index(s.running, r)
	if at < 0 {
		return // the server was lost meanwhile
	}
	load := s.load()
	s.running = slices.Delete(s.running, at, at+1)
	s.warm = append(slices.DeleteFunc(s.warm, func(key string) bool { return key == r.job.Object.Key }), r.job.Object.Key)
	s.warm = s.warm[max(len(s.warm)-hostWarmObjects, 0):]
	if len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		s.start(next)
	}
	r.done(scheduler.Succeeded, load)
}
