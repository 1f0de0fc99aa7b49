package host

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wisteriacrank/wisteriacrank/internal/events"
	"github.com/wisteriacrank/wisteriacrank/internal/metrics"
	"github.com/wisteriacrank/wisteriacrank/pkg/roster"
)

const (
	fleetRegions = 3
	fleetDomains = 2 // of each region
	fleetService = "desk"
)

// fleetSettled is the time after which the hosts of a fleet know each other and have
// their parts of common bounds.
const fleetSettled = 20 * time.Second

// hostFleet is a fleet of hosts on a clock of its own.
type hostFleet struct {
	now    time.Time
	bounds Bounds
	hosts  []*Host
	// isolated hosts exchange no heartbeats.
	isolated map[int]bool
}

// newHostFleet starts n hosts and lets them settle. Every seventh is a large one.
func newHostFleet(n int, bounds Bounds) *hostFleet {
	f := &hostFleet{now: time.Now(), bounds: bounds, hosts: make([]*Host, n), isolated: make(map[int]bool)}
	for i := range f.hosts {
		f.start(i)
	}
	f.pass(fleetSettled)
	return f
}

// start starts the process of a host, which knows no other host then.
func (f *hostFleet) start(i int) {
	regionOf := make(map[string]string)
	for d := range fleetRegions * fleetDomains {
		regionOf[fmt.Sprint("d-", d)] = fmt.Sprint("r-", d/fleetDomains)
	}
	domain := fmt.Sprint("d-", i%len(regionOf))
	s := &Settings{ID: fmt.Sprint("h-", i), Region: regionOf[domain], Domain: domain, RegionOf: regionOf, Seeds: []string{"h-0", "h-1"},
		Memory: 64 << 20, Cores: 0.16, Bounds: f.bounds}
	s.Listen.Peers = s.ID
	if i/len(regionOf)%7 == 0 {
		s.Cores = 0.8
	}
	h := New(Base{Settings: s, Log: events.New(io.Discard, logrus.InfoLevel, time.Now), Metrics: metrics.New()})
	h.started = f.now
	h.roster.SetState(roster.Ready, false)
	f.hosts[i] = h
}

// step lets d pass, after heartbeats between all hosts that are not isolated.
func (f *hostFleet) step(d time.Duration) {
	for i, from := range f.hosts {
		for j, to := range f.hosts {
			if i != j && !f.isolated[i] && !f.isolated[j] {
				to.roster.Receive(f.now, roster.Heartbeat{ID: from.Settings.ID, Incarnation: 1, Region: from.Settings.Region, Domain: from.Settings.Domain,
					PeerAddress: from.Settings.ID, Capacity: capacityOf(from.Settings), State: roster.Ready}, 0)
			}
		}
	}
	f.now = f.now.Add(d)
}

// pass lets d pass with a step each second.
func (f *hostFleet) pass(d time.Duration) {
	for ; d > 0; d -= time.Second {
		f.step(time.Second)
	}
}

// isolate isolates the chosen hosts.
func (f *hostFleet) isolate(chosen func(i int) bool) {
	for i := range f.hosts {
		f.isolated[i] = chosen(i)
	}
}

// isInFirstDomain chooses all hosts of one failure domain.
func isInFirstDomain(i int) bool { return i%(fleetRegions*fleetDomains) == 0 }

// forEachFleetSize runs a test for fleets from the smallest to the large installation.
func forEachFleetSize(t *testing.T, run func(t *testing.T, hosts int)) {
	for _, hosts := range []int{2, 22, 107, 195} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) { run(t, hosts) })
	}
}
