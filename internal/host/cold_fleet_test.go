package host

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/inventory"
	"github.com/wisteriacrank/wisteriacrank/pkg/fleet"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
	"github.com/wisteriacrank/wisteriacrank/pkg/roster"
)

const coldBound = 2*4 + 10 // ColdRate * ColdOver + ColdSlack

// coldFleet is a fleet with a cold server in the first region.
type coldFleet struct {
	*hostFleet
	view   *inventory.View
	server fleet.BackendServer
}

func forEachColdFleet(t *testing.T, run func(t *testing.T, f *coldFleet)) {
	forEachFleetSize(t, func(t *testing.T, hosts int) {
		f := &coldFleet{
			hostFleet: newHostFleet(hosts, Bounds{ColdOver: 2, ColdSlack: 10}),
			view:      &inventory.View{Config: fleet.NewConfig(1, nil, map[string]*fleet.Service{fleetService: {Name: fleetService, ColdRate: 4}}, fleet.Limits{})},
			server:    fleet.BackendServer{ID: "i-0", Service: fleetService, Region: "r-0"},
		}
		f.passIntervals(t, int(coldSettleDelay/roster.HeartbeatInterval)+2)
		run(t, f)
	})
}

// passIntervals lets n intervals pass and returns in how many of them some host might use
// the cold server. It fails the test if the hosts may exceed the server's bound together.
func (f *coldFleet) passIntervals(t *testing.T, n int) (used int) {
	t.Helper()
	for range n {
		f.pass(roster.HeartbeatInterval)
		sum := 0
		for _, h := range f.hosts {
			if h.sharesColdServers(f.now) {
				sum += h.coldLimit(f.view, f.server)
			}
		}
		if sum > coldBound {
			t.Fatalf("%d requests a second, the bound is %d", sum, coldBound)
		}
		if sum > 0 {
			used++
		}
	}
	return used
}

// Guards against isolated hosts that each take themselves for one of those that share a cold server.
func TestHostsThatShareAColdServerStayWithinItsBound(t *testing.T) {
	const intervals = 150
	for _, c := range []struct {
		name     string
		isolated func(i int) bool
		used     bool
	}{
		{"calm", func(int) bool { return false }, true},
		{"a failure domain isolated", isInFirstDomain, true},
		{"one of three hosts isolated", func(i int) bool { return i/(fleetRegions*fleetDomains)%3 == 1 }, true},
		{"all isolated", func(int) bool { return true }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			forEachColdFleet(t, func(t *testing.T, f *coldFleet) {
				f.isolate(c.isolated)
				if used := f.passIntervals(t, intervals); used < intervals && c.used {
					t.Errorf("no host uses the server in %d of %d intervals", intervals-used, intervals)
				}
			})
		})
	}
}

// Guards against hosts that share a cold server with too many others while their views differ.
func TestHostsThatShareAColdServerInRandomSequencesStayWithinItsBound(t *testing.T) {
	const seeds, steps, maxIntervals = 2, 12, 30
	forEachColdFleet(t, func(t *testing.T, f *coldFleet) {
		for seed := range uint64(seeds) {
			rng := rand.New(rand.NewPCG(seed, seed))
			for range steps {
				part := []int{2, 3, 6, 1 << 30}[rng.IntN(4)]
				f.isolate(func(int) bool { return rng.IntN(part) == 0 })
				if rng.IntN(2) == 0 {
					f.restart(f.choose(func(int) bool { return rng.IntN(4) == 0 })...)
				}
				f.passIntervals(t, 1+rng.IntN(maxIntervals))
			}
		}
		clear(f.isolated)
		f.passIntervals(t, maxIntervals)
		if f.passIntervals(t, 1) == 0 {
			t.Error("no host uses the server after the last change")
		}
	})
}

// Guards against servers that count as cold again because the store has come back from an
// older copy, which has an earlier entry.
func TestColdTimeDoesNotBeginAgainInALaterEra(t *testing.T) {
	now := time.Now()
	var b backend
	entry := func(era model.Era, revision uint64) fleet.BackendServer {
		return fleet.BackendServer{Entry: model.Position{Era: era, Revision: revision}, ColdRemaining: 3 * time.Second}
	}
	until := b.coldUntil(now, entry(1, 9))
	if again := b.coldUntil(now.Add(time.Minute), entry(2, 4)); again != until {
		t.Errorf("cold until %v later", again.Sub(until))
	}
	if next := b.coldUntil(now.Add(time.Minute), entry(2, 5)); next != until.Add(time.Minute) {
		t.Errorf("cold until %v later, want the time in the next entry", next.Sub(until))
	}
}
