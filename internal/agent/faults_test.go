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

// sees reports whether every agent holds the generation and sees the number
// of ready hosts.
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

// dead counts the hosts that the agent holds dead.
func (a *Agent) dead() int {
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

func everyone(n int) func(*Agent) int { return func(*Agent) int { return n } }

// Guards against regions that stay apart after a partition, and against a
// change that does not reach both sides of one.
func TestRegionsCutFromEachOtherAndHealed(t *testing.T) {
	const regions, hosts = 2, 6
	f, network := newFleet(t), newRelays(t)
	regionOf := func(id model.HostID) string {
		if strings.Compare(string(id), "host-3") < 0 {
			return "bagmati"
		}
		return "gandaki"
	}
	f.adjust = func(s *settings.Settings) {
		s.Host.Region = model.Region(regionOf(s.Host.ID))
		s.Host.FailureDomain = model.FailureDomain(regionOf(s.Host.ID) + "-a")
		network.adjust(s)
	}
	for range hosts {
		f.start()
	}
	first := f.promote(platform.CreateOnly)
	f.wait("all hosts see each other", func() bool { return f.sees(first, everyone(hosts)) })

	network.setCut(func(from, to model.HostID) bool { return regionOf(from) != regionOf(to) })
	f.wait("each region holds the other dead", func() bool {
		for _, a := range f.agents {
			if a.dead() != hosts-hosts/regions {
				return false
			}
		}
		return f.sees(first, everyone(hosts/regions))
	})
	second := f.promote(first)
	f.wait("a change in both regions", func() bool { return f.sees(second, everyone(hosts/regions)) })

	network.setCut(func(_, _ model.HostID) bool { return false })
	f.wait("all hosts see each other again", func() bool { return f.sees(second, everyone(hosts)) })
}

// Guards against a change that waits for connections which are open and
// silent, and against hosts that count as dead because of them.
func TestChangePassesSilentConnections(t *testing.T) {
	const hosts = 8
	f, network := newFleet(t), newRelays(t)
	f.adjust = network.adjust
	for range hosts {
		f.start()
	}
	generation := f.promote(platform.CreateOnly)
	f.wait("first generation in force", func() bool { return f.sees(generation, everyone(hosts)) })
	// The second watcher feeds when the first one fails, so that its
	// connections have to be silent too.
	for range 4 {
		network.silenceOpen()
		generation = f.promote(generation)
		f.wait("change in force", func() bool { return f.sees(generation, everyone(hosts)) })
	}
}

// Guards against a store that answers late and loses changes for it, or keeps
// hosts from starting.
func TestChangesWithASlowStore(t *testing.T) {
	const hosts = 4
	f := newFleet(t)
	f.store.SetFaults(standin.Faults{Delay: 1500 * time.Millisecond})
	for range hosts {
		f.start()
	}
	generation := f.promote(platform.CreateOnly)
	f.wait("first generation in force", func() bool { return f.sees(generation, everyone(hosts)) })
	for range 3 {
		generation = f.promote(generation)
	}
	f.wait("last of three changes in force", func() bool { return f.sees(generation, everyone(hosts)) })
}

// deadPlatform refuses and counts all calls.
type deadPlatform struct {
	platform.Platform
	machines, latencies, gets int
}

func (p *deadPlatform) Machines(context.Context) ([]platform.Machine, error) {
	p.machines++
	return nil, platform.ErrUnavailable
}

func (p *deadPlatform) Latencies(context.Context) ([]platform.Latency, error) {
	p.latencies++
	return nil, platform.ErrUnavailable
}

func (p *deadPlatform) Get(context.Context, string) (platform.Object, error) {
	p.gets++
	return platform.Object{}, platform.ErrUnavailable
}

// Guards against hosts that call the store through an outage as often as they
// would otherwise, and against ones that give up.
func TestOutageBacksOff(t *testing.T) {
	const outage = 10 * time.Minute
	run := func(loop func(*Agent, context.Context)) *deadPlatform {
		p := &deadPlatform{}
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
	// Bounds: the longest delay with its jitter, and half of it.
	polls := run((*Agent).pollLoop)
	check("host list", polls.machines, int(outage/(2*maxStoreDelay+pollInterval)), int(outage/(maxStoreDelay/2+pollInterval)))
	check("measurements", polls.latencies, int(outage/(2*maxStoreDelay+pollInterval)), int(outage/(maxStoreDelay/2+pollInterval)))
	check("registration", run((*Agent).register).gets, int(outage/(2*maxRegisterDelay)), int(2*outage/maxRegisterDelay))
}

// silentPlatform answers no watch until it returns; then it has a change.
type silentPlatform struct {
	platform.Platform
	returnsAt, answeredAt time.Time
}

const silentWatch = 4500 * time.Millisecond

func (p *silentPlatform) Watch(ctx context.Context, _ string, _ uint64) ([]platform.Object, error) {
	if began := time.Now(); began.Before(p.returnsAt) {
		sleep(ctx, silentWatch)
		return nil, platform.ErrUnavailable
	}
	if p.answeredAt.IsZero() {
		p.answeredAt = time.Now()
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

// Guards against a watcher that pauses after a watch which waited in vain, so
// that a change after a silent outage is late.
func TestWatcherAsksAgainInTimeAfterASilentOutage(t *testing.T) {
	const configBound = 6 * time.Second
	for i := range 20 {
		synctest.Test(t, func(t *testing.T) {
			outage := time.Minute + time.Duration(i)*silentWatch/20
			p := &silentPlatform{returnsAt: time.Now().Add(outage)}
			a := newAgent(hostSettings(1, "127.0.0.1:1", nil), p, time.Now())
			a.replica.SetMembers(a.members.Live())
			ctx, cancel := context.WithTimeout(t.Context(), outage+2*configBound)
			defer cancel()
			a.watchLoop(ctx)
			if late := p.answeredAt.Sub(p.returnsAt); p.answeredAt.IsZero() || late > configBound {
				t.Errorf("after an outage of %v the first watch is answered %v later", outage, late)
			}
		})
	}
}
