package bench

import (
	"math/rand"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/admission"
	"github.com/wisteriacrank/wisteriacrank/pkg/grant"
)

// request is one caller's request and its state.
type request struct {
	id        admission.ItemID
	service   int
	work      *Work
	home      int // region of the caller
	run       time.Duration
	pick      float64 // chooses the entry host
	sent      time.Time
	deadline  time.Time // for the entry host's response
	moved     bool
	entry     *host
	tried     []*dispatcher
	grant     grant.Slot
	granted   bool
	done      bool
	preempted int
}

// stream produces the arrivals of one rank of one service in one region. Each
// has its own random source, so every policy gets the same arrivals.
type stream struct {
	w       *world
	rng     *rand.Rand
	service int
	work    *Work
	home    int
}

func (w *world) startStreams() {
	for service := range w.user.Services {
		for i := range w.user.Services[service].Work {
			for home := range w.user.Regions {
				seed := w.seed + int64(service*100+i*10+home)
				s := &stream{w: w, rng: rand.New(rand.NewSource(seed)), service: service, work: &w.user.Services[service].Work[i], home: home}
				s.next()
			}
		}
	}
}

// rate returns arrivals per second at the current time.
func (s *stream) rate() float64 {
	spec := s.w.user.Services[s.service]
	slots := float64(spec.Servers * spec.Slots)
	load := s.w.scenario.Load * s.work.Share
	if s.w.scenario.FloodRank == s.work.Rank && s.w.clock.elapsed() >= s.w.scenario.Event {
		load = s.w.scenario.FloodFactor
	}
	return load * slots / s.work.RunTime.Seconds() * s.w.user.RegionShare[s.home]
}

func (s *stream) next() {
	gap := time.Duration(s.rng.ExpFloat64() / s.rate() * float64(time.Second))
	end := s.w.scenario.End
	if s.w.clock.elapsed()+gap >= end {
		return
	}
	// A gap that reaches over the event is drawn again at the event's rate.
	if event := s.w.scenario.Event; s.w.clock.elapsed() < event && s.w.clock.elapsed()+gap > event {
		s.w.clock.after(event-s.w.clock.elapsed(), s.next)
		return
	}
	s.w.clock.after(gap, func() {
		s.w.arrive(s.draw())
		s.next()
	})
}

// draw makes a request. Run times are half fixed and half exponential.
func (s *stream) draw() *request {
	s.w.lastID++
	run := time.Duration(float64(s.work.RunTime) * (0.5 + 0.5*s.rng.ExpFloat64()))
	return &request{id: s.w.lastID, service: s.service, work: s.work, home: s.home, run: run, pick: s.rng.Float64()}
}
