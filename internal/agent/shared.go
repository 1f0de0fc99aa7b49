package agent

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/platform"
	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
	"github.com/wisteriacrank/wisteriacrank/pkg/rendezvous"
)

const (
	// pollInterval leaves two polls within the 3 s in which a leaving backend
	// server must get no new work.
	pollInterval = time.Second
	// latencyInterval is coarser than pollInterval: measurements lag anyway.
	latencyInterval = 5 * time.Second
	// sharedRefresh bounds the age of unchanged shared state, so that agents
	// can tell that measurements have not stopped.
	sharedRefresh = 10 * time.Second
	// standbyAfter is how old the shared state is when the second host of the
	// region polls too: the first one may not reach the platform.
	standbyAfter = 15 * time.Second
	// sharedFanout is the number of children in the tree of shared state.
	sharedFanout = 8
	// latencyChange is the relative change of a measurement that is passed on
	// before the next refresh.
	latencyChange = 0.1
)

// sharedState is what one agent of the region reads from the platform for
// all of them.
type sharedState struct {
	version   uint64
	leaving   []string
	latencies []*wirepb.RegionLatency
	received  time.Time
}

type sharedPush struct {
	to      model.HostID
	subtree []model.HostID
}

// aged returns the measurements with their ages at the given time.
func (s *sharedState) aged(now time.Time) []*wirepb.RegionLatency {
	aged := make([]*wirepb.RegionLatency, len(s.latencies))
	held := now.Sub(s.received).Milliseconds()
	for i, l := range s.latencies {
		aged[i] = &wirepb.RegionLatency{Block: l.Block, Region: l.Region, Millis: l.Millis, AgeMillis: l.AgeMillis + held}
	}
	return aged
}

// differs reports whether a read is worth passing on at once.
func (s *sharedState) differs(leaving []string, latencies []*wirepb.RegionLatency) bool {
	if !slices.Equal(s.leaving, leaving) || len(s.latencies) != len(latencies) {
		return true
	}
	for i, l := range latencies {
		old := s.latencies[i]
		if old.Block != l.Block || old.Region != l.Region || math.Abs(old.Millis-l.Millis) > latencyChange*old.Millis {
			return true
		}
	}
	return false
}

// regionHosts ranks the live hosts of this region: the first one polls.
func (a *Agent) regionHosts() []model.HostID {
	var names []string
	for _, r := range a.members.Live() {
		if r.Region == a.settings.Host.Region {
			names = append(names, string(r.Host))
		}
	}
	return hostsFromWire(rendezvous.Rank("poll/"+string(a.settings.Host.Region), names))
}

// polls reports whether this host reads from the platform now.
func (a *Agent) polls(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch slices.Index(a.regionHosts(), a.settings.Host.ID) {
	case 0:
		return true
	case 1:
		return now.Sub(a.shared.received) > standbyAfter
	default:
		return false
	}
}

// pollLoop reads host list and measurements for the region.
func (a *Agent) pollLoop(ctx context.Context) {
	var latencies []*wirepb.RegionLatency
	var latenciesRead time.Time
	policy := storeBackoff()
	for ; ctx.Err() == nil; sleep(ctx, pollInterval) {
		now := time.Now()
		if !a.polls(now) {
			continue
		}
		if now.Sub(latenciesRead) >= latencyInterval {
			if measured, err := a.platform.Latencies(ctx); err == nil {
				latencies = latenciesToWire(measured, now)
				latenciesRead = now
			}
		}
		machines, err := a.platform.Machines(ctx)
		if err != nil {
			sleep(ctx, policy.NextBackOff())
			continue
		}
		policy.Reset()
		a.perform(ctx, a.takePolled(time.Now(), leavingNames(machines), latencies))
	}
}

// takePolled passes on what changed or is due for a refresh.
func (a *Agent) takePolled(now time.Time, leaving []string, latencies []*wirepb.RegionLatency) outbox {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.shared.differs(leaving, latencies) && now.Sub(a.shared.received) < sharedRefresh {
		return outbox{}
	}
	a.shared = sharedState{version: uint64(now.UnixNano()), leaving: leaving, latencies: latencies, received: now}
	others := slices.DeleteFunc(a.regionHosts(), func(h model.HostID) bool { return h == a.settings.Host.ID })
	a.publish(now)
	return outbox{shared: sharedTree(others)}
}

func sharedTree(hosts []model.HostID) []sharedPush {
	var pushes []sharedPush
	children := min(sharedFanout, len(hosts))
	for i := range children {
		part := hosts[i*len(hosts)/children : (i+1)*len(hosts)/children]
		pushes = append(pushes, sharedPush{to: part[0], subtree: part[1:]})
	}
	return pushes
}

// sendShared pushes the newest state, which may be newer than the one that
// caused the push.
func (a *Agent) sendShared(ctx context.Context, p sharedPush) {
	state := a.sharedToWire()
	state.Subtree = hostsToWire(p.subtree)
	if a.sendFeed(ctx, p.to, &wirepb.Envelope{Body: &wirepb.Envelope_SharedState{SharedState: state}}) != nil {
		a.perform(ctx, outbox{shared: sharedTree(p.subtree)})
	}
}

func (a *Agent) pullSharedFrom(ctx context.Context, peer model.HostID) {
	env := &wirepb.Envelope{Body: &wirepb.Envelope_SharedStatePull{SharedStatePull: &wirepb.SharedStatePull{}}}
	answer, err := a.callOnce(ctx, a.address(peer), exchangeTimeout, env)
	if err == nil && answer.GetSharedState() != nil {
		a.takeShared(ctx, answer.GetSharedState())
	}
}

func (a *Agent) takeShared(ctx context.Context, s *wirepb.SharedState) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if s.Version <= a.shared.version {
		return
	}
	a.shared = sharedState{version: s.Version, leaving: s.LeavingServers, latencies: s.Latencies, received: now}
	a.publish(now)
	a.perform(ctx, outbox{shared: sharedTree(hostsFromWire(s.Subtree))})
}

func (a *Agent) sharedToWire() *wirepb.SharedState {
	a.mu.Lock()
	defer a.mu.Unlock()
	return &wirepb.SharedState{
		Version:        a.shared.version,
		LeavingServers: a.shared.leaving,
		Latencies:      a.shared.aged(time.Now()),
	}
}

func leavingNames(machines []platform.Machine) []string {
	var names []string
	for _, m := range machines {
		if m.State == platform.MachineLeaving {
			names = append(names, m.Name)
		}
	}
	slices.Sort(names)
	return names
}

func latenciesToWire(measured []platform.Latency, now time.Time) []*wirepb.RegionLatency {
	latencies := make([]*wirepb.RegionLatency, len(measured))
	for i, l := range measured {
		latencies[i] = &wirepb.RegionLatency{Block: l.Block, Region: l.Region, Millis: l.Millis, AgeMillis: now.Sub(l.Measured).Milliseconds()}
	}
	return latencies
}
