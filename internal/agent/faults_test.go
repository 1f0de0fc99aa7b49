package agent

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/platform"
	"github.com/wisteriacrank/wisteriacrank/internal/settings"
	"github.com/wisteriacrank/wisteriacrank/internal/standin"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// sees reports whether every agent has the generation and ready(a) ready hosts in
// its view.
func (f *fleet) sees(generation uint64, ready func(a *Agent) int) bool {
	for _, a := range f.agents {
		a.mu.Lock()
		n := 0
		for _, r := range a.members.Live() {
			if r.State == model.HostReady {
				n++
			}
		}
		held := uint64(a.replica.Current().Generation)
		a.mu.Unlock()
		if held != generation || n != ready(a) {
			return false
		}
	}
	return true
}

// deadHosts returns the number of hosts that are dead in the agent's view.
func (a *Agent) deadHosts() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, r := range a.members.Records() {
		if r.State == model.HostDead {
			n++
		}
	}
	return n
}

func constant(n int) func(*Agent) int { return func(*Agent) int { return n } }

// Guards against regions that stay partitioned after the network is repaired, and
// against a change that doesn't reach both sides of a partition.
func TestPartitionedRegionsRejoin(t *testing.T) {
	const regions, hosts = 2, 6
	f, network := newFleet(t), newRelays(t)
	regionOf := func(id model.HostID) string {
		if strings.Compare(string(id), "host-3") < 0 {
			return "bagmati"
		}
		return "gandaki"
	}
	f.adjustSettings = func(s *settings.Settings) {
		s.Host.Region = model.Region(regionOf(s.Host.ID))
		s.Host.FailureDomain = model.FailureDomain(regionOf(s.Host.ID) + "-a")
		network.adjust(s)
	}
	for range hosts {
		f.start()
	}
	first := f.promote(platform.CreateOnly)
	f.wait("all hosts see each other", func() bool { return f.sees(first, constant(hosts)) })

	network.setPartition(func(from, to model.HostID) bool { return regionOf(from) != regionOf(to) })
	f.wait("each region has declared the other dead", func() bool {
		for _, a := range f.agents {
			if a.deadHosts() != hosts-hosts/regions {
				return false
			}
		}
		return f.sees(first, constant(hosts/regions))
	})
	second := f.promote(first)
	f.wait("a change in both regions", func() bool { return f.sees(second, constant(hosts/regions)) })

	network.setPartition(func(_, _ model.HostID) bool { return false })
	f.wait("all hosts see each other again", func() bool { return f.sees(second, constant(hosts)) })
}

// Guards against a change that is delayed by open connections whose peer doesn't
// respond, and against hosts that are declared dead because of them.
func TestChangeArrivesDespiteUnresponsiveConnections(t *testing.T) {
	const hosts = 8
	f, network := newFleet(t), newRelays(t)
	f.adjustSettings = network.adjust
	for range hosts {
		f.start()
	}
	generation := f.promote(platform.CreateOnly)
	f.wait("first generation in force", func() bool { return f.sees(generation, constant(hosts)) })
	// The second watcher feeds when the first one fails, so its connections have to
	// be unresponsive too.
	for range 4 {
		network.blackholeOpen()
		generation = f.promote(generation)
		f.wait("change in force", func() bool { return f.sees(generation, constant(hosts)) })
	}
}

// Guards against changes that are lost, and hosts that don't start, because the
// store responds slowly.
func TestChangesWithASlowStore(t *testing.T) {
	const hosts = 4
	f := newFleet(t)
	f.store.SetFaults(standin.Faults{Delay: 1500 * time.Millisecond})
	for range hosts {
		f.start()
	}
	generation := f.promote(platform.CreateOnly)
	f.wait("first generation in force", func() bool { return f.sees(generation, constant(hosts)) })
	for range 3 {
		generation = f.promote(generation)
	}
	f.wait("last of three changes in force", func() bool { return f.sees(generation, constant(hosts)) })
}

// unavailablePlatform fails and counts all calls.
type unavailablePlatform struct {
	platform.Platform
	machines, latencies, gets int
}

func (p *unavailablePlatform) Machines(context.Context) ([]platform.Machine, error) {
	p.machines++
	return nil, platform.ErrUnavailable
}

func (p *unavailablePlatform) Latencies(context.Context) ([]platform.Latency, error) {
	p.latencies++
	return nil, platform.ErrUnavailable
}

func (p *unavailablePlatform) Get(context.Context, string) (platform.Object, error) {
	p.gets++
	return platform.Object{}, platform.ErrUnavailable
}

// Guards against hosts that call the store during an outage as often as they
// would otherwise, and against hosts that stop calling it.
func TestOutageBacksOff(t *testing.T) {
	const outage = 10 * time.Minute
	run := func(loop func(*Agent, context.Context)) *unavailablePlatform {
		p := &unavailablePlatform{}
		synctest.Test(t, func(t *testing.T) {
			a := newAgent(hostSettings(1, "127.0.0.1:1", nil), p, time.Now())
			ctx, cancel := context.WithTimeout(t.Context(), outage)
			defer cancel()
			loop(a, ctx)
		})
		return p
	}
	check := func(what string, calls, atLeast, atMost int) {
		t.Logf("%s: %d calls in %v", what, calls, outage)
		if calls < atLeast || calls > atMost {
			t.Errorf("%s: %d calls in an outage of %v, want %d to %d", what, calls, outage, atLeast, atMost)
		}
	}
	// The bounds follow from the longest delay with its jitter, and from half of it.
	polls := run((*Agent).pollLoop)
	check("host list", polls.machines, int(outage/(2*maxStoreDelay+pollInterval)), int(outage/(maxStoreDelay/2+pollInterval)))
	check("measurements", polls.latencies, int(outage/(2*maxStoreDelay+pollInterval)), int(outage/(maxStoreDelay/2+pollInterval)))
	check("registration", run((*Agent).register).gets, int(outage/(2*maxRegisterDelay)), int(2*outage/maxRegisterDelay))
}

// unresponsivePlatform lets watches time out until recoversAt; then it has a
// change.
type unresponsivePlatform struct {
	platform.Platform
	recoversAt, respondedAt time.Time
}

const watchDuration = 4500 * time.Millisecond

func (p *unresponsivePlatform) Watch(ctx context.Context, _ string, _ uint64) ([]platform.Object, error) {
	if began := time.Now(); began.Before(p.recoversAt) {
		sleep(ctx, watchDuration)
		return nil, platform.ErrUnavailable
	}
	if p.respondedAt.IsZero() {
		p.respondedAt = time.Now()
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

// Guards against a watcher that adds a delay to the time of a watch that timed
// out, so that it reads a change after an outage too late.
func TestWatcherRetriesInTimeAfterUnresponsiveStore(t *testing.T) {
	const configBound = 6 * time.Second
	for i := range 20 {
		synctest.Test(t, func(t *testing.T) {
			outage := time.Minute + time.Duration(i)*watchDuration/20
			p := &unresponsivePlatform{recoversAt: time.Now().Add(outage)}
			a := newAgent(hostSettings(1, "127.0.0.1:1", nil), p, time.Now())
			a.replica.SetMembers(a.members.Live())
			ctx, cancel := context.WithTimeout(t.Context(), outage+2*configBound)
			defer cancel()
			a.watchLoop(ctx)
			if late := p.respondedAt.Sub(p.recoversAt); p.respondedAt.IsZero() || late > configBound {
				t.Errorf("after an outage of %v the first watch has a response %v after its end", outage, late)
			}
		})
	}
}
