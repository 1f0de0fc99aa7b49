package bench

import (
	"math/rand"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/admission"
	"github.com/wisteriacrank/wisteriacrank/pkg/grant"
)

// request is a caller's request and its state.
type request struct {
	id         admission.ItemID
	service    int
	work       *Work
	homeRegion int // region of the caller
	runTime    time.Duration
	pick       float64 // random value in [0, 1) that selects the entry host
	sent       time.Time
	deadline   time.Time // of the entry host's response
	moved      bool
	entry      *host
	tried      []*dispatcher
	grant      grant.Slot
	granted    bool
	done       bool
	preempted  int
}

// stream generates the arrivals of one rank of one service in one region. Each
// stream has its own random source, so that every policy gets the same
// arrivals.
type stream struct {
	sim        *simulation
	rng        *rand.Rand
	service    int
	work       *Work
	homeRegion int
}

func (sim *simulation) startStreams() {
	for service := range sim.deployment.Services {
		for i := range sim.deployment.Services[service].Work {
			for homeRegion := range sim.deployment.Regions {
				seed := sim.seed + int64(service*100+i*10+homeRegion)
				s := &stream{sim: sim, rng: rand.New(rand.NewSource(seed)), service: service, work: &sim.deployment.Services[service].Work[i], homeRegion: homeRegion}
				s.next()
			}
		}
	}
}

// rate returns the arrivals per second at the current time.
func (s *stream) rate() float64 {
	spec := s.sim.deployment.Services[s.service]
	slots := float64(spec.Servers * spec.Slots)
	load := s.sim.scenario.Load * s.work.Share
	if s.sim.scenario.FloodRank == s.work.Rank && s.sim.clock.elapsed() >= s.sim.scenario.Event {
		load = s.sim.scenario.FloodFactor
	}
	return load * slots / s.work.RunTime.Seconds() * s.sim.deployment.RegionShare[s.homeRegion]
}

// next schedules the next arrival.
func (s *stream) next() {
	gap := time.Duration(s.rng.ExpFloat64() / s.rate() * float64(time.Second))
	end := s.sim.scenario.End
	if s.sim.clock.elapsed()+gap >= end {
		return
	}
	// An arrival beyond the event is drawn again at the rate that applies from
	// the event on.
	if event := s.sim.scenario.Event; s.sim.clock.elapsed() < event && s.sim.clock.elapsed()+gap > event {
		s.sim.clock.after(event-s.sim.clock.elapsed(), s.next)
		return
	}
	s.sim.clock.after(gap, func() {
		s.sim.arrive(s.draw())
		s.next()
	})
}

// draw returns a new request. Its run time is half fixed and half exponentially
// distributed.
func (s *stream) draw() *request {
	s.sim.lastID++
	runTime := time.Duration(float64(s.work.RunTime) * (0.5 + 0.5*s.rng.ExpFloat64()))
	return &request{id: s.sim.lastID, service: s.service, work: s.work, homeRegion: s.homeRegion, runTime: runTime, pick: s.rng.Float64()}
}
