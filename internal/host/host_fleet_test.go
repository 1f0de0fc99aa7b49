package host

import (
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wisteriacrank/wisteriacrank/internal/events"
	"github.com/wisteriacrank/wisteriacrank/internal/metrics"
	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
	"github.com/wisteriacrank/wisteriacrank/pkg/roster"
)

const (
	fleetRegions = 3
	fleetDomains = 2 // of each region
	fleetService = "desk"
	fleetSlots   = 40 // of the servers of each region
)

// fleetSettled is the time after which the hosts of a fleet know each other and have
// their parts of common bounds.
const fleetSettled = 20 * time.Second

// hostFleet is a fleet of hosts on a clock of its own.
type hostFleet struct {
	now    time.Time
	bounds Bounds
	hosts  []*Host
	// indexOf has the index of each host by its peer address.
	indexOf        map[string]int
	nextHeartbeats time.Time
	// isolated hosts exchange no heartbeats.
	isolated map[int]bool
}

// newHostFleet starts n hosts and lets them settle. Every seventh is a large one.
func newHostFleet(n int, bounds Bounds) *hostFleet {
	f := &hostFleet{now: time.Now(), bounds: bounds, hosts: make([]*Host, n), indexOf: make(map[string]int), isolated: make(map[int]bool)}
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
	self := h.roster.Self()
	self.Incarnation = uint64(f.now.UnixMilli())
	h.roster = roster.New(self, s.Seeds, rand.New(rand.NewPCG(uint64(i), 0)))
	h.roster.SetState(roster.Ready, false)
	f.hosts[i], f.indexOf[s.Listen.Peers] = h, i
}

// pass lets d pass, and exchanges the heartbeats that are due.
func (f *hostFleet) pass(d time.Duration) {
	for end := f.now.Add(d); ; {
		if !f.now.Before(f.nextHeartbeats) {
			f.exchangeHeartbeats()
			f.nextHeartbeats = f.now.Add(roster.HeartbeatInterval)
		}
		if !f.nextHeartbeats.Before(end) {
			f.now = end
			return
		}
		f.now = f.nextHeartbeats
	}
}

// exchangeHeartbeats delivers the heartbeats of one interval between the hosts that are
// not isolated.
func (f *hostFleet) exchangeHeartbeats() {
	for i, from := range f.hosts {
		messages := from.roster.Heartbeats(f.now, fleetSlots)
		if f.isolated[i] {
			continue
		}
		for _, m := range messages {
			self := heartbeatToWire(from.roster.Self(), 0)
			if !m.Full {
				omitStaticFields(self)
			}
			var others []*wirepb.HostBeat
			for _, other := range m.Forwarded {
				others = append(others, heartbeatToWire(other.Heartbeat, other.Age))
			}
			for _, address := range m.To {
				if to := f.indexOf[address]; !f.isolated[to] {
					f.hosts[to].updateRoster(f.now, heartbeatFromWire(self), others)
				}
			}
		}
	}
}

func (f *hostFleet) all() []int { return f.choose(func(int) bool { return true }) }

func (f *hostFleet) choose(chosen func(i int) bool) []int {
	var hosts []int
	for i := range f.hosts {
		if chosen(i) {
			hosts = append(hosts, i)
		}
	}
	return hosts
}

func (f *hostFleet) restart(hosts ...int) {
	for _, i := range hosts {
		f.start(i)
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
