package inventory

import (
	"context"
	"sync"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/events"
)

// StoreLost reports whether the store has not answered this host for a while.
func (r *Reader) StoreLost() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.path.isLost(r.now())
}

// mayCall reports whether this host may call the store for a collection that it
// holds for revision asOf. Calls wait for the answer to a probe, which costs less,
// unless the host knows nothing yet.
func (r *Reader) mayCall(asOf uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isWorthACall(asOf)
}

// isWorthACall is mayCall with the lock held.
func (r *Reader) isWorthACall(asOf uint64) bool {
	if asOf == 0 {
		return !r.path.isSilent()
	}
	return r.path.isProven(r.now())
}

// pathProven returns a channel that is closed when the next probe is answered.
func (r *Reader) pathProven() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.proven
}

// supervise follows the role of this host, and proves by probes that the store
// serves it while it reads, or until it is back. Watches end when the role ends
// or the store is lost: one that has met a dead connection would wait for good.
func (r *Reader) supervise(ctx context.Context) {
	var probes sync.WaitGroup
	defer probes.Wait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		reading := r.role(r.now())
		r.settle(reading)
		if began, due := r.beginProbe(); due {
			probes.Go(func() { r.probe(ctx, began) })
		}
		timer.Reset(r.untilNextStep())
	}
}

// settle brings watches, log and peers in line with the role and the path.
func (r *Reader) settle(reading bool) {
	r.mu.Lock()
	now := r.now()
	r.path.check(now)
	lost := r.path.isLost(now)
	changed := lost != r.lost
	if !reading || changed && lost {
		r.cancelWatches()
	}
	r.logRole(reading)
	if changed && lost {
		r.log.Emit(events.StoreLost, events.Elapsed(now.Sub(r.path.lostSince())))
	}
	r.reading, r.lost = reading, lost
	r.mu.Unlock()
	if changed {
		r.onLost()
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

// beginProbe notes a probe if one is due. Hosts that neither read the store nor
// have lost it need no proof.
func (r *Reader) beginProbe() (began time.Time, due bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	at, ok := r.path.nextProbe()
	if !ok || now.Before(at) || !r.needsProof() {
		return time.Time{}, false
	}
	r.path.probeBegan(now)
	return now, true
}

// needsProof is called with the lock held.
func (r *Reader) needsProof() bool { return r.reading || !r.path.lostSince().IsZero() }

func (r *Reader) untilNextStep() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	next := now.Add(roleInterval)
	if r.needsProof() {
		next = r.path.nextStep(next)
	}
	return next.Sub(now)
}

func (r *Reader) probe(ctx context.Context, began time.Time) {
	r.calls.Add(1)
	limited, cancel := context.WithTimeout(ctx, maxPatience)
	err := r.source.Probe(limited)
	cancel()
	if ctx.Err() != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.back(r.path.probeEnded(r.now(), began, err, r.reading))
	if err != nil {
		r.failures.Add(1)
		return
	}
	close(r.proven)
	r.proven = make(chan struct{})
}

// back notes that the store is back after an outage. It is called with the lock
// held.
func (r *Reader) back(outage time.Duration) {
	if outage > shortOutage {
		r.state.RecordStoreRecovery(r.now())
		r.log.Emit(events.StoreReached, events.Elapsed(outage))
	}
}

// RecordStoreRecovery notes that the store is back for the hosts that read it.
func (r *Reader) RecordStoreRecovery() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.RecordStoreRecovery(r.now())
}

// cancelWatches is called with the lock held.
func (r *Reader) cancelWatches() {
	for _, cancel := range r.cancelWatch {
		cancel()
	}
}

// beginWatch registers a watch, to be ended when the store is lost. It reports
// whether the watch may be made.
func (r *Reader) beginWatch(c Collection, after uint64, cancel context.CancelFunc) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isWorthACall(after) {
		return false
	}
	r.cancelWatch[c] = cancel
	return true
}
