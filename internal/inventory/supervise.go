package inventory

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/events"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// StoreLost reports whether the store has not responded to this host for a while.
func (r *Reader) StoreLost() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.health.isLost(r.now())
}

// mayCall reports whether this host may call the store for a collection that it
// holds as of a position. Calls wait for the response to a probe, which costs
// less, unless the host has not read the collection yet.
func (r *Reader) mayCall(asOf model.Position) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mayCallLocked(asOf)
}

// mayCallLocked is mayCall with the lock held.
func (r *Reader) mayCallLocked(asOf model.Position) bool {
	if asOf.IsZero() {
		return !r.health.isUnresponsive()
	}
	return r.health.hasRespondedRecently(r.now())
}

// nextProbeResponse returns a channel that is closed at the next response to a
// probe.
func (r *Reader) nextProbeResponse() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.probeResponded
}

// supervise checks the role of this host, and probes the store while this host
// reads it or until the store has recovered. It cancels the watches when the role
// ends or the store is lost, because a watch on a dead connection would wait
// forever.
func (r *Reader) supervise(ctx context.Context) {
	var calls sync.WaitGroup
	defer calls.Wait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		reading := r.role(r.now())
		r.applyRoleAndHealth(reading)
		if began, due := r.beginProbe(); due {
			calls.Go(func() { r.probe(ctx, began) })
		}
		for _, watch := range r.beginChecks() {
			calls.Go(func() { r.check(ctx, watch) })
		}
		timer.Reset(r.untilNextCheck())
	}
}

// applyRoleAndHealth cancels watches, logs and notifies peers when the role of
// this host or the health of the store changes.
func (r *Reader) applyRoleAndHealth(reading bool) {
	r.mu.Lock()
	now := r.now()
	r.health.checkProbeTimeout(now)
	lost := r.health.isLost(now)
	changed := lost != r.lost
	if !reading || changed && lost {
		r.watches.cancelAll()
	}
	r.logRole(reading)
	if changed && lost {
		r.log.Emit(events.StoreLost, events.Elapsed(now.Sub(r.health.failingSince())))
	}
	r.reading, r.lost = reading, lost
	r.mu.Unlock()
	if changed {
		r.onStoreLostChanged()
	}
}

// logRole is called with the lock held.
func (r *Reader) logRole(reading bool) {
	switch {
	case reading && !r.reading:
		r.log.Emit(events.StoreReaderBegan)
	case !reading && r.reading:
		r.log.Emit(events.StoreReaderEnded)
	}
}

// beginProbe records the start of a probe if one is due. Hosts that neither read
// the store nor have lost it don't probe it.
func (r *Reader) beginProbe() (began time.Time, due bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	at, ok := r.health.nextProbe()
	if !ok || now.Before(at) || !r.needsProbes() {
		return time.Time{}, false
	}
	r.health.recordProbeStart(now)
	return now, true
}

// needsProbes is called with the lock held.
func (r *Reader) needsProbes() bool { return r.reading || !r.health.failingSince().IsZero() }

func (r *Reader) untilNextCheck() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	next := now.Add(roleCheckInterval)
	if r.needsProbes() {
		next = r.health.nextCheck(next)
	}
	return next.Sub(now)
}

func (r *Reader) probe(ctx context.Context, began time.Time) {
	r.calls.Add(1)
	probeCtx, cancel := context.WithTimeout(ctx, maxProbeTimeout)
	at, err := r.source.Probe(probeCtx)
	cancel()
	if ctx.Err() != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	served := now // for a host that makes no calls, a probe is enough
	if r.reading {
		served = r.servedSince(now, began)
	}
	r.recordOutageEnd(r.health.recordProbeEnd(now, began, err, served))
	if err != nil {
		r.failures.Add(1)
		return
	}
	r.watches.observe(r.now(), at)
	close(r.probeResponded)
	r.probeResponded = make(chan struct{})
}

// servedSince returns since when a waiting watch has shown that the store serves calls, or
// zero. It shows nothing while the store lets calls wait without a response. It is called
// with the lock held.
func (r *Reader) servedSince(now, probed time.Time) time.Time {
	if r.health.callsHang {
		return time.Time{}
	}
	return r.watches.heldSince(now, probed, r.health.probeTimeout)
}

// recordOutageEnd records that the store has recovered if the outage was long
// enough to count as one. It is called with the lock held.
func (r *Reader) recordOutageEnd(ended outage) {
	if ended.length > minOutage {
		r.state.RecordStoreRecovery(ended.endedAt)
		r.log.Emit(events.StoreReached, events.Elapsed(ended.length))
	}
}

// RecordStoreRecovery records that the store has recovered for the hosts that
// read it.
func (r *Reader) RecordStoreRecovery() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.RecordStoreRecovery(r.now())
}

// beginChecks returns the watches for which the store is to be asked beside them.
func (r *Reader) beginChecks() []*waitingWatch {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.health.isUnresponsive() {
		return nil
	}
	return r.watches.beginChecks(r.now())
}

// check asks the store for the changes that a watch waits for. If there are any, the
// store has forgotten the watch.
func (r *Reader) check(ctx context.Context, watch *waitingWatch) {
	c, began := watch.collection, r.now()
	after := r.Mark(c).AsOf
	batch, err := r.source.Changes(ctx, c, after)
	gone := errors.Is(err, ErrHistoryGone)
	if gone {
		err = nil
	}
	served := r.recordCall(ctx, c, began, err)
	batch = r.inKnownEra(batch, after.Era)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watches.endCheck(r.now(), watch, !served)
	switch held := r.state.asOf[c]; {
	case !served || held.Era != after.Era:
	case gone:
		// The next watch gets the same response.
		watch.cancel()
	case batch.Position.Era == after.Era:
		if forgotten := batch.countAfter(held); forgotten > 0 {
			r.log.Emit(events.WatchForgotten, events.Subject(c.String()), events.Count(forgotten))
			watch.cancel()
		}
		r.applyRead(c, batch, false)
	}
}

// beginWatch registers the cancel function of a watch, for when the store is lost.
// It reports whether the watch may start: a peer may have sent the content of a later
// era.
func (r *Reader) beginWatch(c Collection, after model.Position, cancel context.CancelFunc) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.mayCallLocked(after) || r.needsListingLocked(c) || after.Era != r.state.asOf[c].Era {
		return false
	}
	r.watches.begin(r.now(), c, cancel)
	return true
}

func (r *Reader) endWatch(c Collection) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watches.end(c)
}
