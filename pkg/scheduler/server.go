package scheduler

import "time"

const (
	// otherLoadHalfLife is how fast the load that other hosts cause at a server
	// expires after it was reported: about two requests take that long.
	otherLoadHalfLife = 600 * time.Millisecond
	// heldLifetime is how long a server is assumed to hold an object's state.
	heldLifetime = 60 * time.Second
	// heldReportInterval is the time between two reports of a held object to the
	// peers.
	heldReportInterval = 10 * time.Second
	// peerUseLifetime is how long a peer's report counts; peers that have requests
	// at the server report several times as often.
	peerUseLifetime = 500 * time.Millisecond
	// maxHeldObjects bounds the held objects that are recorded per server.
	maxHeldObjects = 512
	// slownessHalfLife and errorHalfLife let a server that is avoided be tried
	// again after a few seconds.
	slownessHalfLife = 4 * time.Second
	errorHalfLife    = 4 * time.Second
	slownessWeight   = 0.3
	errorWeight      = 0.25
	// slownessDeadband is the factor below which a deviation is treated as the
	// usual variance of the work.
	slownessDeadband = 1.8
	maxSlowness      = 20
	// coldSlowness is how much longer a server takes right after its start.
	coldSlowness = 2
	// joiningFor is how long after it was added or restarted a server is assumed
	// to hold only the objects that were seen there. Each host moves to it one of
	// the objects that rank it first per moveInterval, so that few requests at a
	// time are slow first runs: without this limit, 77 servers added to 255 at
	// once halved the score of a test scenario for 4 s.
	joiningFor   = 30 * time.Second
	moveInterval = 2 * time.Second
	// initialServiceTime is the service time assumed of a server until it has
	// responded.
	initialServiceTime = 250 * time.Millisecond
	// maxLoadPerSlot bounds the load that a server may report. A server queues a
	// few requests per slot; a number beyond is a fault of the report, and without
	// a bound the server would get no requests for as long as it takes to decay.
	maxLoadPerSlot = 8
)

// Server describes a backend server to the scheduler.
type Server struct {
	ID      string
	Service string
	Region  string
	Slots   int
	// Closed servers get no new requests. They keep their position in the order
	// of servers, so that no other object moves while they drain or are evacuated.
	Closed bool
}

type server struct {
	Server
	// down is set until a probe succeeds; the server gets no requests meanwhile.
	down      bool
	coldUntil time.Time
	coldLimit windowLimit
	quiet     quiet
	// refusals is the number of requests in a row that the server refused.
	refusals int

	running map[*Job]struct{}
	// otherLoad is the load from hosts that do not report theirs to this host.
	otherLoad   decayingValue
	slowFactor  decayingValue
	errorRate   decayingValue
	serviceTime time.Duration
	// joinedAt is when the server was added to a service that had servers, or
	// restarted; lastMoveAt is when an object last moved to it since.
	joinedAt, lastMoveAt time.Time
	// held has the time of the last completed request of each object hash.
	held map[uint64]time.Time
	// newlyHeld are the objects that the server has come to hold since the last
	// report to peers; reportedRunning is the number of requests in that report.
	newlyHeld       []uint64
	reportedRunning int
	// peers has the running requests that other hosts of the region reported.
	peers map[string]peerUse
}

func newServer(spec Server) *server {
	return &server{
		Server:      spec,
		running:     make(map[*Job]struct{}),
		otherLoad:   decayingValue{halfLife: otherLoadHalfLife},
		slowFactor:  decayingValue{baseline: 1, halfLife: slownessHalfLife},
		errorRate:   decayingValue{halfLife: errorHalfLife},
		serviceTime: initialServiceTime,
		held:        make(map[uint64]time.Time),
		peers:       make(map[string]peerUse),
	}
}

// isJoining reports whether the server was added or restarted recently.
func (s *server) isJoining(now time.Time) bool {
	return !s.joinedAt.IsZero() && now.Sub(s.joinedAt) < joiningFor
}

// allowsMove reports whether an object may move to the joining server now.
func (s *server) allowsMove(now time.Time) bool { return now.Sub(s.lastMoveAt) >= moveInterval }

func (s *server) isCold(now time.Time) bool { return now.Before(s.coldUntil) }

// usable reports whether the server may get a request now.
func (s *server) usable(now time.Time) bool {
	return !s.down && !s.Closed && !s.quiet.applies(now) && (!s.isCold(now) || s.coldLimit.allows(now))
}

// busy is the number of requests that the server runs or queues.
func (s *server) busy(now time.Time) float64 {
	return float64(len(s.running)+s.peerRunning(now)) + s.otherLoad.get(now)
}

// peerRunning returns the number of running requests that peers have reported.
func (s *server) peerRunning(now time.Time) int {
	sum := 0
	for _, use := range s.peers {
		if now.Sub(use.at) < peerUseLifetime {
			sum += use.running
		}
	}
	return sum
}

// hasFreeSlot reports whether a slot is free beside the reserved ones. No more
// requests than slots are sent to a server: a request that waits at the host
// can still go to another server, and urgent requests overtake it.
func (s *server) hasFreeSlot(now time.Time, reserved int) bool {
	return s.busy(now) < float64(max(s.Slots-reserved, 1))
}

// wait returns the expected time until a slot is free for a request, with the
// given number of requests ahead of it.
func (s *server) wait(now time.Time, ahead int) time.Duration {
	excess := s.busy(now) + float64(ahead) - float64(s.Slots) + 1
	if excess <= 0 {
		return 0
	}
	perSlot := float64(s.serviceTime) * s.slowness(now) / float64(s.Slots)
	return time.Duration(excess * perSlot)
}

// slowness is the factor by which requests take longer on the server than their
// class estimate.
func (s *server) slowness(now time.Time) float64 {
	factor := s.slowFactor.get(now)
	for job := range s.running {
		overdue := float64(now.Sub(job.run.since)) / float64(max(job.run.expected, time.Millisecond))
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
	return ok && now.Sub(at) < heldLifetime
}

// recordHeld records that the server has completed a request for an object.
func (s *server) recordHeld(now time.Time, key string) {
	hash := keyHash(key)
	if at, ok := s.held[hash]; !ok || now.Sub(at) > heldReportInterval {
		s.newlyHeld = append(s.newlyHeld, hash)
	}
	s.recordHeldHash(now, hash)
}

func (s *server) recordHeldHash(now time.Time, hash uint64) {
	if len(s.held) >= maxHeldObjects {
		clear(s.held)
	}
	s.held[hash] = now
}

func (s *server) start(now time.Time, job *Job, moves bool) {
	if moves {
		s.lastMoveAt = now
	}
	s.running[job] = struct{}{}
	if s.isCold(now) {
		s.coldLimit.recordStart(now)
	}
}

// Result is how a request at a server ended.
type Result int

// Results of requests.
const (
	// Succeeded means that the server sent a complete response.
	Succeeded Result = iota
	// Failed means an incomplete, lost or error response.
	Failed
	// Shed means that the server refused the request without running it.
	Shed
	// Abandoned means that the request was cancelled, which says nothing about
	// the server.
	Abandoned
)

// Load is the load that a server reported with a response.
type Load struct {
	Running, Waiting int
}

// Done records the end of a job that a verdict granted a server.
func (s *Scheduler) Done(now time.Time, job *Job, result Result, load *Load) []Verdict {
	server := job.server
	if server == nil {
		return nil
	}
	job.server = nil
	// The reported load includes the request of this response.
	own := len(server.running)
	delete(server.running, job)
	s.updateEstimates(now, server, job, result)
	if load != nil {
		reported := min(max(load.Running, 0), maxLoadPerSlot*server.Slots) + min(max(load.Waiting, 0), maxLoadPerSlot*server.Slots)
		server.otherLoad.set(now, max(float64(reported-own-server.peerRunning(now)), 0))
	}
	return s.decideWaiting(now, s.service(job.Service))
}

func (s *Scheduler) updateEstimates(now time.Time, server *server, job *Job, result Result) {
	took := now.Sub(job.run.since)
	switch result {
	case Abandoned:
		return
	case Failed:
		server.errorRate.addSample(now, 1, errorWeight)
		return
	case Shed:
		// The server is full: nothing more is sent until this estimate has decayed.
		server.otherLoad.set(now, float64(server.Slots))
		server.refusals++
		if server.refusals > 1 {
			// It is more than full for a moment, so others are preferred.
			server.errorRate.addSample(now, 1, errorWeight)
		}
		return
	}
	server.refusals = 0
	server.errorRate.addSample(now, 0, errorWeight)
	ratio := float64(took) / float64(max(job.run.expected, time.Millisecond))
	server.slowFactor.addSample(now, min(ratio, maxSlowness), slownessWeight)
	if job.Sticky {
		server.recordHeld(now, job.Object.Key)
	}
	s.class(job).history.add(took)
	queued := job.run.expected - job.run.serviceTime
	serviceTime := max(took-queued, 0)
	if ratio < slownessDeadband {
		s.class(job).observe(serviceTime)
		server.serviceTime = average(server.serviceTime, serviceTime)
	}
}

// SetCold marks a server as cold until the given time. It gets no requests
// before LimitCold is called.
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
			server.coldLimit.limit = limitOf(id)
		}
	}
}

// Forget drops the estimates and held objects of a server that has restarted.
func (s *Scheduler) Forget(now time.Time, id string) {
	server := s.servers[id]
	if server == nil {
		return
	}
	fresh := newServer(server.Server)
	fresh.running = server.running
	fresh.joinedAt = now
	fresh.coldUntil, fresh.coldLimit, fresh.down = server.coldUntil, server.coldLimit, server.down
	*server = *fresh
}

// SetDown stops requests to a server until SetUp. It reports whether the server
// was up before.
func (s *Scheduler) SetDown(id string) bool {
	server := s.servers[id]
	if server == nil || server.down {
		return false
	}
	server.down = true
	clear(server.held)
	return true
}

// SetUp resumes requests to a server.
func (s *Scheduler) SetUp(id string) {
	if server := s.servers[id]; server != nil {
		server.down = false
	}
}

// windowLimit bounds the number of requests in any window of coldWindow.
type windowLimit struct {
	limit     int
	startedAt []time.Time
}

// coldWindow is slightly longer than the second over which the limit of a cold
// server counts, because the network delay varies.
const coldWindow = 1100 * time.Millisecond

func (w *windowLimit) allows(now time.Time) bool {
	for len(w.startedAt) > 0 && now.Sub(w.startedAt[0]) >= coldWindow {
		w.startedAt = w.startedAt[1:]
	}
	return len(w.startedAt) < w.limit
}

func (w *windowLimit) recordStart(now time.Time) { w.startedAt = append(w.startedAt, now) }
