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
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

const (
	// minRetryPause and maxRetryPause bound the jittered pause between failed
	// calls. One second limits the calls of an outage and still lets a change be
	// read within its bound of 2 s.
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = time.Second
	// minOutage is the length above which a loss of the store counts as an outage,
	// during which entries of live servers may expire. A single failed call and
	// the pause before its retry stay below it.
	minOutage = 1200 * time.Millisecond
	// roleCheckInterval is the interval at which a host checks whether it is to
	// read the store and whether the store serves it; it bounds how late a reader
	// starts.
	roleCheckInterval = 200 * time.Millisecond
	// serverBatchInterval is the time between an update of the servers and the
	// next watch, so that one call returns changes that are made together: each
	// change costs a call of every reader. A drain has to take effect within 2 s.
	serverBatchInterval = 150 * time.Millisecond
	// expireInterval is the interval at which lapsed entries are removed.
	expireInterval = 400 * time.Millisecond
)

// Role reports whether this host reads the store itself. Otherwise it applies what
// its peers have read.
type Role func(now time.Time) bool

// Change is what one call to the store, or one reply of a peer, changed.
type Change struct {
	Collection Collection
	// Before and After identify the content before and after the change.
	Before, After Mark
	Objects       []Object
}

// IsDelta reports whether the change can be applied by a host that holds the
// content before it. The first listing that a host reads is no delta.
func (c Change) IsDelta() bool { return c.Before != Mark{} }

// Reader keeps a State up to date from a Source or from peers, and publishes
// its views. It is safe for concurrent use.
type Reader struct {
	source Source
	log    *events.Log
	now    func() time.Time
	role   Role

	mu    sync.Mutex
	state *State
	// confirmedAt is when a collection was last confirmed to be up to date.
	confirmedAt map[Collection]time.Time
	// health decides whether the store serves this host.
	health *storeHealth
	// probeResponded is closed, and replaced, at each response to a probe.
	probeResponded chan struct{}
	// reading and lost are the role and whether the store was lost at the last
	// check of supervise.
	reading, lost bool
	watches       watches
	eras          eras
	// relist are the collections whose history the store may have dropped; requested those
	// that are to be listed whether this host reads the store or not.
	relist, requested map[Collection]bool

	view               atomic.Pointer[View]
	onView             func(*View)
	onChange           func(Change)
	onStoreLostChanged func()
	calls              atomic.Int64
	failures           atomic.Int64
}

// Callbacks of a Reader. View and Change are called one at a time, in the order of
// the changes and with the reader locked; StoreLostChanged without the lock.
type Callbacks struct {
	// View is called with each new view.
	View func(*View)
	// Change is called with each change that this host has read from the store, to
	// forward it to peers.
	Change func(Change)
	// StoreLostChanged is called when the result of Reader.StoreLost changes.
	StoreLostChanged func()
}

// NewReader returns a reader that is not running yet.
func NewReader(source Source, decoder Decoder, log *events.Log, now func() time.Time, role Role, on Callbacks) *Reader {
	r := &Reader{
		source: source, log: log, now: now, role: role,
		onView: on.View, onChange: on.Change, onStoreLostChanged: on.StoreLostChanged,
		health:         newStoreHealth(),
		probeResponded: make(chan struct{}),
		watches:        newWatches(),
		confirmedAt:    make(map[Collection]time.Time),
		relist:         make(map[Collection]bool),
		requested:      make(map[Collection]bool),
	}
	r.state = NewState(decoder, r.logSkippedEntry)
	r.view.Store(r.state.View())
	return r
}

func (r *Reader) logSkippedEntry(c Collection, o Object, err error) {
	r.log.Emit(events.EntrySkipped, events.Subject(c.String()+"/"+o.Name), events.Reason(err))
}

// View returns the latest view.
func (r *Reader) View() *View { return r.view.Load() }

// Calls returns the number of calls to the store and how many of them failed.
func (r *Reader) Calls() (made, failed int64) { return r.calls.Load(), r.failures.Load() }

// Mark returns the mark of a collection.
func (r *Reader) Mark(c Collection) Mark {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Mark(c)
}

// Run reads the store until ctx is done.
func (r *Reader) Run(ctx context.Context) {
	r.source.OnEra(r.observeEra)
	var wg sync.WaitGroup
	for _, c := range WatchedCollections {
		wg.Go(func() { r.keepRunning(ctx, c.String(), func() { r.readCollection(ctx, c) }) })
	}
	wg.Go(func() { r.keepRunning(ctx, "expiry", func() { r.runExpiry(ctx) }) })
	wg.Go(func() { r.keepRunning(ctx, "supervision", func() { r.supervise(ctx) }) })
	wg.Wait()
}

// keepRunning runs a loop until ctx ends, and starts it again after a panic.
func (r *Reader) keepRunning(ctx context.Context, subject string, loop func()) {
	for ctx.Err() == nil {
		func() {
			defer r.log.RecoverPanic(subject)
			loop()
		}()
		sleep(ctx, maxRetryPause)
	}
}

func (r *Reader) runExpiry(ctx context.Context) {
	tick := time.NewTicker(expireInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			r.expireLapsed()
		}
	}
}

func (r *Reader) expireLapsed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state.Expire(r.now()) {
		r.publish("")
	}
}

// readCollection lists and watches a collection while it is this host's role to
// read the store, and once in any case if the collection was never read.
func (r *Reader) readCollection(ctx context.Context, c Collection) {
	pause := newPause()
	for ctx.Err() == nil {
		after, responded := r.Mark(c).AsOf, r.nextProbeResponse()
		requested := r.isListingRequested(c)
		if !after.IsZero() && !requested && !r.role(r.now()) {
			sleep(ctx, roleCheckInterval)
			continue
		}
		// A host that does not read the store does not probe it.
		if !r.mayCall(after) && !(requested && r.mayCall(model.Position{})) {
			waitFor(ctx, responded, roleCheckInterval)
			continue
		}
		if r.needsListing(c) {
			era, began := r.Era(), r.now()
			batch, err := r.source.List(ctx, c)
			if !r.recordCall(ctx, c, began, err) {
				pause.wait(ctx)
				continue
			}
			batch = r.inKnownEra(batch, era)
			if batch.Position.Before(after) {
				batch = r.inInferredEra(batch)
			}
			if batch.Position.Era < r.Era() {
				// The store has changed its era since it responded.
				pause.wait(ctx)
				continue
			}
			r.applyListed(c, batch)
			after = batch.Position
		}
		pause.reset()
		if r.watch(ctx, c, after, pause) {
			r.relistAll(c)
		}
	}
}

// needsListing reports whether a collection has to be listed before it is watched.
func (r *Reader) needsListing(c Collection) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.needsListingLocked(c)
}

// needsListingLocked is needsListing with the lock held.
func (r *Reader) needsListingLocked(c Collection) bool {
	asOf := r.state.asOf[c]
	return asOf.IsZero() || asOf.Era < r.eras.known || r.relist[c] || r.requested[c]
}

// RequestListing has a collection listed once by a host that does not read the store.
func (r *Reader) RequestListing(c Collection) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requested[c] = !r.reading
}

func (r *Reader) isListingRequested(c Collection) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.requested[c]
}

// relistAll has all collections listed again: a store that has dropped its
// history may have dropped every watch without ending the calls.
func (r *Reader) relistAll(except Collection) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range WatchedCollections {
		r.relist[c] = true
		if c != except {
			r.watches.cancel(c)
		}
	}
}

// watch watches a collection until the role of this host ends, the store is
// lost or in a later era, or its history is gone.
func (r *Reader) watch(ctx context.Context, c Collection, after model.Position, pause *pause) (historyGone bool) {
	for ctx.Err() == nil && r.role(r.now()) {
		watchCtx, cancel := context.WithCancel(ctx)
		if !r.beginWatch(c, after, cancel) {
			cancel()
			return false
		}
		began := r.now()
		batch, err := r.source.Watch(watchCtx, c, after)
		interrupted := watchCtx.Err() != nil
		cancel()
		r.endWatch(c)
		if interrupted {
			return false
		}
		if errors.Is(err, ErrHistoryGone) {
			r.log.Emit(events.StoreHistoryGone, events.Subject(c.String()))
			r.recordCall(ctx, c, began, nil)
			return true
		}
		if !r.recordCall(ctx, c, began, err) {
			pause.wait(ctx)
			continue
		}
		batch = r.inKnownEra(batch, after.Era)
		if batch.Position.Era != after.Era {
			// The changes of the new era before this watch are not among them, or the
			// response is one of an earlier era.
			pause.wait(ctx)
			continue
		}
		pause.reset()
		r.applyChanges(c, batch)
		after = batch.Position
		if c == Servers && len(batch.Objects) > 0 {
			sleep(ctx, serverBatchInterval)
		}
	}
	return false
}

// applyListed applies a listing of the store.
func (r *Reader) applyListed(c Collection, batch Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.relist, c)
	delete(r.requested, c)
	r.applyRead(c, batch, true)
}

// applyChanges applies what a watch has returned.
func (r *Reader) applyChanges(c Collection, batch Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applyRead(c, batch, false)
}

// applyRead applies what was read from the store, and forwards the change. It is called
// with the lock held.
func (r *Reader) applyRead(c Collection, batch Batch, whole bool) {
	r.watches.observe(r.now(), batch.Position)
	r.log.Emit(events.StoreRead, events.Subject(c.String()), events.Count(len(batch.Objects)), events.Generation(model.Generation(batch.Position.Revision)))
	if change, changed := r.apply(c, batch, whole, ""); changed {
		r.onChange(change)
	}
}

// apply applies a listing of the whole collection, or changes, and publishes the
// view if that changed it. It is called with the lock held.
func (r *Reader) apply(c Collection, batch Batch, whole bool, sender string) (change Change, changed bool) {
	now := r.now()
	change = Change{Collection: c, Before: r.state.Mark(c), Objects: batch.Objects}
	r.confirmedAt[c] = now
	if whole {
		change.Objects = r.state.Diff(c, batch)
		r.state.ApplyListing(now, c, batch)
	} else {
		r.state.ApplyChanges(now, c, batch)
	}
	change.After = r.state.Mark(c)
	if change.After.SameContent(change.Before) {
		return change, false
	}
	r.logEra(change, sender)
	r.publish(sender)
	return change, true
}

// ApplyListing replaces a collection with the listing of a peer. It reports what
// that changed.
func (r *Reader) ApplyListing(c Collection, batch Batch, sender string) (change Change, changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change, changed = r.apply(c, batch, true, sender)
	if changed {
		// The store may have dropped the watch, since it didn't return this change.
		r.watches.cancel(c)
	}
	return change, changed
}

// ApplyChange applies a change that a peer has read. It reports whether this host
// holds the content that the change applies to.
func (r *Reader) ApplyChange(change Change, sender string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := change.Collection
	current := r.state.Mark(c)
	if !current.SameContent(change.Before) || current.AsOf.IsZero() || change.After.AsOf.Before(current.AsOf) {
		return false
	}
	r.apply(c, Batch{Objects: change.Objects, Position: change.After.AsOf}, false, sender)
	return true
}

// Confirm records that a peer holds the same content for a later position.
func (r *Reader) Confirm(c Collection, asOf model.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if held := r.state.asOf[c]; !held.IsZero() && held.Era == asOf.Era {
		r.confirmedAt[c] = r.now()
		r.state.confirm(c, asOf)
	}
}

// Age returns the time since a collection was last confirmed to be up to date, or
// 0 if it was never read.
func (r *Reader) Age(c Collection) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at, ok := r.confirmedAt[c]; ok {
		return r.now().Sub(at)
	}
	return 0
}

// Snapshot returns a collection, for a peer.
func (r *Reader) Snapshot(c Collection) Batch {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Snapshot(c)
}

// publish is called with the lock held.
func (r *Reader) publish(sender string) {
	view := r.state.View()
	view.Sender = sender
	r.view.Store(view)
	r.onView(view)
}

func sleep(ctx context.Context, d time.Duration) { waitFor(ctx, nil, d) }

// waitFor waits until the channel is closed, at most for d.
func waitFor(ctx context.Context, event <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-event:
	case <-timer.C:
	}
}

// recordCall counts a call that began at that time, records its outcome and logs a
// failure or the end of an outage. It reports whether the call succeeded.
func (r *Reader) recordCall(ctx context.Context, c Collection, began time.Time, err error) bool {
	r.calls.Add(1)
	if ctx.Err() != nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	if err != nil {
		r.failures.Add(1)
		r.health.recordFailure(now, errors.Is(err, context.DeadlineExceeded))
		r.log.Emit(events.StoreCallFailed, events.Subject(c.String()), events.Reason(err), events.Elapsed(now.Sub(r.health.failingSince())))
		return false
	}
	r.recordOutageEnd(r.health.recordResponse(now, began))
	return true
}

// pause waits between failed calls.
type pause struct{ policy *backoff.ExponentialBackOff }

func newPause() *pause { return &pause{policy: newBackoff()} }

func newBackoff() *backoff.ExponentialBackOff {
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = minRetryPause
	policy.MaxInterval = maxRetryPause
	return policy
}

func (p *pause) reset() { p.policy.Reset() }

func (p *pause) wait(ctx context.Context) {
	sleep(ctx, p.policy.NextBackOff()+rand.N(minRetryPause))
}
