package agent

import (
	"context"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/wire"
	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// reportTimeout is four of the daemons' report intervals.
const reportTimeout = 2 * time.Second

// localDaemons holds the last report of each daemon of this host.
type localDaemons map[wirepb.Role]localReport

type localReport struct {
	report *wirepb.ReportLocal
	at     time.Time
}

// fresh returns the report of a daemon that still reports.
func (l localDaemons) fresh(role wirepb.Role, now time.Time) (*wirepb.ReportLocal, bool) {
	held, ok := l[role]
	return held.report, ok && now.Sub(held.at) < reportTimeout
}

// forgive leaves out a time in which this process was frozen and could not
// take reports.
func (l localDaemons) forgive(gap time.Duration) {
	for role, held := range l {
		held.at = held.at.Add(gap)
		l[role] = held
	}
}

func (a *Agent) takeReport(now time.Time, role wirepb.Role, report *wirepb.ReportLocal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.local[role] = localReport{report: report, at: now}
	a.updateSelf(now)
}

// updateSelf derives this host's record from the daemons' reports.
func (a *Agent) updateSelf(now time.Time) {
	entry, entryRuns := a.local.fresh(wirepb.Role_ROLE_ENTRY, now)
	lookup, lookupRuns := a.local.fresh(wirepb.Role_ROLE_LOOKUP, now)
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

// hostState is ready only while the entry daemon reports that it is.
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
		// The agent itself stays, so its host has not left yet.
		return model.HostStopping
	default:
		return model.HostStarting
	}
}

// entryHolds reports whether a leaving agent has to wait for its entry daemon:
// while that shuts down, and at first until it has said so. An entry daemon
// that stays ready outlives a restart of the agent alone.
func (a *Agent) entryHolds(waited time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	entry, runs := a.local.fresh(wirepb.Role_ROLE_ENTRY, time.Now())
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

// localInForce is the lowest generation that this host's daemons report.
func (a *Agent) localInForce(now time.Time) model.Generation {
	g := a.replica.Advertised()
	if entry, ok := a.local.fresh(wirepb.Role_ROLE_ENTRY, now); ok {
		g = min(g, model.Generation(entry.Generation))
	}
	if lookup, ok := a.local.fresh(wirepb.Role_ROLE_LOOKUP, now); ok && lookup.Generation > 0 {
		g = min(g, model.Generation(lookup.Generation))
	}
	return g
}

// publish gives local daemons a new state if something changed.
func (a *Agent) publish(now time.Time) {
	seen := seenVersions{a.members.Version(), a.replica.Advertised(), a.shared.version}
	if seen == a.seen {
		return
	}
	a.seen = seen
	state := &wirepb.LocalState{
		LeavingServers: a.shared.leaving,
		Latencies:      a.shared.latencies.measurements(now),
	}
	if seen.generation > 0 {
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

// serveWatch sends each new state to a local daemon. The document is left out
// while the daemon has it.
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
