package host

import (
	"errors"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/callers"
	"github.com/wisteriacrank/wisteriacrank/internal/events"
	"github.com/wisteriacrank/wisteriacrank/pkg/drain"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// lookupDrainTime is the time after a stop signal until no caller uses this host
// any more: the longest use of a cached lookup, plus a margin.
const lookupDrainTime = 3*lookupTTL + 300*time.Millisecond

// settleTime is how long a stop waits at the end of the grace period for responses
// that have arrived: the process may have been suspended until now.
const settleTime = 50 * time.Millisecond

// errHostStopped ends the requests that have no response when the grace period of a
// shutdown ends.
var errHostStopped = errors.New("the host was stopped")

// stop drains the callers. Requests that might not complete in the grace period are
// refused from the stop signal on, and every accepted request gets a response.
func (h *Host) stop(lookups *callers.Server) {
	plan := drain.PlanShutdown(time.Now(), h.bounds().Grace, lookupDrainTime)
	h.Log.Emit(events.DaemonStopping, events.Host(model.HostID(h.Settings.ID)))
	h.stopping.Store(true)
	h.entry.Drain()
	h.announce()
	h.refuseLongRequests(plan.RespondBy)
	time.Sleep(time.Until(plan.AcceptUntil))
	lookups.CloseIdle()
	h.entry.CloseIdle()
	if !h.entry.Wait(time.Until(plan.RespondBy)) && !h.entry.Wait(settleTime) {
		h.logUnfinished(plan.Began)
		h.inFlight.cancelAll(errHostStopped)
		h.entry.RefuseUnread()
		h.entry.Wait(time.Until(plan.ExitBy))
	}
	lookups.Wait(time.Until(plan.ExitBy))
}

// refuseLongRequests refuses the requests that might not complete before the given
// time: those that wait now, and those that arrive later.
func (h *Host) refuseLongRequests(respondBy time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.deliver(h.scheduler.Stop(time.Now(), respondBy))
}

// stoppingRetryAfter returns the delay after which a caller should send a request
// again that this host refuses because it stops: none, unless other hosts that the
// caller's cached lookup names stop, too.
func (h *Host) stoppingRetryAfter() time.Duration {
	h.rosterMu.Lock()
	defer h.rosterMu.Unlock()
	if h.roster.PeersLeaving(time.Now()) {
		return lookupTTL
	}
	return 0
}

// logUnfinished logs the requests that have no response at the end of the stop, which
// began at the given time.
func (h *Host) logUnfinished(began time.Time) {
	left := h.inFlight.all()
	for _, f := range left {
		h.Log.Emit(events.RequestUnfinished, events.Host(model.HostID(h.Settings.ID)), events.Request(f.id),
			events.Server(model.ServerID(f.server)), events.Elapsed(time.Since(f.received)), events.Reason(arrivalReason(f.received.Sub(began))))
	}
	h.Log.Emit(events.RequestsUnfinished, events.Host(model.HostID(h.Settings.ID)), events.Count(len(left)))
}

// arrivalReason says when a request arrived, from the time since the stop signal.
func arrivalReason(after time.Duration) error {
	if after < 0 {
		return errors.New("arrived " + (-after).String() + " before the stop signal")
	}
	return errors.New("arrived " + after.String() + " after the stop signal")
}
