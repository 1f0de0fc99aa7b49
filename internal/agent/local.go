package agent

import (
	"context"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/wire"
	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// reportTimeout is the age above which a report no longer counts: four of the
// daemons' report intervals.
const reportTimeout = 2 * time.Second

// localDaemons holds the last report of each daemon of this host.
type localDaemons map[wirepb.Role]localReport

type localReport struct {
	report *wirepb.ReportLocal
	at     time.Time
}

// fresh returns the last report of a daemon unless it is older than
// reportTimeout.
func (l localDaemons) fresh(role wirepb.Role, now time.Time) (*wirepb.ReportLocal, bool) {
	last, ok := l[role]
	return last.report, ok && now.Sub(last.at) < reportTimeout
}

// excludeFreeze excludes a time in which this process was frozen and couldn't
// receive reports from their ages.
func (l localDaemons) excludeFreeze(gap time.Duration) {
	for role, last := range l {
		last.at = last.at.Add(gap)
		l[role] = last
	}
}

func (a *Agent) acceptReport(now time.Time, role wirepb.Role, report *wirepb.ReportLocal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.daemons[role] = localReport{report: report, at: now}
	a.updateSelf(now)
}

// updateSelf derives this host's record from the daemons' reports.
func (a *Agent) updateSelf(now time.Time) {
	entry, entryRuns := a.daemons.fresh(wirepb.Role_ROLE_ENTRY, now)
	lookup, lookupRuns := a.daemons.fresh(wirepb.Role_ROLE_LOOKUP, now)
	a.members.Update(now, func(self *model.HostRecord) {
		if lookupRuns {
			self.LookupAddress = lookup.LookupAddress
		}
		if entryRuns {
			self.CallerAddress = entry.CallerAddress
			self.PeerAddress = entry.PeerAddress
			self.EntryIncarnation = model.Incarnation(entry.Incarnation)
		}
		if self.State != model.HostLeft {
			self.State = a.hostState(entry, entryRuns)
		}
	})
}

// hostState returns ready only if the entry daemon reports that it is ready and
// the replica is ready too.
func (a *Agent) hostState(entry *wirepb.ReportLocal, entryRuns bool) model.HostState {
	switch {
	case a.leaving:
		return model.HostStopping
	case !entryRuns:
		return model.HostStarting
	}
	switch state := model.HostState(entry.State); state {
	case model.HostReady:
		if !a.replica.Ready() {
			return model.HostStarting
		}
		return state
	case model.HostStopping, model.HostLeft:
		// The agent is still running, so its host hasn't left yet.
		return model.HostStopping
	default:
		return model.HostStarting
	}
}

// mustAwaitEntry reports whether a leaving agent has to wait for its entry daemon:
// while that shuts down, and up to reportTimeout for its report that it does. An
// entry daemon that stays ready keeps running while the agent alone restarts.
func (a *Agent) mustAwaitEntry(waited time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	entry, runs := a.daemons.fresh(wirepb.Role_ROLE_ENTRY, time.Now())
	if !runs {
		return false
	}
	switch model.HostState(entry.State) {
	case model.HostStopping:
		return true
	case model.HostLeft:
		return false
	default:
		return waited < reportTimeout
	}
}

// localInForce returns the lowest generation that the daemons of this host have
// in force.
func (a *Agent) localInForce(now time.Time) model.Generation {
	g := a.replica.Advertised()
	if entry, ok := a.daemons.fresh(wirepb.Role_ROLE_ENTRY, now); ok {
		g = min(g, model.Generation(entry.Generation))
	}
	if lookup, ok := a.daemons.fresh(wirepb.Role_ROLE_LOOKUP, now); ok && lookup.Generation > 0 {
		g = min(g, model.Generation(lookup.Generation))
	}
	return g
}

// publish makes a new state for the local daemons if something changed.
func (a *Agent) publish(now time.Time) {
	versions := publishedVersions{a.members.Version(), a.replica.Advertised(), a.shared.version}
	if versions == a.published {
		return
	}
	a.published = versions
	state := &wirepb.LocalState{
		LeavingServers: a.shared.leaving,
		Latencies:      a.shared.latencies.measurements(now),
	}
	if versions.generation > 0 {
		current := a.replica.Current()
		state.Generation = uint64(current.Generation)
		state.Document = current.Text
		state.Meta = metaToWire(current.Meta)
	}
	for _, record := range a.members.Records() {
		state.Hosts = append(state.Hosts, wire.RecordToWire(record))
	}
	a.state = state
	close(a.changed)
	a.changed = make(chan struct{})
}

// serveWatch sends each new state to a local daemon. It omits a document that the
// daemon already has.
func (a *Agent) serveWatch(ctx context.Context, stream *wire.Stream) {
	sent := uint64(0)
	for {
		a.mu.Lock()
		state, changed := a.state, a.changed
		a.mu.Unlock()
		if state.Generation == sent {
			state = &wirepb.LocalState{
				Generation:     state.Generation,
				Hosts:          state.Hosts,
				LeavingServers: state.LeavingServers,
				Latencies:      state.Latencies,
			}
		}
		sent = state.Generation
		if err := stream.Send(&wirepb.Envelope{Body: &wirepb.Envelope_LocalState{LocalState: state}}); err != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}
