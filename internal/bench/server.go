package bench

import (
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/document"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

const (
	// connectTime is the time that a server needs for a new connection.
	connectTime = time.Millisecond
	// coldRuns is the number of moved requests after which a cold cache is warm.
	coldRuns = 60
	// coldFactor is the factor by which a cold cache extends the run time of the
	// first moved request.
	coldFactor = 2.5
	// reportInterval and reportDelay are the interval and the delay of load
	// reports, which are infrequent and late.
	reportInterval = time.Second
	reportDelay    = 500 * time.Millisecond
)

// server is a simulated backend server.
type server struct {
	sim             *simulation
	spec            document.Server
	region          int
	domain          int
	dispatcher      *dispatcher
	running         int
	openConnections int
	coldRequests    int // moved requests until the cache is warm
	drained         bool
	lastRun         time.Time
}

// run is one request on a server.
type run struct {
	req      *request
	server   *server
	started  time.Time // at the dispatcher
	finish   func(result.Code)
	stopping bool
	ended    bool
}

// start runs a request, or sheds it if the server is full. It calls finish of
// the run at its end.
func (s *server) start(r *run) {
	if s.running >= s.maxRunning() {
		s.sim.rec.countShed(r.req)
		r.end(result.ServerShed)
		return
	}
	s.running++
	runTime := s.runTime(r.req)
	code := result.Served
	if left := r.req.deadline.Sub(s.sim.clock.now); runTime > left {
		runTime, code = max(0, left), result.DeadlineAfterDispatch
	}
	s.sim.clock.after(runTime, func() { s.stop(r, code) })
}

// stop ends a run unless it has already ended.
func (s *server) stop(r *run, code result.Code) {
	if r.ended {
		return
	}
	s.running--
	s.lastRun = s.sim.clock.now
	r.end(code)
}

func (r *run) end(code result.Code) {
	r.ended = true
	r.finish(code)
}

// maxRunning returns the number of requests that the server runs at a time; it
// sheds others. It is two thirds of the slots while the cache is cold.
func (s *server) maxRunning() int {
	if s.coldRequests > 0 {
		return (2*s.spec.Slots + 2) / 3
	}
	return s.spec.Slots
}

// runTime returns the time that the request takes, which a new connection and
// a cold cache extend.
func (s *server) runTime(r *request) time.Duration {
	runTime := r.runTime
	if s.running > s.openConnections {
		s.openConnections = s.running
		runTime += connectTime
	}
	if r.moved && s.coldRequests > 0 {
		runTime = time.Duration(float64(runTime) * (1 + (coldFactor-1)*float64(s.coldRequests)/coldRuns))
		s.coldRequests--
	}
	return runTime
}
