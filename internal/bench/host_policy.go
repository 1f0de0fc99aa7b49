package bench

import (
	"github.com/wisteriacrank/wisteriacrank/pkg/placement"
	"github.com/wisteriacrank/wisteriacrank/pkg/scheduler"
)

// hostOutcome is how a request ended for its caller.
type hostOutcome int

const (
	hostServed hostOutcome = iota
	hostRefused
	hostFailed
)

// hostPolicy decides for one entry host.
type hostPolicy interface {
	list(servers []scheduler.Server)
	submit(job *scheduler.Job, end func(hostOutcome))
	tick()
	// tell reports this host's use of the servers to a peer.
	tell(peer hostPolicy)
}

// HostPolicy is a way to decide, by name.
type HostPolicy struct {
	Name  string
	start func(w *hostWorld, region string) hostPolicy
}

// HostPolicies returns the product's policy and the ways that it replaced.
func HostPolicies() []HostPolicy {
	return []HostPolicy{
		{Name: "product", start: func(w *hostWorld, region string) hostPolicy {
			return &scheduled{world: w, scheduler: scheduler.New(region), ends: make(map[*scheduler.Job]func(hostOutcome))}
		}},
		// The object's one server, always: the first trial on the platform.
		{Name: "one-server", start: func(w *hostWorld, _ string) hostPolicy {
			return &direct{world: w, among: 1, running: make(map[string]int)}
		}},
		// The least busy of the object's three servers, by the host's own count.
		{Name: "least-busy-of-three", start: func(w *hostWorld, _ string) hostPolicy {
			return &direct{world: w, among: 3, running: make(map[string]int)}
		}},
	}
}

// scheduled is the product's policy.
type scheduled struct {
	world     *hostWorld
	scheduler *scheduler.Scheduler
	ends      map[*scheduler.Job]func(hostOutcome)
}

func (p *scheduled) list(servers []scheduler.Server) {
	p.scheduler.SetServers(p.world.now, servers, len(hostRegions))
	p.take(p.scheduler.Tick(p.world.now))
}

func (p *scheduled) submit(job *scheduler.Job, end func(hostOutcome)) {
	p.ends[job] = end
	p.take(p.scheduler.Submit(p.world.now, job))
}

func (p *scheduled) tick() { p.take(p.scheduler.Tick(p.world.now)) }

func (p *scheduled) tell(peer hostPolicy) {
	other := peer.(*scheduled)
	if uses := p.scheduler.Report(true); len(uses) > 0 {
		other.take(other.scheduler.PeerReported(p.world.now, "peer", uses))
	}
}

func (p *scheduled) take(verdicts []scheduler.Verdict) {
	for _, v := range verdicts {
		if v.Server == "" {
			p.end(v.Job, hostRefused)
			continue
		}
		p.world.byID[v.Server].offer(&hostRun{job: v.Job, done: func(result scheduler.Result, load *scheduler.Load) { p.ended(v.Job, result, load) }})
	}
}

func (p *scheduled) ended(job *scheduler.Job, result scheduler.Result, load *scheduler.Load) {
	p.end(job, outcomeOf(result))
	p.take(p.scheduler.Done(p.world.now, job, result, load))
}

func (p *scheduled) end(job *scheduler.Job, outcome hostOutcome) {
	end := p.ends[job]
	delete(p.ends, job)
	end(outcome)
}

func outcomeOf(result scheduler.Result) hostOutcome {
	switch result {
	case scheduler.Succeeded:
		return hostServed
	case scheduler.Shed:
		return hostRefused
	default:
		return hostFailed
	}
}

// direct sends each request at once to one of the first servers of its object.
type direct struct {
	world   *hostWorld
	among   int
	view    *placement.View
	running map[string]int
}

func (p *direct) list(servers []scheduler.Server) {
	var members []placement.Member
	for _, s := range servers {
		members = append(members, placement.Member{ID: s.ID, Region: s.Region, Slots: s.Slots})
	}
	p.view = placement.NewView(members, len(hostRegions))
}

func (p *direct) submit(job *scheduler.Job, end func(hostOutcome)) {
	ranked := p.view.Rank(job.Object, p.among)
	best := ranked[0]
	for _, id := range ranked {
		if p.running[id] < p.running[best] {
			best = id
		}
	}
	p.running[best]++
	p.world.byID[best].offer(&hostRun{job: job, done: func(result scheduler.Result, _ *scheduler.Load) {
		p.running[best]--
		end(outcomeOf(result))
	}})
}

func (p *direct) tick() {}

func (p *direct) tell(hostPolicy) {}
