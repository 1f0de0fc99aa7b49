package inventory

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// agreementBound is the time within which a host reads a later era after the first
// response that states it.
const agreementBound = time.Second

// runInEra runs a reader of a store in era 1 whose waiting watches a drill doesn't end,
// since its revision passes theirs.
func runInEra(t *testing.T, onChange func(Change), log io.Writer) (*faultyStore, *Reader) {
	store := newFaultyStore()
	store.era = 1
	return store, runLoggingReader(t, store, always, onChange, log)
}

// pass lets time pass for the reader and the store.
func pass(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// current returns the configuration in the store.
func (s *faultyStore) current() Batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	return list(s.revision, s.config).InEra(s.era)
}

func (s *faultyStore) listings() map[Collection]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.listed)
}

// expectListed checks that the collections were listed again.
func expectListed(t *testing.T, store *faultyStore, before map[Collection]int, collections ...Collection) {
	t.Helper()
	for _, c := range collections {
		if store.listings()[c] <= before[c] {
			t.Errorf("%s is not listed again", c)
		}
	}
}

func expectVersion(t *testing.T, r *Reader, want uint64) {
	t.Helper()
	if got := version(r); got != want {
		t.Errorf("version %d is in effect, want %d", got, want)
	}
}

// Guards against watches that wait on after a response to another call has stated a
// later era, and miss what was written below their revision.
func TestLaterEraIsReadAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		store, r := runInEra(t, func(Change) {}, &log)
		before := store.listings()
		store.restore("v3", 9)
		pass(probeInterval + agreementBound)
		expectListed(t, store, before, WatchedCollections...)
		expectVersion(t, r, 3)
		if changes, unstated := r.EraCounts(); changes != 1 || unstated != 0 || strings.Count(log.String(), "store-restored") != 1 {
			t.Errorf("%d changes of the era, %d responses without one, log %s", changes, unstated, &log)
		}
		store.put("v4")
		pass(configBound)
		expectVersion(t, r, 4)
	})
}

// Guards against a reader that, told of a later era by a peer, waits for its old watches
// or drops each response to them.
func TestEraFromAPeerEndsTheWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, r := runInEra(t, func(Change) {}, io.Discard)
		before, held := store.listings(), r.Mark(Configuration)
		store.restore("v3", 9)
		position := model.Position{Era: 2, Revision: 9}
		if !r.ApplyChange(Change{Collection: Configuration, Before: held, After: Mark{AsOf: position}, Objects: list(9, object("main", 9, "v3")).InEra(2).Objects}, "peer") {
			t.Fatal("the change of the later era is not applied")
		}
		pass(4 * callLatency)
		expectListed(t, store, before, Servers, Evacuations)
		store.put("v4")
		pass(configBound)
		expectVersion(t, r, 4)
	})
}

// Guards against a listing of the era before that arrives after the news of a later one,
// and is taken, or is not read again.
func TestListingAcrossAnEraIsReadAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var changes []Change
		store, r := runInEra(t, func(c Change) { changes = append(changes, c) }, io.Discard)
		store.mu.Lock()
		store.listDelay = 2 * probeInterval
		store.revision++
		store.config = object("main", store.revision, "v2")
		store.mu.Unlock()
		// The version is in the listing only.
		store.dropHistory()
		pass(probeInterval)
		before := store.listings()
		changes = nil
		store.restore("v3", 9)
		pass(4*probeInterval + agreementBound)
		expectListed(t, store, before, WatchedCollections...)
		expectVersion(t, r, 3)
		for _, c := range changes {
			if c.After.AsOf.Era != 2 {
				t.Errorf("change to %v after the store has come back in era 2", c.After.AsOf)
			}
		}
	})
}

// Guards against a message of a peer in the era before that changes anything.
func TestEarlierEraOfAPeerChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, r := runInEra(t, func(Change) {}, io.Discard)
		store.restore("v3", 9)
		pass(probeInterval + agreementBound)
		held := r.Mark(Configuration)
		stale := list(99, object("main", 99, "v9")).InEra(1)
		if _, changed := r.ApplyListing(Configuration, stale, "peer"); changed {
			t.Error("a listing is applied")
		}
		if r.ApplyChange(Change{Collection: Configuration, Before: held, After: Mark{AsOf: stale.Position}, Objects: stale.Objects}, "peer") {
			t.Error("a change is applied")
		}
		r.Confirm(Configuration, stale.Position)
		r.observeEra(1, true)
		if got := r.Era(); got != 2 {
			t.Errorf("era %d is known, want 2", got)
		}
		if got := r.Mark(Configuration); got != held {
			t.Errorf("the mark is %+v, want %+v", got, held)
		}
		expectVersion(t, r, 3)
	})
}

// Guards against a store that states no era and is not read, or fills the log.
func TestUnstatedErasAreCountedAndLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		store := newFaultyStore()
		r := runLoggingReader(t, store, always, func(Change) {}, &log)
		store.put("v2")
		pass(time.Minute)
		expectVersion(t, r, 2)
		calls, probes := store.counts()
		if _, unstated := r.EraCounts(); unstated < calls+probes-len(WatchedCollections)-1 {
			t.Errorf("%d responses without an era, want those to %d calls", unstated, calls+probes)
		}
		if lines := strings.Count(log.String(), "store-era-unstated"); lines != 1 {
			t.Errorf("%d lines in the log, want 1", lines)
		}
	})
}

// Guards against a reader that stops to follow the store after drills, lost history,
// outages and late news of peers in some order.
func TestReaderFollowsARestoredStore(t *testing.T) {
	for seed := range uint64(150) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 0))
			store, r := runInEra(t, func(Change) {}, io.Discard)
			var copies []Batch
			written := uint64(1)
			for range 25 {
				pass(time.Duration(random.IntN(1500)) * time.Millisecond)
				batch := store.current()
				copies = append(copies, batch)
				older := copies[random.IntN(len(copies))]
				switch random.IntN(6) {
				case 0:
					written++
					store.put(fmt.Sprint("v", written))
				case 1:
					o := older.Objects[0]
					store.restore(string(o.Body), o.Position.Revision)
				case 2:
					// The revision has passed that of the watches.
					store.restore(string(older.Objects[0].Body), batch.Position.Revision+1)
				case 3:
					store.dropHistory()
				case 4:
					// A shorter silence shows at the end of the watches only.
					store.setUnresponsive(true)
					pass(time.Second + time.Duration(random.IntN(1000))*time.Millisecond)
					store.setUnresponsive(false)
				case 5:
					r.ApplyListing(Configuration, older, "peer")
				}
			}
			store.put(fmt.Sprint("v", written+1))
			pass(configBound)
			want := store.current()
			if got := r.Snapshot(Configuration); version(r) != written+1 || got.Position.Era != want.Position.Era || got.Objects[0].Position != want.Objects[0].Position {
				t.Errorf("seed %d: version %d, %+v is in effect, the store has version %d, %+v", seed, version(r), got, written+1, want)
			}
		})
	}
}

// Guards against a store that goes back without a word and is not followed until its
// revision has passed the old one.
func TestStoreThatGoesBackWithoutAnEraIsFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFaultyStore()
		r := runReader(t, store, always)
		for range 50 {
			store.touch()
		}
		store.put("v2")
		pass(configBound)
		store.mu.Lock()
		store.revision, store.config = 4, object("main", 1, "v1")
		store.mu.Unlock()
		store.put("v3")
		pass(configBound)
		expectVersion(t, r, 3)
		if changes, _ := r.EraCounts(); changes != 1 || r.Era() != 1 {
			t.Errorf("%d changes of the era to %d, want one to 1", changes, r.Era())
		}
		store.put("v4")
		pass(configBound)
		expectVersion(t, r, 4)
	})
}
