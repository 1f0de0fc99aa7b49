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
	// roleInterval is the step in which a host looks whether it is to read the
	// store and whether the store serves it; it bounds how late a reader starts.
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

// Change is what one call to the store, or one answer of a peer, changed.
type Change struct {
	Collection Collection
	// Before and After identify the content that the change applies to, and what
	// it makes of it.
	Before, After Mark
	Objects       []Object
}

// IsDelta reports whether a host that holds the content before the change
// can apply it. The first listing of a host is none.
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
	// heardAt is when a collection was last known to be up to date.
	heardAt map[Collection]time.Time
	// path is the judgement whether the store serves this host.
	path *path
	// proven is closed, and replaced, when a probe is answered.
	proven chan struct{}
	// reading and lost are the role and the judgement of the last step of
	// supervise.
	reading, lost bool
	// cancelWatch ends the watch of a collection that is not trusted any more.
	cancelWatch map[Collection]context.CancelFunc

	view     atomic.Pointer[View]
	onView   func(*View)
	onChange func(Change)
	onLost   func()
	calls    atomic.Int64
	failures atomic.Int64
}

// Callbacks are called one at a time, View and Change in the order of the changes
// and with the reader locked.
type Callbacks struct {
	// View gets each new view.
	View func(*View)
	// Change gets what this host has read from the store, to pass it on.
	Change func(Change)
	// StoreLostChanged is called when StoreLost changes.
	StoreLostChanged func()
}

// NewReader returns a reader that is not running yet.
func NewReader(source Source, decoder Decoder, log *events.Log, now func() time.Time, role Role, on Callbacks) *Reader {
	r := &Reader{
		source: source, log: log, now: now, role: role,
		onView: on.View, onChange: on.Change, onLost: on.StoreLostChanged,
		path:        newPath(),
		proven:      make(chan struct{}),
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

// Mark returns the mark of a collection.
func (r *Reader) Mark(c Collection) Mark {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Mark(c)
}

// Run reads the store until the context ends.
func (r *Reader) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, c := range WatchedCollections {
		wg.Go(func() { r.follow(ctx, c) })
	}
	wg.Go(func() { r.expire(ctx) })
	wg.Go(func() { r.supervise(ctx) })
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

// follow reads a collection while that is this host's role.
func (r *Reader) follow(ctx context.Context, c Collection) {
	pause := newPause()
	for ctx.Err() == nil {
		after, proven := r.Mark(c).AsOf, r.pathProven()
		if after > 0 && !r.role(r.now()) {
			sleep(ctx, roleInterval)
			continue
		}
		if !r.mayCall(after) {
			waitFor(ctx, proven, roleInterval)
			continue
		}
		if after == 0 {
			batch, err := r.source.List(ctx, c)
			if !r.note(ctx, c, err) {
				pause.wait(ctx)
				continue
			}
			r.fold(c, batch, true)
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
	for _, c := range WatchedCollections {
		r.state.asOf[c] = 0
		if cancel := r.cancelWatch[c]; cancel != nil && c != than {
			cancel()
		}
	}
}

// watch returns when the role of this host ends, when the store is lost, or with
// historyGone.
func (r *Reader) watch(ctx context.Context, c Collection, after uint64, pause *pause) (historyGone bool) {
	for ctx.Err() == nil && r.role(r.now()) {
		watchCtx, cancel := context.WithCancel(ctx)
		if !r.beginWatch(c, after, cancel) {
			cancel()
			return false
		}
		batch, err := r.source.Watch(watchCtx, c, after)
		interrupted := watchCtx.Err() != nil
		cancel()
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
		r.fold(c, batch, false)
		after = batch.Revision
		if c == Servers && len(batch.Objects) > 0 {
			sleep(ctx, newsPause)
		}
	}
	return false
}

// fold takes what was read from the store, and passes it on.
func (r *Reader) fold(c Collection, batch Batch, whole bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.log.Emit(events.StoreRead, events.Subject(c.String()), events.Count(len(batch.Objects)), events.Generation(model.Generation(batch.Revision)))
	if change, changed := r.take(c, batch, whole, ""); changed {
		r.onChange(change)
	}
}

// take applies a listing of the whole collection, or changes, and publishes the
// view if that changed it. It is called with the lock held.
func (r *Reader) take(c Collection, batch Batch, whole bool, sender string) (change Change, changed bool) {
	now := r.now()
	change = Change{Collection: c, Before: r.state.Mark(c), Objects: batch.Objects}
	r.heardAt[c] = now
	if whole {
		change.Objects = r.state.Diff(c, batch)
		r.state.ApplyListing(now, c, batch)
	} else {
		r.state.ApplyChanges(now, c, batch)
	}
	change.After = r.state.Mark(c)
	if change.After.Digest == change.Before.Digest {
		return change, false
	}
	r.publish(sender)
	return change, true
}

// ApplyListing takes over a collection as a peer holds it. It reports what that changed.
func (r *Reader) ApplyListing(c Collection, batch Batch, sender string) (change Change, changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change, changed = r.take(c, batch, true, sender)
	if cancel := r.cancelWatch[c]; changed && cancel != nil {
		// The store may have forgotten a watch that did not bring this.
		cancel()
	}
	return change, changed
}

// ApplyChange applies a change that a peer has read. It reports whether the change
// fits what this host knows.
func (r *Reader) ApplyChange(change Change, sender string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := change.Collection
	mine := r.state.Mark(c)
	if mine.Digest != change.Before.Digest || mine.AsOf == 0 || change.After.AsOf < mine.AsOf {
		return false
	}
	r.take(c, Batch{Objects: change.Objects, Revision: change.After.AsOf}, false, sender)
	return true
}

// Confirm notes that a peer knows the same content for a later revision.
func (r *Reader) Confirm(c Collection, asOf uint64) {
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
		r.path.failed(now)
		r.log.Emit(events.StoreCallFailed, events.Subject(c.String()), events.Reason(err), events.Elapsed(now.Sub(r.path.lostSince())))
		return false
	}
	r.back(r.path.answered(now))
	return true
}

// pause waits between failed calls.
type pause struct{ policy *backoff.ExponentialBackOff }

func newPause() *pause { return &pause{policy: newBackoff()} }

func newBackoff() *backoff.ExponentialBackOff {
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = firstRetry
	policy.MaxInterval = maxRetry
	return policy
}

func (p *pause) reset() { p.policy.Reset() }

func (p *pause) wait(ctx context.Context) {
	sleep(ctx, p.policy.NextBackOff()+rand.N(firstRetry))
}
