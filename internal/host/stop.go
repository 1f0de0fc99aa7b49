package host

import (
	"errors"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/callers"
	"github.com/wisteriacrank/wisteriacrank/internal/events"
	"github.com/wisteriacrank/wisteriacrank/pkg/drain"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// lookupUse is how long callers may use a lookup: some keep it three times as long as
// its lifetime.
const lookupUse = 3 * lookupTTL

// settleTime is how long a stop waits at the end of the grace period for responses
// that have arrived: the process may have been suspended until now.
const settleTime = 50 * time.Millisecond

// maxLeavingShare is the share of the other hosts of the region that may be leaving
// while callers of this one are sent on at once.
const maxLeavingShare = 0.25

// errHostStopped ends the requests that have no response when the grace period of a
// shutdown ends.
var errHostStopped = errors.New("the host was stopped")

// stop drains the callers. Requests that might not complete in the grace period are
// refused from the stop signal on, and every accepted request gets a response.
func (h *Host) stop(lookups *callers.Server) {
	plan := drain.PlanShutdown(time.Now(), h.bounds().Grace, lookupUse)
	h.Log.Emit(events.DaemonStopping, events.Host(model.HostID(h.Settings.ID)))
	h.stopping.Store(true)
	h.entry.Drain()
	h.announce()
	h.refuseLongRequests(plan)
	time.Sleep(time.Until(plan.AcceptUntil))
	h.entry.CloseIdle()
	drained := h.entry.Wait(time.Until(plan.RespondBy)) || h.entry.Wait(settleTime)
	lookups.CloseIdle()
	if !drained {
		h.logUnfinished(plan.Began)
		h.inFlight.cancelAll(errHostStopped)
		h.entry.RefuseUnread()
		h.entry.Wait(time.Until(plan.ExitBy))
	}
	lookups.Wait(time.Until(plan.ExitBy))
}

// refuseLongRequests refuses the requests that might not complete in the shutdown:
// those that wait now, and those that arrive later.
func (h *Host) refuseLongRequests(plan drain.Shutdown) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.deliver(h.scheduler.Stop(time.Now(), plan.LateFrom, plan.RespondBy))
}

// stoppingRetryAfter returns the delay after which a caller should send a request
// again that this host refuses because it stops: none, unless so many hosts of the
// region stop that the caller's cached lookup may well name another one of them.
func (h *Host) stoppingRetryAfter() time.Duration {
	h.rosterMu.Lock()
	defer h.rosterMu.Unlock()
	if h.roster.LeavingShare(time.Now()) > maxLeavingShare {
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
	if len(left) > 0 {
		h.Log.Emit(events.RequestsUnfinished, events.Host(model.HostID(h.Settings.ID)), events.Count(len(left)))
	}
}

// arrivalReason says when a request arrived, from the time since the stop signal.
func arrivalReason(after time.Duration) error {
	if after < 0 {
		return errors.New("arrived " + (-after).String() + " before the stop signal")
	}
	return errors.New("arrived " + after.String() + " after the stop signal")
}
