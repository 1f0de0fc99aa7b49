package inventory

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wisteriacrank/wisteriacrank/internal/events"
)

// configBound is the time within which a confirmed change has to be in force.
const configBound = 2 * time.Second

// Time limits of the calls, as a client of the store has them.
const (
	listTimeout  = 2500 * time.Millisecond
	watchWait    = 5 * time.Second
	watchTimeout = watchWait + listTimeout
	callLatency  = 5 * time.Millisecond
	slowLatency  = 1200 * time.Millisecond
)

// faultyStore is a Source that can fall silent: calls that wait at that moment
// are never answered, also not after its return.
type faultyStore struct {
	mu       sync.Mutex
	config   Object
	revision uint64
	silent   bool
	// epoch counts the times that the store fell silent.
	epoch int
	// oldest is the revision before which the history is gone.
	oldest  uint64
	changed chan struct{}
	latency time.Duration
	// calls are all but probes.
	calls  int
	probes int
}

func newFaultyStore() *faultyStore {
	s := &faultyStore{changed: make(chan struct{}), latency: callLatency}
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

func (s *faultyStore) dropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.oldest = s.revision
	s.wake()
}

func (s *faultyStore) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	if silent {
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

func (s *faultyStore) made() (calls, probes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls, s.probes
}

// answered blocks a call for good if the store is silent or was since epoch.
func (s *faultyStore) answered(ctx context.Context, epoch int) error {
	s.mu.Lock()
	lost := s.silent || s.epoch != epoch
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
	s.mu.Unlock()
	sleep(ctx, latency)
	return epoch
}

// List implements Source.
func (s *faultyStore) List(ctx context.Context, c Collection) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	epoch := s.begin(ctx, &s.calls)
	if err := s.answered(ctx, epoch); err != nil {
		return Batch{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	batch := Batch{Revision: s.revision}
	if c == Configuration {
		batch.Objects = []Object{s.config}
	}
	return batch, nil
}

// Watch implements Source.
func (s *faultyStore) Watch(ctx context.Context, c Collection, after uint64) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	epoch := s.begin(ctx, &s.calls)
	end := time.After(watchWait)
	for waited := false; ; {
		if err := s.answered(ctx, epoch); err != nil {
			return Batch{}, err
		}
		s.mu.Lock()
		batch, changed, gone := Batch{Revision: s.revision}, s.changed, after < s.oldest
		if c == Configuration && s.config.Revision > after {
			batch.Objects = []Object{s.config}
		}
		s.mu.Unlock()
		if gone {
			return Batch{}, ErrHistoryGone
		}
		if waited || len(batch.Objects) > 0 {
			return batch, nil
		}
		select {
		case <-changed:
		case <-end:
			waited = true
		case <-ctx.Done():
		}
	}
}

// Probe answers whether the store serves this host.
func (s *faultyStore) Probe(ctx context.Context) error {
	epoch := s.begin(ctx, &s.probes)
	return s.answered(ctx, epoch)
}

// runReader runs a reader in the bubble of the test until it ends.
func runReader(t *testing.T, store *faultyStore, role Role) *Reader {
	return runReaderWith(t, store, role, func(Change) {})
}

func runReaderWith(t *testing.T, store *faultyStore, role Role, onChange func(Change)) *Reader {
	ctx, cancel := context.WithCancel(t.Context())
	r := NewReader(store, words{}, events.New(io.Discard, logrus.ErrorLevel, time.Now), time.Now, role,
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

// Guards against a reader that takes a silent store for one without changes, so
// that nobody replaces it before a change is due.
func TestSilentStoreIsLostBeforeAChangeIsDue(t *testing.T) {
	// The silence begins at different phases of the watches.
	for _, phase := range []time.Duration{0, 900 * time.Millisecond, 2300 * time.Millisecond, 4900 * time.Millisecond} {
		t.Run(phase.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newFaultyStore()
				r := runReader(t, store, always)
				time.Sleep(phase)
				store.setSilent(true)
				time.Sleep(configBound - 500*time.Millisecond)
				if !r.StoreLost() {
					t.Error("the silent store is not lost 0.5 s before a change is due")
				}
			})
		})
	}
}

// Guards against watches that wait on a connection which died in an outage,
// while another call says that the store is back.
func TestChangeAfterASilentOutageIsReadInTime(t *testing.T) {
	for _, outage := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 9 * time.Second} {
		t.Run(outage.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newFaultyStore()
				r := runReader(t, store, always)
				store.setSilent(true)
				time.Sleep(outage)
				store.setSilent(false)
				store.put("v2")
				time.Sleep(configBound)
				if got := version(r); got != 2 {
					t.Errorf("version %d is in force %v after the change", got, configBound)
				}
				store.put("v3")
				time.Sleep(configBound)
				if got := version(r); got != 3 {
					t.Errorf("version %d is in force %v after the second change", got, configBound)
				}
			})
		})
	}
}

// Guards against a host that replaced a reader, was turned away and is never
// tried again, because only hosts that read learn that the store is back.
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
		store.setSilent(true)
		time.Sleep(watchTimeout + 2*time.Second)
		mu.Lock()
		reads = false
		mu.Unlock()
		store.setSilent(false)
		time.Sleep(2 * configBound)
		if r.StoreLost() {
			t.Error("the store is still lost for a host that does not read it")
		}
		calls, probes := store.made()
		time.Sleep(time.Minute)
		if c, p := store.made(); c != calls || p != probes {
			t.Errorf("%d calls and %d probes of a host that does not read the store", c-calls, p-probes)
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
		peer := NewReader(store, words{}, events.New(io.Discard, logrus.ErrorLevel, time.Now), time.Now, always,
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
			t.Error("the first listing of a host counts as a difference")
		}
	})
}

// Guards against a slow store that is taken for a silent one, so that its
// changes are never read.
func TestSlowStoreIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFaultyStore()
		r := runReader(t, store, always)
		store.setLatency(slowLatency)
		time.Sleep(10 * time.Second)
		for range 20 {
			time.Sleep(700 * time.Millisecond)
			if r.StoreLost() {
				t.Fatal("a store that answers after 1.2 s is lost")
			}
		}
		store.put("v2")
		time.Sleep(2 * slowLatency)
		if got := version(r); got != 2 {
			t.Errorf("version %d is in force %v after the change", got, 2*slowLatency)
		}
	})
}

// Guards against calls that pile up at a store which is away: only probes, which
// cost a tenth, may go on.
func TestOutageCostsProbesOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFaultyStore()
		runReader(t, store, always)
		store.setSilent(true)
		time.Sleep(configBound)
		calls, probes := store.made()
		const outage = time.Minute
		time.Sleep(outage)
		c, p := store.made()
		if c != calls {
			t.Errorf("%d calls in an outage of %v", c-calls, outage)
		}
		if most := int(2 * outage / time.Second); p-probes > most {
			t.Errorf("%d probes in an outage of %v, want %d at most", p-probes, outage, most)
		}
	})
}

// Guards against a store that answers probes from old data and fails the calls:
// a reader that cannot read has to be replaced.
func TestProbesDoNotHideFailedCalls(t *testing.T) {
	p := newPath()
	p.failed(start)
	p.probeBegan(start)
	later := start.Add(lostAfter)
	p.probeEnded(later, start, nil, true)
	if !p.isLost(later) {
		t.Error("a store that fails calls is not lost once it answers a probe")
	}
	p.probeBegan(later)
	if outage := p.probeEnded(later, later, nil, false); outage != lostAfter || p.isLost(later) {
		t.Errorf("lost %v after %v for a host that makes no calls", p.isLost(later), outage)
	}
}

// Guards against a probe on a connection that died which overrules a later one.
func TestAnsweredProbeOutweighsOlderOnes(t *testing.T) {
	p := newPath()
	p.probeBegan(start)
	now := start.Add(minPatience)
	p.check(now)
	if !p.isLost(now) {
		t.Fatal("a probe that waits for too long does not count")
	}
	p.probeBegan(now)
	now = now.Add(callLatency)
	p.probeEnded(now, start.Add(minPatience), nil, true)
	now = now.Add(maxPatience)
	p.probeEnded(now, start, ErrUnavailable, true)
	p.check(now)
	if p.isLost(now.Add(lostAfter)) {
		t.Error("the older probe made the store lost again")
	}
}
