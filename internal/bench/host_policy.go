package bench

import (
	"github.com/wisteriacrank/wisteriacrank/pkg/placement"
	"github.com/wisteriacrank/wisteriacrank/pkg/scheduler"
)

// hostOutcome is the result that the caller of a request gets.
type hostOutcome int

const (
	hostServed hostOutcome = iota
	hostRefused
	hostFailed
)

// hostPolicy makes the decisions of one entry host.
type hostPolicy interface {
	setServers(servers []scheduler.Server)
	submit(job *scheduler.Job, end func(hostOutcome))
	tick()
	// reportTo sends this host's use of the servers to a peer.
	reportTo(peer hostPolicy)
}

// HostPolicy is a named policy for choosing a server.
type HostPolicy struct {
	Name      string
	newPolicy func(sim *hostSimulation, region string) hostPolicy
}

// HostPolicies returns the product's policy and the baselines.
func HostPolicies() []HostPolicy {
	return []HostPolicy{
		{Name: "product", newPolicy: func(sim *hostSimulation, region string) hostPolicy {
			return &scheduled{sim: sim, scheduler: scheduler.New(region), callbacks: make(map[*scheduler.Job]func(hostOutcome))}
		}},
		// Always the first server of the object.
		{Name: "one-server", newPolicy: func(sim *hostSimulation, _ string) hostPolicy {
			return &direct{sim: sim, candidates: 1, running: make(map[string]int)}
		}},
		// The least busy of the first three servers of the object, as counted by
		// this host alone.
		{Name: "least-busy-of-three", newPolicy: func(sim *hostSimulation, _ string) hostPolicy {
			return &direct{sim: sim, candidates: 3, running: make(map[string]int)}
		}},
	}
}

// scheduled is the product's policy, implemented by package scheduler.
type scheduled struct {
	sim       *hostSimulation
	scheduler *scheduler.Scheduler
	callbacks map[*scheduler.Job]func(hostOutcome)
}

func (p *scheduled) setServers(servers []scheduler.Server) {
	p.scheduler.SetServers(p.sim.now, servers, len(hostRegions))
	p.apply(p.scheduler.Tick(p.sim.now))
}

func (p *scheduled) submit(job *scheduler.Job, end func(hostOutcome)) {
	p.callbacks[job] = end
	p.apply(p.scheduler.Submit(p.sim.now, job))
}

func (p *scheduled) tick() { p.apply(p.scheduler.Tick(p.sim.now)) }

func (p *scheduled) reportTo(peer hostPolicy) {
	other := peer.(*scheduled)
	if uses := p.scheduler.Report(true); len(uses) > 0 {
		other.apply(other.scheduler.PeerReported(p.sim.now, "peer", uses))
	}
}

// apply carries out the scheduler's decisions.
func (p *scheduled) apply(verdicts []scheduler.Verdict) {
	for _, v := range verdicts {
		if v.Server == "" {
			p.end(v.Job, hostRefused)
			continue
		}
		p.sim.byID[v.Server].offer(&hostRun{job: v.Job, finish: func(result scheduler.Result, load *scheduler.Load) { p.ended(v.Job, result, load) }})
	}
}

func (p *scheduled) ended(job *scheduler.Job, result scheduler.Result, load *scheduler.Load) {
	p.end(job, outcomeOf(result))
	p.apply(p.scheduler.Done(p.sim.now, job, result, load))
}

func (p *scheduled) end(job *scheduler.Job, outcome hostOutcome) {
	end := p.callbacks[job]
	delete(p.callbacks, job)
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

// direct sends each request without queueing to the least busy of the first
// servers of its object.
type direct struct {
	sim        *hostSimulation
	candidates int
	view       *placement.View
	running    map[string]int
}

func (p *direct) setServers(servers []scheduler.Server) {
	var members []placement.Member
	for _, s := range servers {
		members = append(members, placement.Member{ID: s.ID, Region: s.Region, Slots: s.Slots})
	}
	p.view = placement.NewView(members, len(hostRegions))
}

func (p *direct) submit(job *scheduler.Job, end func(hostOutcome)) {
	ranked := p.view.Rank(job.Object, p.candidates)
	best := ranked[0]
	for _, id := range ranked {
		if p.running[id] < p.running[best] {
			best = id
		}
	}
	p.running[best]++
	p.sim.byID[best].offer(&hostRun{job: job, finish: func(result scheduler.Result, _ *scheduler.Load) {
		p.running[best]--
		end(outcomeOf(result))
	}})
}

func (p *direct) tick() {}

func (p *direct) reportTo(hostPolicy) {}
