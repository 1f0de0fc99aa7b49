package inventory

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wisteriacrank/wisteriacrank/internal/events"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// configBound is the time within which a confirmed change has to be applied.
const configBound = 2 * time.Second

// Time limits of the calls, as in the client of the store, and latencies of the
// store.
const (
	listTimeout  = 2500 * time.Millisecond
	watchWait    = 5 * time.Second
	watchTimeout = watchWait + listTimeout
	callLatency  = 5 * time.Millisecond
	slowLatency  = 1200 * time.Millisecond
)

// faultyStore is a Source that can become unresponsive: calls that wait at that
// time never get a response, even after it has recovered.
type faultyStore struct {
	mu           sync.Mutex
	config       Object
	revision     uint64
	unresponsive bool
	// era is that of all responses; 0 states none. observe is told of it.
	era     model.Era
	observe func(model.Era, bool)
	// listed counts the listings; listDelay passes between the content of one and its
	// response.
	listed    map[Collection]int
	listDelay time.Duration
	// epoch counts the times that the store became unresponsive.
	epoch int
	// oldest is the revision before which the history is gone.
	oldest uint64
	// fastProbes leaves the latency out for probes.
	fastProbes bool
	// servesProbesOnly makes calls wait until they time out.
	servesProbesOnly bool
	// forgotten counts the times that the store forgot the watches that waited.
	forgotten int
	changed   chan struct{}
	latency   time.Duration
	// calls counts all calls except probes.
	calls  int
	probes int
}

func newFaultyStore() *faultyStore {
	s := &faultyStore{changed: make(chan struct{}), latency: callLatency, listed: make(map[Collection]int)}
	s.put("v1")
	return s
}

func (s *faultyStore) put(config string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.config = object("main", s.revision, config)
	s.wake()
}

// touch writes to another collection.
func (s *faultyStore) touch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.wake()
}

// restore brings the store back from a copy, which has the config as of the revision.
// Waiting watches are not ended.
func (s *faultyStore) restore(config string, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.config = revision, object("main", revision, config)
}

// respond returns what a response states.
func (s *faultyStore) respond(batch Batch, era model.Era) Batch {
	if s.observe != nil {
		s.observe(era, era > 0)
	}
	return batch.InEra(era)
}

func (s *faultyStore) dropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.oldest = s.revision
	s.wake()
}

// forgetWatches makes the store never respond to the watches that wait.
func (s *faultyStore) forgetWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgotten++
	s.wake()
}

func (s *faultyStore) setUnresponsive(unresponsive bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unresponsive = unresponsive
	if unresponsive {
		s.epoch++
	}
	s.wake()
}

func (s *faultyStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *faultyStore) setLatency(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency = d
}

func (s *faultyStore) counts() (calls, probes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls, s.probes
}

// waitForResponse blocks a call until its context is done if the store is
// unresponsive or became so after epoch.
func (s *faultyStore) waitForResponse(ctx context.Context, epoch int) error {
	s.mu.Lock()
	lost := s.unresponsive || s.epoch != epoch
	s.mu.Unlock()
	if lost {
		<-ctx.Done()
	}
	if ctx.Err() != nil {
		return ErrUnavailable
	}
	return nil
}

func (s *faultyStore) begin(ctx context.Context, count *int) (epoch int) {
	s.mu.Lock()
	*count++
	epoch, latency := s.epoch, s.latency
	if count == &s.probes && s.fastProbes {
		latency = callLatency
	}
	s.mu.Unlock()
	sleep(ctx, latency)
	return epoch
}

// List implements Source.
func (s *faultyStore) List(ctx context.Context, c Collection) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	epoch := s.begin(ctx, &s.calls)
	if err := s.waitForResponse(ctx, epoch); err != nil {
		return Batch{}, err
	}
	s.mu.Lock()
	batch, era, delay := Batch{Position: at(s.revision)}, s.era, s.listDelay
	if c == Configuration {
		batch.Objects = []Object{s.config}
	}
	s.listed[c]++
	s.mu.Unlock()
	time.Sleep(delay)
	return s.respond(batch, era), nil
}

// Watch implements Source.
func (s *faultyStore) Watch(ctx context.Context, c Collection, after model.Position) (Batch, error) {
	return s.watch(ctx, c, after, watchWait)
}

// Changes implements Source.
func (s *faultyStore) Changes(ctx context.Context, c Collection, after model.Position) (Batch, error) {
	return s.watch(ctx, c, after, time.Millisecond)
}

func (s *faultyStore) watch(ctx context.Context, c Collection, after model.Position, wait time.Duration) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+listTimeout)
	defer cancel()
	epoch := s.begin(ctx, &s.calls)
	end := time.After(wait)
	s.mu.Lock()
	forgotten, hangs := s.forgotten, s.servesProbesOnly
	s.mu.Unlock()
	if hangs {
		<-ctx.Done()
		return Batch{}, fmt.Errorf("%w: %w", ErrUnavailable, ctx.Err())
	}
	for waited := false; ; {
		if err := s.waitForResponse(ctx, epoch); err != nil {
			return Batch{}, err
		}
		s.mu.Lock()
		if s.forgotten != forgotten {
			s.mu.Unlock()
			<-ctx.Done()
			return Batch{}, ErrUnavailable
		}
		batch, changed, era := Batch{Position: at(s.revision)}, s.changed, s.era
		gone := after.Revision < s.oldest || after.Revision > s.revision
		if c == Configuration && s.config.Position.Revision > after.Revision {
			batch.Objects = []Object{s.config}
		}
		s.mu.Unlock()
		if gone {
			s.respond(batch, era)
			return Batch{}, ErrHistoryGone
		}
		if waited || len(batch.Objects) > 0 {
			return s.respond(batch, era), nil
		}
		select {
		case <-changed:
		case <-end:
			waited = true
		case <-ctx.Done():
		}
	}
}

// Probe implements Source.
func (s *faultyStore) Probe(ctx context.Context) (model.Position, error) {
	epoch := s.begin(ctx, &s.probes)
	if err := s.waitForResponse(ctx, epoch); err != nil {
		return model.Position{}, err
	}
	s.mu.Lock()
	batch, era := Batch{Position: at(s.revision)}, s.era
	s.mu.Unlock()
	return s.respond(batch, era).Position, nil
}

// OnEra implements Source.
func (s *faultyStore) OnEra(observe func(model.Era, bool)) { s.observe = observe }

// runReader runs a reader until the test ends.
func runReader(t *testing.T, store *faultyStore, role Role) *Reader {
	return runReaderWith(t, store, role, func(Change) {})
}

func runReaderWith(t *testing.T, store *faultyStore, role Role, onChange func(Change)) *Reader {
	return runLoggingReader(t, store, role, onChange, io.Discard)
}

func runLoggingReader(t *testing.T, store *faultyStore, role Role, onChange func(Change), log io.Writer) *Reader {
	ctx, cancel := context.WithCancel(t.Context())
	r := NewReader(store, wordDecoder{}, events.New(log, logrus.InfoLevel, time.Now), time.Now, role,
		Callbacks{View: func(*View) {}, Change: onChange, StoreLostChanged: func() {}})
	var running sync.WaitGroup
	running.Go(func() { r.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	time.Sleep(time.Second)
	return r
}

func always(time.Time) bool { return true }

func version(r *Reader) uint64 { return r.View().Config.Version }

// Guards against a reader that treats an unresponsive store as one without
// changes, so that no other host replaces it before a change has to be applied.
func TestSilentStoreIsLostBeforeAChangeIsDue(t *testing.T) {
	// The outage begins at different phases of the watches.
	for _, phase := range []time.Duration{0, 900 * time.Millisecond, 2300 * time.Millisecond, 4900 * time.Millisecond} {
		t.Run(phase.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newFaultyStore()
				r := runReader(t, store, always)
				time.Sleep(phase)
				store.setUnresponsive(true)
				time.Sleep(configBound - 500*time.Millisecond)
				if !r.StoreLost() {
					t.Error("the unresponsive store is not lost 0.5 s before a change is due")
				}
			})
		})
	}
}

// Guards against watches that wait on a connection which died in an outage,
// while the response to another call shows that the store has recovered.
func TestChangeAfterASilentOutageIsReadInTime(t *testing.T) {
	for _, outage := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 9 * time.Second} {
		t.Run(outage.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newFaultyStore()
				r := runReader(t, store, always)
				store.setUnresponsive(true)
				time.Sleep(outage)
				store.setUnresponsive(false)
				store.put("v2")
				time.Sleep(configBound)
				if got := version(r); got != 2 {
					t.Errorf("version %d is in effect %v after the change, want 2", got, configBound)
				}
				store.put("v3")
				time.Sleep(configBound)
				if got := version(r); got != 3 {
					t.Errorf("version %d is in effect %v after the second change, want 3", got, configBound)
				}
			})
		})
	}
}

// Guards against a change that is missed until the watch has waited for its time, because
// the store has forgotten the watch while it responds to other calls.
func TestChangeIsReadInTimeIfTheStoreForgotTheWatch(t *testing.T) {
	for _, slow := range []time.Duration{callLatency, 100 * time.Millisecond, 300 * time.Millisecond} {
		t.Run(slow.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newFaultyStore()
				store.setLatency(slow)
				r := runReader(t, store, always)
				store.forgetWatches()
				store.put("v2")
				time.Sleep(configBound)
				if got := version(r); got != 2 {
					t.Errorf("version %d is in effect %v after the change, want 2", got, configBound)
				}
			})
		})
	}
}

// Guards against a store that responds to probes only and is never lost, because its
// watches are begun again before they fail.
func TestStoreThatRespondsToProbesOnlyIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFaultyStore()
		r := runReader(t, store, always)
		store.mu.Lock()
		store.servesProbesOnly = true
		store.mu.Unlock()
		const pause = 200 * time.Millisecond
		for waited := time.Duration(0); !r.StoreLost(); waited += pause {
			if waited > 2*watchTimeout {
				t.Fatalf("the store is not lost after %v", waited)
			}
			store.touch()
			time.Sleep(pause)
		}
	})
}

// Guards against watches of a slow store that are ended before it can respond.
func TestChangesOfASlowStoreAreReadBesideConstantWrites(t *testing.T) {
	for _, latency := range []time.Duration{300 * time.Millisecond, 900 * time.Millisecond, slowLatency} {
		t.Run(latency.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newFaultyStore()
				store.fastProbes = true
				r := runReader(t, store, always)
				store.setLatency(latency)
				const writes, pause = 50, 200 * time.Millisecond
				for i := range writes {
					if i%10 == 0 {
						store.put("v2")
					}
					store.touch()
					time.Sleep(pause)
					if i%10 == 9 && r.Mark(Configuration).AsOf.Before(store.config.Position) {
						t.Errorf("the configuration is held as of %v %v after it was written at %v", r.Mark(Configuration).AsOf, 10*pause, store.config.Position)
					}
				}
			})
		})
	}
}

// Guards against a host that replaced a reader, lost the store and is never used
// as a reader again, because only hosts that read the store detect its recovery.
func TestHostThatLostTheStoreLearnsOfItsReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFaultyStore()
		var mu sync.Mutex
		reads := true
		r := runReader(t, store, func(time.Time) bool {
			mu.Lock()
			defer mu.Unlock()
			return reads
		})
		store.setUnresponsive(true)
		time.Sleep(watchTimeout + 2*time.Second)
		mu.Lock()
		reads = false
		mu.Unlock()
		store.setUnresponsive(false)
		time.Sleep(2 * configBound)
		if r.StoreLost() {
			t.Error("the store is still lost for a host that does not read it")
		}
		calls, probes := store.counts()
		time.Sleep(time.Minute)
		if c, p := store.counts(); c != calls || p != probes {
			t.Errorf("%d calls and %d probes of a host that does not read the store", c-calls, p-probes)
		}
	})
}

// Guards against a host that never gets what only hosts without eras have told it.
func TestListingIsReadOnceOnRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFaultyStore()
		r := runReader(t, store, func(time.Time) bool { return false })
		store.put("v2")
		r.RequestListing(Configuration)
		time.Sleep(configBound)
		if got := version(r); got != 2 {
			t.Errorf("version %d is in effect after the request, want 2", got)
		}
		calls, _ := store.counts()
		store.put("v3")
		time.Sleep(time.Minute)
		if made, _ := store.counts(); made != calls || version(r) != 2 {
			t.Errorf("%d more calls without a request, version %d", made-calls, version(r))
		}
	})
}

// Guards against changes that peers miss because a reader found them in a listing
// after the store had dropped its history.
func TestChangesFoundInAListingCanBeApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFaultyStore()
		var mu sync.Mutex
		var changes []Change
		peer := NewReader(store, wordDecoder{}, events.New(io.Discard, logrus.ErrorLevel, time.Now), time.Now, always,
			Callbacks{View: func(*View) {}, Change: func(Change) {}, StoreLostChanged: func() {}})
		r := runReaderWith(t, store, always, func(c Change) {
			mu.Lock()
			defer mu.Unlock()
			changes = append(changes, c)
		})
		peer.ApplyListing(Configuration, r.Snapshot(Configuration), "")
		store.put("v2")
		store.dropHistory()
		time.Sleep(configBound)
		mu.Lock()
		defer mu.Unlock()
		last := changes[len(changes)-1]
		if !last.IsDelta() || !peer.ApplyChange(last, "") || version(peer) != 2 {
			t.Errorf("a peer with version %d cannot apply %+v", version(peer), last)
		}
		if changes[0].IsDelta() {
			t.Error("the first listing of a host counts as a delta")
		}
	})
}

// Guards against a slow store that is treated as unresponsive, so that its changes
// are never read.
func TestSlowStoreIsNotLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFaultyStore()
		r := runReader(t, store, always)
		store.setLatency(slowLatency)
		time.Sleep(10 * time.Second)
		for range 20 {
			time.Sleep(700 * time.Millisecond)
			if r.StoreLost() {
				t.Fatal("a store that responds after 1.2 s is lost")
			}
		}
		store.put("v2")
		time.Sleep(2 * slowLatency)
		if got := version(r); got != 2 {
			t.Errorf("version %d is in effect %v after the change, want 2", got, 2*slowLatency)
		}
	})
}

// Guards against calls to a store that is unavailable: only probes, which cost a
// tenth, may continue.
func TestOutageCostsProbesOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFaultyStore()
		runReader(t, store, always)
		store.setUnresponsive(true)
		time.Sleep(configBound)
		calls, probes := store.counts()
		const outage = time.Minute
		time.Sleep(outage)
		c, p := store.counts()
		if c != calls {
			t.Errorf("%d calls in an outage of %v", c-calls, outage)
		}
		if most := int(2 * outage / time.Second); p-probes > most {
			t.Errorf("%d probes in an outage of %v, want %d at most", p-probes, outage, most)
		}
	})
}

// Guards against a reader that is kept although its calls fail, because the store
// serves probes from stale data: a reader that can't read has to be replaced.
func TestProbesDoNotHideFailedCalls(t *testing.T) {
	h := newStoreHealth()
	h.recordFailure(start, false)
	h.recordProbeStart(start)
	later := start.Add(lostAfter)
	h.recordProbeEnd(later, start, nil, time.Time{})
	if !h.isLost(later) {
		t.Error("a store that fails calls is not lost after a response to a probe")
	}
	h.recordProbeStart(later)
	if ended := h.recordProbeEnd(later, later, nil, later); ended.length != lostAfter || h.isLost(later) {
		t.Errorf("lost %v after %v for a host that makes no calls", h.isLost(later), ended.length)
	}
}

// Guards against an outage that counts until a watch has waited for its response, so
// that a server which leaves meanwhile is taken for one whose entry has lapsed.
func TestOutageEndsBeforeTheWatchThatWaits(t *testing.T) {
	h := newStoreHealth()
	h.recordFailure(start, false)
	probed, began := start.Add(600*time.Millisecond), start.Add(700*time.Millisecond)
	h.recordProbeStart(probed)
	if ended := h.recordProbeEnd(probed, probed, nil, time.Time{}); ended != (outage{}) {
		t.Errorf("a probe ended the outage of a host that makes calls: %+v", ended)
	}
	if ended := h.recordResponse(began.Add(watchWait), began); ended.endedAt != began || ended.length != began.Sub(start) {
		t.Errorf("the outage is %+v, want it to end at the start of the call that was served", ended)
	}
}

// Guards against an outage that is missed because a watch from before it is served.
func TestOutageEndsAfterTheLastFailedCall(t *testing.T) {
	h := newStoreHealth()
	h.recordProbeEnd(start, start, nil, start)
	failed := start.Add(3 * time.Second)
	h.recordFailure(start, false)
	h.recordFailure(failed, false)
	if ended := h.recordResponse(failed.Add(time.Second), start.Add(-time.Second)); ended.endedAt != failed {
		t.Errorf("the outage is %+v, want it to end at %v", ended, failed)
	}
}

// Guards against a store that stays lost until a watch has waited for its response,
// although the store holds the watch.
func TestHeldWatchEndsAnOutage(t *testing.T) {
	h, w := newStoreHealth(), newWatches()
	h.recordFailure(start, false)
	began := start.Add(time.Second)
	w.begin(began, Configuration, func() {})
	for _, probe := range []struct{ began, now time.Duration }{
		{-time.Millisecond, minProbeTimeout},                      // began before the watch
		{minProbeTimeout / 2, minProbeTimeout - time.Millisecond}, // the watch may still be refused
	} {
		if held := w.heldSince(began.Add(probe.now), began.Add(probe.began), minProbeTimeout); !held.IsZero() {
			t.Errorf("%+v shows that the store holds the watch", probe)
		}
	}
	now := began.Add(minProbeTimeout)
	held := w.heldSince(now, began, minProbeTimeout)
	h.recordProbeStart(began)
	if ended := h.recordProbeEnd(now, began, nil, held); ended.length == 0 || h.isLost(now) {
		t.Errorf("the outage ends as %+v while the store holds a watch", ended)
	}
}

// Guards against a reader that is kept although its calls wait without a response, because
// the store serves probes.
func TestHangingCallsAreNotTakenForHeldWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFaultyStore()
		r := runReader(t, store, always)
		store.mu.Lock()
		store.servesProbesOnly = true
		store.mu.Unlock()
		time.Sleep(2 * watchTimeout)
		for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			if !r.StoreLost() {
				t.Fatal("the store is not lost")
			}
		}
	})
}

// Guards against a watch that has waited long and is then reset, and that counts as a call
// without a response.
func TestResetWatchIsNotTakenForAHangingCall(t *testing.T) {
	r := NewReader(nil, wordDecoder{}, events.New(io.Discard, logrus.ErrorLevel, time.Now), time.Now, always, Callbacks{})
	began := time.Now().Add(-watchWait)
	for _, call := range []struct {
		err   error
		hangs bool
	}{{ErrUnavailable, false}, {fmt.Errorf("%w: %w", ErrUnavailable, context.DeadlineExceeded), true}} {
		r.recordCall(t.Context(), Configuration, began, call.err)
		if r.health.callsHang != call.hangs {
			t.Errorf("calls hang: %v after %v", r.health.callsHang, call.err)
		}
	}
}

// Guards against an outage that ends before the store responds, while calls wait.
func TestOutageLastsWhileProbesFail(t *testing.T) {
	h := newStoreHealth()
	h.recordProbeStart(start)
	h.recordProbeEnd(start, start, nil, time.Time{})
	h.recordFailure(start.Add(time.Second), false)
	h.recordProbeStart(start.Add(time.Second))
	h.checkProbeTimeout(start.Add(2 * time.Second))
	began, now := start.Add(2*time.Second), start.Add(5*time.Second)
	if ended := h.recordResponse(now, began); ended.endedAt != now {
		t.Errorf("the outage is %+v, want it to end with the response at %v", ended, now)
	}
}

// Guards against a probe on a dead connection whose failure overrides the response
// to a later probe.
func TestProbeResponseOverridesOlderProbes(t *testing.T) {
	h := newStoreHealth()
	h.recordProbeStart(start)
	now := start.Add(minProbeTimeout)
	h.checkProbeTimeout(now)
	if !h.isLost(now) {
		t.Fatal("a probe that has timed out does not count as a failure")
	}
	h.recordProbeStart(now)
	now = now.Add(callLatency)
	h.recordProbeEnd(now, start.Add(minProbeTimeout), nil, time.Time{})
	now = now.Add(maxProbeTimeout)
	h.recordProbeEnd(now, start, ErrUnavailable, time.Time{})
	h.checkProbeTimeout(now)
	if h.isLost(now.Add(lostAfter)) {
		t.Error("the failure of the older probe made the store lost again")
	}
}
