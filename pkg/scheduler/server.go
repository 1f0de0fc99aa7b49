package scheduler

import (
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/placement"
)

const (
	// reportHalfLife is how fast the reported load of other hosts loses its
	// meaning: about two requests take that long.
	reportHalfLife = 600 * time.Millisecond
	// warmFor is how long a server is assumed to hold an object's state.
	warmFor = 60 * time.Second
	// reportHeldEvery is how often peers are told again of a held object.
	reportHeldEvery = 10 * time.Second
	// peerUseFor is how long a peer's report counts; peers in use report
	// several times as often.
	peerUseFor = 500 * time.Millisecond
	// maxHeld bounds the objects remembered of a server.
	maxHeld = 512
	// slownessHalfLife and errorHalfLife let a server that is avoided be tried
	// again after a few seconds.
	slownessHalfLife = 4 * time.Second
	errorHalfLife    = 4 * time.Second
	slownessWeight   = 0.3
	errorWeight      = 0.25
	// slownessDeadband is the factor below which a deviation is taken for the
	// ordinary spread of the work.
	slownessDeadband = 1.8
	maxSlowness      = 20
	// coldSlowness is how much longer a server takes right after its start.
	coldSlowness = 2
	// joiningFor is how long after it was added, or has started again, a server is
	// taken to hold nothing but what was seen there. Objects whose place it is
	// move to it one every moveInterval and host, so that few requests pay for
	// a first run at the same time: 77 servers that were added to 255 at once cost
	// 4 s of half of the worth.
	joiningFor   = 30 * time.Second
	moveInterval = 2 * time.Second
	// initialService is the service time assumed of a server without answers.
	initialService = 250 * time.Millisecond
)

// Server describes a backend server to the scheduler.
type Server struct {
	ID      string
	Service string
	Region  string
	Slots   int
	// Closed servers get no new requests. They keep their place in the order of
	// servers, so that no other object moves while they drain or are evacuated.
	Closed bool
}

type server struct {
	Server
	// down servers get no requests until a probe has succeeded.
	down      bool
	coldUntil time.Time
	cold      windowLimit

	running map[*Job]struct{}
	// others is the load of hosts that do not report theirs.
	others  decaying
	slow    decaying
	errors  decaying
	service time.Duration
	// joinedAt is when the server was added to servers that were known already;
	// movedAt is when an object last moved to it since.
	joinedAt, movedAt time.Time
	// held has the objects that the server completed, with the time.
	held map[uint64]time.Time
	// gained are the objects that the server has come to hold since the last
	// report to peers; reported is the number of requests in that report.
	gained   []uint64
	reported int
	// peers has what other hosts of the region have at the server.
	peers map[string]peerUse
}

func newServer(spec Server) *server {
	return &server{
		Server:  spec,
		running: make(map[*Job]struct{}),
		others:  decaying{halfLife: reportHalfLife},
		slow:    decaying{rest: 1, halfLife: slownessHalfLife},
		errors:  decaying{halfLife: errorHalfLife},
		service: initialService,
		held:    make(map[uint64]time.Time),
		peers:   make(map[string]peerUse),
	}
}

// isJoining reports whether the server is new among the others.
func (s *server) isJoining(now time.Time) bool {
	return !s.joinedAt.IsZero() && now.Sub(s.joinedAt) < joiningFor
}

// takesMove reports whether an object may move to a joining server.
func (s *server) takesMove(now time.Time) bool { return now.Sub(s.movedAt) >= moveInterval }

func (s *server) isCold(now time.Time) bool { return now.Before(s.coldUntil) }

// usable reports whether the server may get a request now.
func (s *server) usable(now time.Time) bool {
	return !s.down && !s.Closed && (!s.isCold(now) || s.cold.has(now))
}

// busy is the number of requests that the server runs or queues.
func (s *server) busy(now time.Time) float64 {
	return float64(len(s.running)+s.ofPeers(now)) + s.others.get(now)
}

// ofPeers is the number of requests that peers have reported.
func (s *server) ofPeers(now time.Time) int {
	sum := 0
	for _, use := range s.peers {
		if now.Sub(use.at) < peerUseFor {
			sum += use.running
		}
	}
	return sum
}

// hasRoom allows no more requests than slots, less those that are reserved for
// others: a request that waits at the host can still go elsewhere, and urgent
// ones pass it.
func (s *server) hasRoom(now time.Time, reserved int) bool {
	return s.busy(now) < float64(max(s.Slots-reserved, 1))
}

// wait is the expected time until a slot is free for a request with ahead
// others before it.
func (s *server) wait(now time.Time, ahead int) time.Duration {
	excess := s.busy(now) + float64(ahead) - float64(s.Slots) + 1
	if excess <= 0 {
		return 0
	}
	perSlot := float64(s.service) * s.slowness(now) / float64(s.Slots)
	return time.Duration(excess * perSlot)
}

// slowness is the factor by which the server takes longer than its class says.
func (s *server) slowness(now time.Time) float64 {
	factor := s.slow.get(now)
	for job := range s.running {
		overdue := float64(now.Sub(job.sent.since)) / float64(max(job.sent.expected, time.Millisecond))
		factor = max(factor, overdue)
	}
	if factor < slownessDeadband {
		factor = 1
	}
	if s.isCold(now) {
		factor = max(factor, coldSlowness)
	}
	return min(factor, maxSlowness)
}

func (s *server) holds(now time.Time, key string) bool {
	at, ok := s.held[keyHash(key)]
	return ok && now.Sub(at) < warmFor
}

// hold notes an object that the server has completed.
func (s *server) hold(now time.Time, key string) {
	hash := keyHash(key)
	if at, ok := s.held[hash]; !ok || now.Sub(at) > reportHeldEvery {
		s.gained = append(s.gained, hash)
	}
	s.holdHash(now, hash)
}

func (s *server) holdHash(now time.Time, hash uint64) {
	if len(s.held) >= maxHeld {
		clear(s.held)
	}
	s.held[hash] = now
}

func (s *server) start(now time.Time, job *Job, moves bool) {
	if moves {
		s.movedAt = now
	}
	s.running[job] = struct{}{}
	if s.isCold(now) {
		s.cold.take(now)
	}
}

// Result says how a request at a server ended.
type Result int

// Results of requests.
const (
	// Succeeded is a whole answer of the server.
	Succeeded Result = iota
	// Failed is a broken or lost answer, or an answer of failure.
	Failed
	// Shed means that the server refused the request without running it.
	Shed
	// Abandoned requests say nothing of the server: their caller has left.
	Abandoned
)

// Load is what a server reported with an answer.
type Load struct {
	Running, Waiting int
}

// Done takes the end of a request that a verdict granted.
func (s *Scheduler) Done(now time.Time, job *Job, result Result, load *Load) []Verdict {
	server := job.server
	if server == nil {
		return nil
	}
	job.server = nil
	// The report counts the answered request itself.
	mine := len(server.running)
	delete(server.running, job)
	s.learn(now, server, job, result)
	if load != nil {
		server.others.set(now, max(float64(load.Running+load.Waiting-mine-server.ofPeers(now)), 0))
	}
	return s.pump(now, s.service(job.Service))
}

func (s *Scheduler) learn(now time.Time, server *server, job *Job, result Result) {
	took := now.Sub(job.sent.since)
	switch result {
	case Abandoned:
		return
	case Failed:
		server.errors.mix(now, 1, errorWeight)
		return
	case Shed:
		// The server is full: nothing more is sent until its queue has moved.
		server.others.set(now, float64(server.Slots))
		return
	}
	server.errors.mix(now, 0, errorWeight)
	ratio := float64(took) / float64(max(job.sent.expected, time.Millisecond))
	server.slow.mix(now, min(ratio, maxSlowness), slownessWeight)
	if job.Sticky {
		server.hold(now, job.Object.Key)
	}
	queued := job.sent.expected - job.sent.service
	service := max(took-queued, 0)
	if ratio < slownessDeadband {
		s.class(job).learn(service)
		server.service = average(server.service, service)
	}
}

// SetServers replaces the list of servers. callerRegions is the number of
// regions that callers come from. Waiting jobs get none of the servers before
// the next Tick, so that cold ones can be marked first.
func (s *Scheduler) SetServers(now time.Time, specs []Server, callerRegions int) {
	members := make(map[string][]placement.Member)
	listed := make(map[string]bool, len(specs))
	for _, spec := range specs {
		listed[spec.ID] = true
		members[spec.Service] = append(members[spec.Service], placement.Member{ID: spec.ID, Region: spec.Region, Slots: spec.Slots})
		known := s.servers[spec.ID]
		if known == nil || known.Service != spec.Service {
			added := newServer(spec)
			if svc := s.services[spec.Service]; svc != nil && !svc.view.IsEmpty() {
				added.joinedAt = now
			}
			s.servers[spec.ID] = added
			continue
		}
		known.Server = spec
	}
	for id := range s.servers {
		if !listed[id] {
			delete(s.servers, id)
		}
	}
	for name, svc := range s.services {
		if _, ok := members[name]; !ok {
			svc.view = placement.NewView(nil, callerRegions)
		}
	}
	for name, of := range members {
		s.service(name).view = placement.NewView(of, callerRegions)
	}
}

// SetCold marks a server as cold until the given time. It gets no requests
// before LimitCold.
func (s *Scheduler) SetCold(id string, until time.Time) {
	server := s.servers[id]
	if server != nil && until.After(server.coldUntil) {
		server.coldUntil = until
	}
}

// LimitCold sets the number of requests per second that this host may send to
// each of the servers that are cold now.
func (s *Scheduler) LimitCold(now time.Time, limitOf func(id string) int) {
	for id, server := range s.servers {
		if server.isCold(now) {
			server.cold.limit = limitOf(id)
		}
	}
}

// Forget drops what was learned of a server that has started again.
func (s *Scheduler) Forget(now time.Time, id string) {
	server := s.servers[id]
	if server == nil {
		return
	}
	fresh := newServer(server.Server)
	fresh.running = server.running
	fresh.joinedAt = now
	fresh.coldUntil, fresh.cold, fresh.down = server.coldUntil, server.cold, server.down
	*server = *fresh
}

// SetDown takes a server out until SetUp.
func (s *Scheduler) SetDown(id string) bool {
	server := s.servers[id]
	if server == nil || server.down {
		return false
	}
	server.down = true
	clear(server.held)
	return true
}

// SetUp lets a server take requests again.
func (s *Scheduler) SetUp(id string) {
	if server := s.servers[id]; server != nil {
		server.down = false
	}
}

// windowLimit bounds the number of requests in any second.
type windowLimit struct {
	limit int
	taken []time.Time
}

// coldWindow is a little over the second in which the rules count, because
// the delay of the network varies.
const coldWindow = 1100 * time.Millisecond

func (w *windowLimit) has(now time.Time) bool {
	for len(w.taken) > 0 && now.Sub(w.taken[0]) >= coldWindow {
		w.taken = w.taken[1:]
	}
	return len(w.taken) < w.limit
}

func (w *windowLimit) take(now time.Time) { w.taken = append(w.taken, now) }
