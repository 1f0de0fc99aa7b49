package agent

import (
	"context"
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
	// blocksPerSecond bounds the work of reading many measurements: 160,000
	// are read every 20 s, which takes under 2.4% of a core.
	blocksPerSecond = 8000
	// sharedRefresh bounds the age of unchanged shared state, so that agents
	// can tell that measurements have not stopped.
	sharedRefresh = 10 * time.Second
	// standbyAfter is how old the shared state is when the second host of the
	// region polls too: the first one may not reach the platform.
	standbyAfter = 15 * time.Second
	// sharedFanout is the number of children in the tree of shared state. A
	// host sends each change that often.
	sharedFanout = 3
	// maxChanges bounds the measurements that are passed on per
	// latencyInterval. With 10 bytes each and the names of a region of 250
	// hosts, the first host of the tree sends less than 3 KB/s.
	maxChanges = 256
	// bulkInterval is the time between two reads that are passed on whole,
	// when more changed than several reads may pass on.
	bulkInterval = time.Hour
	bulkChanges  = 16 * maxChanges
)

// sharedState is what one agent of the region reads from the platform for
// all of them.
type sharedState struct {
	version   uint64
	leaving   []string
	latencies *latencyTable
	received  time.Time
	// bulk is the last read that was taken without a limit on its changes.
	bulk time.Time
}

type sharedPush struct {
	to      model.HostID
	subtree []model.HostID
	// base is the version that the receivers should have.
	base uint64
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
	policy := storeBackoff()
	var nextLatencies time.Time
	for ; ctx.Err() == nil; sleep(ctx, pollInterval) {
		now := time.Now()
		if !a.polls(now) {
			continue
		}
		var read pollRead
		if !now.Before(nextLatencies) {
			if measured, err := a.platform.Latencies(ctx); a.storeCall(err) == nil {
				read.latencies, read.measured = measured, true
				nextLatencies = now.Add(readInterval(len(measured)))
			}
		}
		machines, err := a.platform.Machines(ctx)
		a.hostListRead(time.Now(), err)
		if a.storeCall(err) != nil {
			sleep(ctx, policy.NextBackOff())
			continue
		}
		policy.Reset()
		read.leaving = leavingNames(machines)
		a.perform(ctx, a.takePolled(time.Now(), read))
	}
}

// readInterval is the time until the next read of that many measurements.
func readInterval(measured int) time.Duration {
	return max(latencyInterval, time.Duration(measured)*time.Second/blocksPerSecond)
}

// pollRead is what one poll read. The measurements are read less often than
// the host list.
type pollRead struct {
	leaving   []string
	measured  bool
	latencies []platform.Latency
}

// takePolled passes on what changed or is due for a refresh.
func (a *Agent) takePolled(now time.Time, read pollRead) outbox {
	a.mu.Lock()
	defer a.mu.Unlock()
	version := uint64(now.UnixNano())
	changed := !slices.Equal(a.shared.leaving, read.leaving)
	if read.measured {
		changed = a.readLatencies(now, version, read.latencies) || changed
	}
	if !changed && now.Sub(a.shared.received) < sharedRefresh {
		return outbox{}
	}
	base := a.shared.version
	a.shared.version, a.shared.leaving, a.shared.received = version, read.leaving, now
	others := slices.DeleteFunc(a.regionHosts(), func(h model.HostID) bool { return h == a.settings.Host.ID })
	a.publish(now)
	return sharedSubtree(base, others)
}

// readLatencies takes a read of the measurements and reports whether some of
// them are worth passing on at once.
func (a *Agent) readLatencies(now time.Time, version uint64, read []platform.Latency) bool {
	changes := a.shared.latencies.compare(now, read)
	limit := int(maxChanges * readInterval(len(read)) / latencyInterval)
	if len(changes) > bulkChanges && now.Sub(a.shared.bulk) >= bulkInterval {
		limit = len(changes)
		a.shared.bulk = now
	}
	changes = changes[:min(limit, len(changes))]
	a.shared.latencies.take(version, changes)
	return len(changes) > 0
}

// sharedTree splits the hosts into subtrees.
func sharedTree(hosts []model.HostID) []sharedPush {
	var pushes []sharedPush
	children := min(sharedFanout, len(hosts))
	for i := range children {
		part := hosts[i*len(hosts)/children : (i+1)*len(hosts)/children]
		pushes = append(pushes, sharedPush{to: part[0], subtree: part[1:]})
	}
	return pushes
}

// sharedSubtree passes what changed since base on to the hosts.
func sharedSubtree(base uint64, hosts []model.HostID) outbox {
	pushes := sharedTree(hosts)
	for i := range pushes {
		pushes[i].base = base
	}
	return outbox{shared: pushes}
}

// sendShared pushes the newest state, which may be newer than the one that
// caused the push.
func (a *Agent) sendShared(ctx context.Context, p sharedPush) {
	a.count(counterPushes, 1)
	state := a.sharedSince(p.base)
	state.Subtree = hostsToWire(p.subtree)
	if a.sendFeed(ctx, p.to, &wirepb.Envelope{Body: &wirepb.Envelope_SharedState{SharedState: state}}) != nil {
		a.perform(ctx, sharedSubtree(p.base, p.subtree))
	}
}

func (a *Agent) pullSharedFrom(ctx context.Context, peer model.HostID) {
	a.mu.Lock()
	have := a.shared.version
	a.mu.Unlock()
	a.pullShared(ctx, peer, have)
}

// pullShared asks for the whole state if what changed does not fit the state
// that is held here.
func (a *Agent) pullShared(ctx context.Context, peer model.HostID, have uint64) {
	a.count(counterPulls, 1)
	env := &wirepb.Envelope{Body: &wirepb.Envelope_SharedStatePull{SharedStatePull: &wirepb.SharedStatePull{HaveVersion: have}}}
	answer, err := a.callOnce(ctx, a.address(peer), exchangeTimeout, env)
	if err != nil || answer.GetSharedState() == nil {
		return
	}
	if !a.takeShared(answer.GetSharedState()) && have > 0 {
		a.pullShared(ctx, peer, 0)
	}
}

// takeSharedPush takes a push and passes it on. A host that lacks the base
// pulls before it does.
func (a *Agent) takeSharedPush(ctx context.Context, from model.HostID, s *wirepb.SharedState) {
	subtree := sharedSubtree(s.BaseVersion, hostsFromWire(s.Subtree))
	if a.takeShared(s) {
		a.perform(ctx, subtree)
		return
	}
	a.background(ctx, func() {
		a.pullSharedFrom(ctx, from)
		a.perform(ctx, subtree)
	})
}

// takeShared reports whether this host now holds the version or a later one.
func (a *Agent) takeShared(s *wirepb.SharedState) bool {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if s.Version <= a.shared.version {
		return true
	}
	if s.BaseVersion > a.shared.version || !a.applyShared(now, s) {
		return false
	}
	a.publish(now)
	return true
}

// applyShared puts a state in place of the current one unless the result is
// not what the sender has.
func (a *Agent) applyShared(now time.Time, s *wirepb.SharedState) bool {
	table, ok := a.shared.latencies.apply(now, s)
	if !ok {
		return false
	}
	a.shared.latencies = table
	a.shared.version, a.shared.leaving, a.shared.received = s.Version, s.LeavingServers, now
	return true
}

// sharedSince returns the state as a difference to an earlier version.
func (a *Agent) sharedSince(base uint64) *wirepb.SharedState {
	a.mu.Lock()
	defer a.mu.Unlock()
	state := a.shared.latencies.since(time.Now(), base)
	state.Version = a.shared.version
	state.LeavingServers = a.shared.leaving
	return state
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
