package inventory

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	// probeInterval is how long a reader waits after the last response before it
	// probes the store: a pending watch doesn't show that the store responds.
	probeInterval = 400 * time.Millisecond
	// minProbeTimeout and maxProbeTimeout bound how long a probe may wait before
	// the store counts as lost. The interval, the timeout and the time until
	// another host replaces the reader add up to less than the 2 s within which a
	// change has to be applied.
	minProbeTimeout = 500 * time.Millisecond
	maxProbeTimeout = 2500 * time.Millisecond
	// probeTimeoutFactor is the probe timeout as a multiple of the latency of the
	// last probe that got a response.
	probeTimeoutFactor = 3
	// lostAfter is how long calls have to fail before the store counts as lost.
	lostAfter = 300 * time.Millisecond
	// maxPendingProbes bounds the probes that wait for a response.
	maxPendingProbes = 4
)

// storeHealth decides from the outcomes of calls and probes whether the store
// serves this host. It does no I/O and is not safe for concurrent use.
type storeHealth struct {
	// respondedAt is the time of the last response.
	respondedAt time.Time
	// callsFailingSince and probesFailingSince are the times of the first failure
	// in the current run of failed calls and of failed probes. A response to a call
	// clears both, a response to a probe only the latter, because probes may be
	// served from stale data.
	callsFailingSince  time.Time
	probesFailingSince time.Time
	// probesServedSince is the time of the first response in the current run of probes
	// that got one.
	probesServedSince time.Time
	// callFailedAt is the time of the last failed call; callsHang is true if one has
	// timed out since the last response to a call.
	callFailedAt time.Time
	callsHang    bool
	// pendingProbes are the start times of the probes that wait for a response,
	// the oldest first.
	pendingProbes []time.Time
	probeTimeout  time.Duration
	// nextRetryAt is when the store is probed again after a failed probe.
	nextRetryAt  time.Time
	retryBackoff *backoff.ExponentialBackOff
}

func newStoreHealth() *storeHealth {
	return &storeHealth{probeTimeout: minProbeTimeout, retryBackoff: newBackoff()}
}

// failingSince returns when the failures began, or zero.
func (h *storeHealth) failingSince() time.Time {
	if h.callsFailingSince.IsZero() || !h.probesFailingSince.IsZero() && h.probesFailingSince.Before(h.callsFailingSince) {
		return h.probesFailingSince
	}
	return h.callsFailingSince
}

// isLost reports whether calls or probes have failed for a while.
func (h *storeHealth) isLost(now time.Time) bool {
	since := h.failingSince()
	return !since.IsZero() && now.Sub(since) >= lostAfter
}

// isUnresponsive reports whether probes fail or time out.
func (h *storeHealth) isUnresponsive() bool { return !h.probesFailingSince.IsZero() }

// hasRespondedRecently reports whether the last response is recent enough that a
// call, which costs more than a probe, is worthwhile.
func (h *storeHealth) hasRespondedRecently(now time.Time) bool {
	return !h.isUnresponsive() && now.Sub(h.respondedAt) < probeInterval+h.probeTimeout
}

// outage is a time in which the store did not serve this host.
type outage struct {
	length  time.Duration
	endedAt time.Time
}

// recordResponse records a response to a call that began at that time. It returns the
// outage that has ended, if any. A watch may have waited for its response since the end
// of the outage, while probes were served.
func (h *storeHealth) recordResponse(now, began time.Time) (ended outage) {
	if since := h.failingSince(); !since.IsZero() {
		ended.endedAt = now
		if !h.probesServedSince.IsZero() {
			ended.endedAt = latest(began, h.probesServedSince, h.callFailedAt)
		}
		ended.length = ended.endedAt.Sub(since)
	}
	h.callsFailingSince, h.callsHang = time.Time{}, false
	h.recordServed(now)
	return ended
}

func latest(times ...time.Time) time.Time { return slices.MaxFunc(times, time.Time.Compare) }

// recordFailure records a failed call, and whether it timed out.
func (h *storeHealth) recordFailure(now time.Time, timedOut bool) {
	h.callFailedAt = now
	h.callsHang = h.callsHang || timedOut
	if h.callsFailingSince.IsZero() {
		h.callsFailingSince = now
	}
}

// recordServed records that the store responds.
func (h *storeHealth) recordServed(now time.Time) {
	h.respondedAt, h.probesFailingSince, h.nextRetryAt = now, time.Time{}, time.Time{}
	// The outcome of older probes that still wait no longer matters.
	h.pendingProbes = nil
	h.retryBackoff.Reset()
}

func (h *storeHealth) recordProbeStart(now time.Time) {
	h.pendingProbes = append(h.pendingProbes, now)
	h.nextRetryAt = now.Add(h.retryBackoff.NextBackOff() + rand.N(minRetryPause))
}

// recordProbeEnd records the end of the probe that began at that time. If the
// store has recovered, it returns the outage. served is the time from which on calls
// are known to be served, too, or zero.
func (h *storeHealth) recordProbeEnd(now, began time.Time, err error, served time.Time) (ended outage) {
	if err != nil {
		h.recordProbeFailure(now, began)
		return outage{}
	}
	h.probeTimeout = min(max(probeTimeoutFactor*now.Sub(began), minProbeTimeout), maxProbeTimeout)
	if h.probesServedSince.IsZero() {
		h.probesServedSince = now
	}
	switch {
	case h.callsFailingSince.IsZero():
		return h.recordResponse(now, now)
	case served.After(h.callFailedAt):
		return h.recordResponse(now, served)
	}
	h.recordServed(now)
	return outage{}
}

// recordProbesFailing records since when probes have failed.
func (h *storeHealth) recordProbesFailing(since time.Time) {
	h.probesFailingSince, h.probesServedSince = since, time.Time{}
}

func (h *storeHealth) recordProbeFailure(now, began time.Time) {
	for i, at := range h.pendingProbes {
		if at.Equal(began) {
			h.pendingProbes = append(h.pendingProbes[:i], h.pendingProbes[i+1:]...)
			if h.probesFailingSince.IsZero() {
				h.recordProbesFailing(now)
			}
			return
		}
	}
}

// checkProbeTimeout records a failure if the oldest probe has timed out.
func (h *storeHealth) checkProbeTimeout(now time.Time) {
	if len(h.pendingProbes) > 0 && h.probesFailingSince.IsZero() && now.Sub(h.pendingProbes[0]) >= h.probeTimeout {
		h.recordProbesFailing(h.pendingProbes[0])
	}
}

// nextProbe returns when a probe is due, and whether another one may start. While
// the store responds, one at a time is enough. After a failure several may run,
// because the failed one may only have used a dead connection.
func (h *storeHealth) nextProbe() (at time.Time, ok bool) {
	if h.isUnresponsive() {
		return h.nextRetryAt, len(h.pendingProbes) < maxPendingProbes
	}
	return h.respondedAt.Add(probeInterval), len(h.pendingProbes) == 0
}

// nextCheck returns when a probe is due or times out, but not later than latest.
func (h *storeHealth) nextCheck(latest time.Time) time.Time {
	times := []time.Time{latest}
	if at, ok := h.nextProbe(); ok {
		times = append(times, at)
	}
	if len(h.pendingProbes) > 0 && !h.isUnresponsive() {
		times = append(times, h.pendingProbes[0].Add(h.probeTimeout))
	}
	return slices.MinFunc(times, time.Time.Compare)
}
