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
	// firstRetry and maxRetry bound the jittered pause between failed calls.
	// One second keeps an outage cheap and a change within its bound of 2 s.
	firstRetry = 100 * time.Millisecond
	maxRetry   = time.Second
	// shortOutage is what a single failed call costs; longer ones let entries
	// of living servers lapse.
	shortOutage = 1200 * time.Millisecond
	// lostAfter is how long calls have to fail before peers are told to read
	// the store instead.
	lostAfter = 300 * time.Millisecond
	// roleInterval is the step in which a host looks whether it is to read the
	// store; it bounds how late a new reader starts.
	roleInterval = 200 * time.Millisecond
	// newsPause is the time between news of the servers and the next watch, so
	// that one call brings what changes together: each change costs a call of
	// every reader, and a drain has to be in force within 2 s.
	newsPause = 150 * time.Millisecond
	// expireInterval is the step in which lapsed entries are removed.
	expireInterval = 400 * time.Millisecond
)

// Role tells a reader whether this host reads the store itself, or takes what
// its peers have read.
type Role func(now time.Time) bool

// Change is what one call to the store changed.
type Change struct {
	Collection Collection
	// Before identifies the content that the change applies to.
	Before Mark
	// AsOf is the revision of the store after the change.
	AsOf    uint64
	Objects []Object
}

// Reader keeps a State up to date from a Source or from peers, and publishes
// its views. It is safe for concurrent use.
type Reader struct {
	source Source
	log    *events.Log
	now    func() time.Time
	role   Role

	mu    sync.Mutex
	state *State
	// heardAt is when a collection was last known to be up to date.
	heardAt map[Collection]time.Time
	// lostAt is when the first call failed of those that failed in a row.
	lostAt time.Time
	// cancelWatch ends the watch of a collection that is not trusted any more.
	cancelWatch map[Collection]context.CancelFunc

	view     atomic.Pointer[View]
	onView   func(*View)
	onChange func(Change)
	calls    atomic.Int64
	failures atomic.Int64
}

// Callbacks are called one at a time, in the order of the changes.
type Callbacks struct {
	// View gets each new view.
	View func(*View)
	// Change gets what this host has read from the store, to pass it on.
	Change func(Change)
}

// NewReader returns a reader that is not running yet.
func NewReader(source Source, decoder Decoder, log *events.Log, now func() time.Time, role Role, on Callbacks) *Reader {
	r := &Reader{
		source: source, log: log, now: now, role: role,
		onView: on.View, onChange: on.Change,
		cancelWatch: make(map[Collection]context.CancelFunc),
		heardAt:     make(map[Collection]time.Time),
	}
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

// StoreLost reports whether the store has not answered this host for a while.
func (r *Reader) StoreLost() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.storeLost()
}

func (r *Reader) storeLost() bool {
	return !r.lostAt.IsZero() && r.now().Sub(r.lostAt) >= lostAfter
}

// Mark returns the mark of a collection.
func (r *Reader) Mark(c Collection) Mark {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Mark(c)
}

// Run reads the store until the context ends.
func (r *Reader) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, c := range Collections {
		wg.Go(func() { r.follow(ctx, c) })
	}
	wg.Go(func() { r.expire(ctx) })
	wg.Go(func() { r.observe(ctx) })
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

// observe logs when the role of this host and its access to the store change.
func (r *Reader) observe(ctx context.Context) {
	tick := time.NewTicker(roleInterval)
	defer tick.Stop()
	reading, lost := false, false
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			reading = r.logRole(reading)
			lost = r.logLoss(lost)
		}
	}
}

func (r *Reader) logRole(before bool) (reading bool) {
	reading = r.role(r.now())
	switch {
	case reading && !before:
		r.log.Emit(events.StoreReaderBegan)
	case !reading && before:
		r.log.Emit(events.StoreReaderEnded)
	}
	return reading
}

func (r *Reader) logLoss(before bool) (lost bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	lost = r.storeLost()
	if lost && !before {
		r.log.Emit(events.StoreLost, events.Elapsed(r.now().Sub(r.lostAt)))
	}
	return lost
}

// Regained notes that the store is back for the hosts that read it.
func (r *Reader) Regained() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.Regained(r.now())
}

// follow reads a collection while that is this host's role.
func (r *Reader) follow(ctx context.Context, c Collection) {
	pause := newPause()
	for ctx.Err() == nil {
		after := r.Mark(c).AsOf
		if after > 0 && !r.role(r.now()) {
			sleep(ctx, roleInterval)
			continue
		}
		if after == 0 {
			batch, err := r.source.List(ctx, c)
			if !r.note(ctx, c, err) {
				pause.wait(ctx)
				continue
			}
			r.fold(c, batch, r.state.Listing)
			after = batch.Revision
		}
		pause.reset()
		if r.watch(ctx, c, after, pause) {
			r.relistAll(c)
		}
	}
}

// relistAll distrusts all collections: a store that has dropped its history
// may have cut every watch, also those that say nothing.
func (r *Reader) relistAll(than Collection) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range Collections {
		r.state.asOf[c] = 0
		if cancel := r.cancelWatch[c]; cancel != nil && c != than {
			cancel()
		}
	}
}

// watch returns when the role of this host ends, or with historyGone.
func (r *Reader) watch(ctx context.Context, c Collection, after uint64, pause *pause) (historyGone bool) {
	for ctx.Err() == nil && r.role(r.now()) {
		watchCtx, cancel := context.WithCancel(ctx)
		r.setCancel(c, cancel)
		stopped := r.endWithRole(watchCtx, cancel)
		batch, err := r.source.Watch(watchCtx, c, after)
		interrupted := watchCtx.Err() != nil
		cancel()
		<-stopped
		if interrupted {
			return false
		}
		if errors.Is(err, ErrHistoryGone) {
			r.log.Emit(events.StoreHistoryGone, events.Subject(c.String()))
			r.note(ctx, c, nil)
			return true
		}
		if !r.note(ctx, c, err) {
			pause.wait(ctx)
			continue
		}
		pause.reset()
		r.fold(c, batch, r.state.Changes)
		after = batch.Revision
		if c == Servers && len(batch.Objects) > 0 {
			sleep(ctx, newsPause)
		}
	}
	return false
}

// endWithRole cancels a watch when another host has taken over.
func (r *Reader) endWithRole(ctx context.Context, cancel context.CancelFunc) <-chan struct{} {
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		for ctx.Err() == nil {
			sleep(ctx, roleInterval)
			if !r.role(r.now()) {
				cancel()
				return
			}
		}
	}()
	return stopped
}

func (r *Reader) setCancel(c Collection, cancel context.CancelFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancelWatch[c] = cancel
}

// fold takes what was read from the store, and passes it on.
func (r *Reader) fold(c Collection, batch Batch, into func(time.Time, Collection, Batch)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.log.Emit(events.StoreRead, events.Subject(c.String()), events.Count(len(batch.Objects)), events.Generation(model.Generation(batch.Revision)))
	before := r.state.Mark(c)
	r.heardAt[c] = r.now()
	into(r.now(), c, batch)
	if r.state.Mark(c).Digest == before.Digest {
		return
	}
	r.publish("")
	r.onChange(Change{Collection: c, Before: before, AsOf: batch.Revision, Objects: batch.Objects})
}

// Adopt takes over a collection as a peer holds it.
func (r *Reader) Adopt(c Collection, batch Batch, sender string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.state.Mark(c)
	r.heardAt[c] = r.now()
	r.state.Listing(r.now(), c, batch)
	if r.state.Mark(c).Digest != before.Digest {
		r.publish(sender)
	}
}

// Pushed applies a change that a peer has read. It reports whether the change
// fits what this host knows.
func (r *Reader) Pushed(change Change, sender string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.state.Mark(change.Collection)
	if before.Digest != change.Before.Digest || before.AsOf == 0 || change.AsOf < before.AsOf {
		return false
	}
	r.heardAt[change.Collection] = r.now()
	r.state.Changes(r.now(), change.Collection, Batch{Objects: change.Objects, Revision: change.AsOf})
	r.publish(sender)
	return true
}

// Confirmed notes that a peer knows the same content for a later revision.
func (r *Reader) Confirmed(c Collection, asOf uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state.asOf[c] > 0 {
		r.heardAt[c] = r.now()
		r.state.confirm(c, asOf)
	}
}

// Age is the time since a collection was last known to be up to date; 0 if it
// was never read.
func (r *Reader) Age(c Collection) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at, ok := r.heardAt[c]; ok {
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

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
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
	sleep(ctx, p.policy.NextBackOff()+rand.N(firstRetry))
}
