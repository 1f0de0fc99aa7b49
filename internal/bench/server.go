package bench

import (
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/document"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

const (
	// connectTime is what a server needs for a new connection.
	connectTime = time.Millisecond
	// coldRuns is how many moved requests a cold cache takes to warm up.
	coldRuns = 60
	// coldFactor is how much longer the first moved request runs.
	coldFactor = 2.5
	// reportPeriod and reportDelay describe the load reports: they are rare
	// and late.
	reportPeriod = time.Second
	reportDelay  = 500 * time.Millisecond
)

// server is a stand-in for a backend server.
type server struct {
	w       *world
	spec    document.Server
	region  int
	domain  int
	owner   *dispatcher
	running int
	open    int
	cold    int // moved requests until the cache is warm
	drained bool
	lastRun time.Time
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

// start runs a request; finish is called when it ends.
func (s *server) start(r *run) {
	if s.running >= s.limit() {
		s.w.rec.shed(r.req)
		r.end(result.ServerShed)
		return
	}
	s.running++
	length := s.length(r.req)
	code := result.Served
	if left := r.req.deadline.Sub(s.w.clock.now); length > left {
		length, code = max(0, left), result.DeadlineAfterDispatch
	}
	s.w.clock.after(length, func() { s.stop(r, code) })
}

// stop ends a run unless it was cancelled before.
func (s *server) stop(r *run, code result.Code) {
	if r.ended {
		return
	}
	s.running--
	s.lastRun = s.w.clock.now
	r.end(code)
}

func (r *run) end(code result.Code) {
	r.ended = true
	r.finish(code)
}

// limit is lower than the slots while the cache is cold: the server sheds what
// it cannot run.
func (s *server) limit() int {
	if s.cold > 0 {
		return (2*s.spec.Slots + 2) / 3
	}
	return s.spec.Slots
}

func (s *server) length(r *request) time.Duration {
	length := r.run
	if s.running > s.open {
		s.open = s.running
		length += connectTime
	}
	if r.moved && s.cold > 0 {
		length = time.Duration(float64(length) * (1 + (coldFactor-1)*float64(s.cold)/coldRuns))
		s.cold--
	}
	return length
}
