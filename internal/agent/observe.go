package agent

import (
	"context"
	"errors"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/events"
	"github.com/wisteriacrank/wisteriacrank/internal/platform"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

// Counters of store operations, each with its retries, and of refused input.
const (
	counterStoreCalls    = "store_operations"
	counterStoreFailures = "store_operations_failed"
	counterInvalidInput  = "invalid_input"
)

// hostListStaleAfter is the time since the last read of the host list after which
// the failure to read it is logged. Leaving servers must get no new work after
// 3 s.
const hostListStaleAfter = 3 * time.Second

// outage describes the reachability of the store. The agent's mutex guards it.
type outage struct {
	// since is the time of the first failed call, zero if the last call succeeded.
	since time.Time
	// responded is the time of the last response.
	responded time.Time
	// hostListReadAt is the time of the last read of the host list, or of the first
	// failure if there was none.
	hostListReadAt time.Time
}

// recordStoreCall counts and logs the outcome of a call to the store and returns
// err. ErrNotFound and ErrConflict are responses of a working store, not failures.
func (a *Agent) recordStoreCall(err error) error {
	a.count(counterStoreCalls, 1)
	if errors.Is(err, context.Canceled) {
		return err
	}
	now := time.Now()
	failed := err != nil && !errors.Is(err, platform.ErrNotFound) && !errors.Is(err, platform.ErrConflict)
	a.mu.Lock()
	since := a.outage.since
	switch {
	case !failed:
		a.outage.since = time.Time{}
		a.outage.responded = now
	case since.IsZero():
		since = now
		a.outage.since = now
	}
	a.mu.Unlock()
	switch {
	case failed:
		a.count(counterStoreFailures, 1)
		a.log.Emit(events.StoreCallFailed, events.Reason(err), events.Elapsed(now.Sub(since)))
	case !since.IsZero():
		a.log.Emit(events.StoreReached, events.Elapsed(now.Sub(since)))
	}
	return err
}

// recordHostListRead records a read of the host list. It logs a failed read once
// the last successful one is older than hostListStaleAfter.
func (a *Agent) recordHostListRead(now time.Time, err error) {
	a.mu.Lock()
	last := a.outage.hostListReadAt
	if err == nil || last.IsZero() {
		a.outage.hostListReadAt = now
	}
	a.mu.Unlock()
	if age := now.Sub(last); err != nil && !last.IsZero() && age > hostListStaleAfter {
		a.log.Emit(events.HostListStale, events.Elapsed(age))
	}
}

// observedHosts holds the records that were last logged.
type observedHosts map[model.HostID]model.HostRecord

// observeMembers logs the differences from the records that were last logged.
// a.mu must be held.
func (a *Agent) observeMembers() {
	records := a.members.Records()
	logged := make(observedHosts, len(records))
	for _, r := range records {
		a.observeHost(a.observed[r.Host], r)
		logged[r.Host] = r
	}
	a.observed = logged
}

func (a *Agent) observeHost(old, r model.HostRecord) {
	host, region := events.Host(r.Host), events.Region(r.Region)
	if r.State == old.State && r.Incarnation == old.Incarnation {
		return
	}
	switch {
	case r.State == model.HostSuspect:
		a.log.Emit(events.HostSuspected, host, region)
	case r.State == model.HostDead:
		a.log.Emit(events.HostDead, host, region)
	default:
		if old.State == model.HostSuspect && old.Incarnation == r.Incarnation {
			a.log.Emit(events.SuspicionRefuted, host, events.Incarnation(r.Incarnation))
		}
		a.log.Emit(events.HostStateChanged, host, region, events.State(r.State), events.Incarnation(r.Incarnation))
	}
}

// configSource is the way by which a generation reached this host.
type configSource int

const (
	fromStore configSource = iota
	fromPush
	fromPull
)

// observeConfig logs a generation that came in force since the last call. a.mu
// must be held.
func (a *Agent) observeConfig(now time.Time, from configSource, peer model.HostID) {
	g := a.replica.Advertised()
	if g <= a.observedGeneration {
		return
	}
	first := a.observedGeneration == 0
	a.observedGeneration = g
	accepted := time.UnixMilli(a.replica.Current().Meta.AcceptedUnixMillis)
	a.log.Emit(events.ConfigInForce, events.Environment(a.settings.Host.Environment), events.Generation(g), events.Elapsed(now.Sub(accepted)))
	switch {
	case from == fromPull && first:
		a.log.Emit(events.ConfigFromPeers, events.Generation(g), events.Count(a.replica.RepliedPeers()))
	case from == fromPull:
		a.log.Emit(events.ConfigRepaired, events.Generation(g), events.Peer(string(peer)))
	}
}

// logRefusedConfig logs a stored generation whose object can't be decoded or
// parsed.
func (a *Agent) logRefusedConfig(g uint64, err error) {
	a.log.Emit(events.ConfigRefused, events.Environment(a.settings.Host.Environment), events.Generation(model.Generation(g)), events.Reason(err))
}

// InvalidInput implements wire.Counters. It logs no sender, because a refused
// greeting doesn't identify it reliably.
func (a *Agent) InvalidInput(code result.Code) {
	a.count(counterInvalidInput, 1)
	err := result.Errorf(code, "input of a peer")
	switch code {
	case result.BadGreeting:
		a.log.Emit(events.GreetingRefused, events.Reason(err))
	case result.UnknownMessage:
		a.log.Emit(events.MessageUnknown)
	case result.FrameTooLarge:
		a.log.Emit(events.FrameTooLarge)
	}
}
