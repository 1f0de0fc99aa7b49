package inventory

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/wisteriacrank/wisteriacrank/internal/events"
)

const (
	// firstRetry and maxRetry bound the jittered pause between failed calls.
	// One second keeps an outage cheap and a change within its bound of 2 s.
	firstRetry = 100 * time.Millisecond
	maxRetry   = time.Second
	// shortOutage is what a single failed call costs; longer ones let entries
	// of living servers lapse.
	shortOutage = 1200 * time.Millisecond
	// expireInterval is the step in which lapsed entries are removed.
	expireInterval = 200 * time.Millisecond
)

// Reader keeps a State up to date from a Source and publishes its views. It is
// safe for concurrent use.
type Reader struct {
	source Source
	log    *events.Log
	now    func() time.Time

	mu    sync.Mutex
	state *State
	// lostAt is when the first call failed of those that failed in a row.
	lostAt time.Time

	view     atomic.Pointer[View]
	onChange func(*View)
	calls    atomic.Int64
	failures atomic.Int64
}

// NewReader returns a reader. onChange is called with each new view, one call
// at a time.
func NewReader(source Source, decoder Decoder, log *events.Log, now func() time.Time, onChange func(*View)) *Reader {
	r := &Reader{source: source, log: log, now: now, onChange: onChange}
	r.state = NewState(decoder, r.skipped)
	r.view.Store(r.state.View())
	return r
}

func (r *Reader) skipped(c Collection, o Object, err error) {
	r.log.Emit(events.EntrySkipped, events.Subject(c.String()+"/"+o.Name), events.Reason(err))
}

// View returns the latest view.
func (r *Reader) View() *View { return r.view.Load() }

// Calls returns the calls to the store and how many of them failed.
func (r *Reader) Calls() (made, failed int64) { return r.calls.Load(), r.failures.Load() }

// Reachable reports whether the last call to the store succeeded.
func (r *Reader) Reachable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lostAt.IsZero()
}

// Run reads the store until the context ends.
func (r *Reader) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, c := range Collections {
		wg.Go(func() { r.follow(ctx, c) })
	}
	wg.Go(func() { r.expire(ctx) })
	wg.Wait()
}

func (r *Reader) expire(ctx context.Context) {
	tick := time.NewTicker(expireInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			r.mu.Lock()
			if r.state.Expire(r.now()) {
				r.publish()
			}
			r.mu.Unlock()
		}
	}
}

// follow lists a collection and watches it from there, again and again.
func (r *Reader) follow(ctx context.Context, c Collection) {
	pause := newPause()
	for ctx.Err() == nil {
		batch, err := r.source.List(ctx, c)
		if !r.note(ctx, c, err) {
			pause.wait(ctx)
			continue
		}
		pause.reset()
		r.apply(c, batch, r.state.Listing)
		r.watch(ctx, c, batch.Revision, pause)
	}
}

// watch returns when the history is gone.
func (r *Reader) watch(ctx context.Context, c Collection, after uint64, pause *pause) {
	for ctx.Err() == nil {
		batch, err := r.source.Watch(ctx, c, after)
		if errors.Is(err, ErrHistoryGone) {
			r.log.Emit(events.StoreHistoryGone, events.Subject(c.String()))
			r.note(ctx, c, nil)
			return
		}
		if !r.note(ctx, c, err) {
			pause.wait(ctx)
			continue
		}
		pause.reset()
		after = batch.Revision
		if len(batch.Objects) > 0 {
			r.apply(c, batch, r.state.Changes)
		}
	}
}

func (r *Reader) apply(c Collection, batch Batch, fold func(time.Time, Collection, Batch)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fold(r.now(), c, batch)
	r.publish()
}

// publish is called with the lock held.
func (r *Reader) publish() {
	view := r.state.View()
	r.view.Store(view)
	r.onChange(view)
}

// note counts a call and logs the loss and return of the store.
func (r *Reader) note(ctx context.Context, c Collection, err error) bool {
	r.calls.Add(1)
	if ctx.Err() != nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	if err != nil {
		r.failures.Add(1)
		if r.lostAt.IsZero() {
			r.lostAt = now
		}
		r.log.Emit(events.StoreCallFailed, events.Subject(c.String()), events.Reason(err), events.Elapsed(now.Sub(r.lostAt)))
		return false
	}
	if !r.lostAt.IsZero() {
		if outage := now.Sub(r.lostAt); outage > shortOutage {
			r.state.Regained(now)
			r.log.Emit(events.StoreReached, events.Elapsed(outage))
		}
		r.lostAt = time.Time{}
	}
	return true
}

// Snapshot returns all objects, for a peer.
func (r *Reader) Snapshot() map[Collection][]Object {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Snapshot()
}

// Adopt takes over what a peer holds. Nothing that this host knows in a later
// revision is replaced.
func (r *Reader) Adopt(snapshot map[Collection][]Object) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c, objects := range snapshot {
		r.state.Changes(r.now(), c, Batch{Objects: objects})
	}
	r.publish()
}

// pause waits between failed calls.
type pause struct{ policy *backoff.ExponentialBackOff }

func newPause() *pause {
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = firstRetry
	policy.MaxInterval = maxRetry
	return &pause{policy: policy}
}

func (p *pause) reset() { p.policy.Reset() }

func (p *pause) wait(ctx context.Context) {
	timer := time.NewTimer(p.policy.NextBackOff() + rand.N(firstRetry))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
