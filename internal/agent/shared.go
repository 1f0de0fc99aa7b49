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
	// pollInterval allows for two polls within the 3 s after which a leaving backend
	// server must get no new work.
	pollInterval = time.Second
	// latencyInterval is longer than pollInterval, because the platform's
	// measurements lag anyway.
	latencyInterval = 5 * time.Second
	// blocksPerSecond bounds the CPU time of reading many measurements: 160,000 are
	// read every 20 s, which takes under 2.4% of a core.
	blocksPerSecond = 8000
	// sharedRefresh is the age at which unchanged shared state is sent again, so that
	// agents can distinguish unchanged measurements from stopped ones.
	sharedRefresh = 10 * time.Second
	// standbyAfter is the age of the shared state from which the second host of the
	// region polls too, because the first one may not reach the platform.
	standbyAfter = 15 * time.Second
	// sharedFanout is the number of children of a host in the feed tree of shared
	// state, to each of which it sends every change.
	sharedFanout = 3
	// maxChanges bounds the changed measurements that are forwarded per
	// latencyInterval. With 10 bytes each and the names of a region of 250 hosts, the
	// first host of the tree sends less than 3 KB/s.
	maxChanges = 256
	// bulkInterval is the shortest time between two reads that are forwarded without
	// the limit of maxChanges.
	bulkInterval = time.Hour
	// bulkChanges is the number of changes above which a read may be forwarded
	// without the limit, because several reads would be needed with it.
	bulkChanges = 16 * maxChanges
)

// sharedState is the state that one agent of the region reads from the platform
// for all agents of the region.
type sharedState struct {
	version   uint64
	leaving   []string
	latencies *latencyTable
	received  time.Time
	// lastBulk is the time of the last read whose changes were forwarded without the
	// limit of maxChanges.
	lastBulk time.Time
}

// sharedPush is a push of the shared state to a host that forwards it to subtree.
type sharedPush struct {
	to      model.HostID
	subtree []model.HostID
	// base is the version that the receivers should have.
	base uint64
}

// regionHosts returns the live hosts of this region in the order in which they
// poll: the first one does, the others are standbys.
func (a *Agent) regionHosts() []model.HostID {
	var names []string
	for _, r := range a.members.Live() {
		if r.Region == a.settings.Host.Region {
			names = append(names, string(r.Host))
		}
	}
	return hostsFromWire(rendezvous.Rank("poll/"+string(a.settings.Host.Region), names))
}

// isPoller reports whether this host polls the platform at now.
func (a *Agent) isPoller(now time.Time) bool {
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

// pollLoop polls host list and measurements for the region.
func (a *Agent) pollLoop(ctx context.Context) {
	policy := storeBackoff()
	var nextLatencies time.Time
	for ; ctx.Err() == nil; sleep(ctx, pollInterval) {
		now := time.Now()
		if !a.isPoller(now) {
			continue
		}
		var read pollRead
		if !now.Before(nextLatencies) {
			if measured, err := a.platform.Latencies(ctx); a.recordStoreCall(err) == nil {
				read.latencies, read.measured = measured, true
				nextLatencies = now.Add(readInterval(len(measured)))
			}
		}
		machines, err := a.platform.Machines(ctx)
		a.recordHostListRead(time.Now(), err)
		if a.recordStoreCall(err) != nil {
			sleep(ctx, policy.NextBackOff())
			continue
		}
		policy.Reset()
		read.leaving = leavingNames(machines)
		a.perform(ctx, a.applyPoll(time.Now(), read))
	}
}

// readInterval returns the time between two reads of the given number of
// measurements.
func readInterval(measured int) time.Duration {
	return max(latencyInterval, time.Duration(measured)*time.Second/blocksPerSecond)
}

// pollRead is the result of one poll. The measurements are read less often than
// the host list.
type pollRead struct {
	leaving   []string
	measured  bool
	latencies []platform.Latency
}

// applyPoll applies the result of a poll and returns the pushes of a state that
// changed or is older than sharedRefresh.
func (a *Agent) applyPoll(now time.Time, read pollRead) outbox {
	a.mu.Lock()
	defer a.mu.Unlock()
	version := uint64(now.UnixNano())
	changed := !slices.Equal(a.shared.leaving, read.leaving)
	if read.measured {
		changed = a.updateLatencies(now, version, read.latencies) || changed
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

// updateLatencies applies a read of the measurements and reports whether there are
// changes to forward.
func (a *Agent) updateLatencies(now time.Time, version uint64, read []platform.Latency) bool {
	changes := a.shared.latencies.compare(now, read)
	limit := int(maxChanges * readInterval(len(read)) / latencyInterval)
	if len(changes) > bulkChanges && now.Sub(a.shared.lastBulk) >= bulkInterval {
		limit = len(changes)
		a.shared.lastBulk = now
	}
	changes = changes[:min(limit, len(changes))]
	a.shared.latencies.update(version, changes)
	return len(changes) > 0
}

// sharedTree splits the hosts into at most sharedFanout subtrees of similar size.
func sharedTree(hosts []model.HostID) []sharedPush {
	var pushes []sharedPush
	children := min(sharedFanout, len(hosts))
	for i := range children {
		part := hosts[i*len(hosts)/children : (i+1)*len(hosts)/children]
		pushes = append(pushes, sharedPush{to: part[0], subtree: part[1:]})
	}
	return pushes
}

// sharedSubtree returns the pushes that send the changes since base to the hosts.
func sharedSubtree(base uint64, hosts []model.HostID) outbox {
	pushes := sharedTree(hosts)
	for i := range pushes {
		pushes[i].base = base
	}
	return outbox{shared: pushes}
}

// sendShared pushes the newest state, which may be newer than the one that caused
// the push. If the push fails, it pushes to the subtree itself.
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

// pullShared pulls the changes since version have. It pulls the whole state if
// they can't be applied to the current one.
func (a *Agent) pullShared(ctx context.Context, peer model.HostID, have uint64) {
	a.count(counterPulls, 1)
	env := &wirepb.Envelope{Body: &wirepb.Envelope_SharedStatePull{SharedStatePull: &wirepb.SharedStatePull{HaveVersion: have}}}
	reply, err := a.callOnce(ctx, a.address(peer), exchangeTimeout, env)
	if err != nil || reply.GetSharedState() == nil {
		return
	}
	if !a.applyShared(reply.GetSharedState()) && have > 0 {
		a.pullShared(ctx, peer, 0)
	}
}

// acceptSharedPush applies a push and forwards it to the subtree. If it can't be
// applied, the host pulls from the sender before it forwards.
func (a *Agent) acceptSharedPush(ctx context.Context, from model.HostID, s *wirepb.SharedState) {
	subtree := sharedSubtree(s.BaseVersion, hostsFromWire(s.Subtree))
	if a.applyShared(s) {
		a.perform(ctx, subtree)
		return
	}
	a.background(ctx, func() {
		a.pullSharedFrom(ctx, from)
		a.perform(ctx, subtree)
	})
}

// applyShared applies a state unless this host has that version or a later one.
// It returns false if the state can't be applied.
func (a *Agent) applyShared(s *wirepb.SharedState) bool {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if s.Version <= a.shared.version {
		return true
	}
	if s.BaseVersion > a.shared.version || !a.replaceShared(now, s) {
		return false
	}
	a.publish(now)
	return true
}

// replaceShared replaces the current state by the one that results from s. It
// returns false if the result differs from the sender's.
func (a *Agent) replaceShared(now time.Time, s *wirepb.SharedState) bool {
	table, ok := a.shared.latencies.apply(now, s)
	if !ok {
		return false
	}
	a.shared.latencies = table
	a.shared.version, a.shared.leaving, a.shared.received = s.Version, s.LeavingServers, now
	return true
}

// sharedSince returns the shared state as the difference from version base.
func (a *Agent) sharedSince(base uint64) *wirepb.SharedState {
	a.mu.Lock()
	defer a.mu.Unlock()
	state := a.shared.latencies.changesSince(time.Now(), base)
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
