package host

import (
	"errors"
	"net"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/events"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

const (
	// lookupDrainTime is the time after a stop signal until no caller uses this
	// host any more: the longest use of a cached lookup, plus a margin.
	lookupDrainTime = 3*lookupTTL + 300*time.Millisecond
	// stopMargin is the part of the grace period that is left unused before the
	// process is killed.
	stopMargin = 700 * time.Millisecond
)

// stop drains the callers and completes the requests that they have sent.
func (h *Host) stop(entry net.Listener) {
	began := time.Now()
	h.Log.Emit(events.DaemonStopping, events.Host(model.HostID(h.Settings.ID)))
	h.stopping.Store(true)
	h.entry.Drain()
	h.announce()
	limit := h.bounds().Grace - stopMargin
	time.Sleep(min(lookupDrainTime, limit/2+limit/10))
	_ = entry.Close()
	h.entry.CloseIdle()
	if !h.entry.Wait(limit - time.Since(began)) {
		h.logUnfinished(began)
	}
}

// logUnfinished logs the requests that the stop, which began at the given time,
// leaves without a response.
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
