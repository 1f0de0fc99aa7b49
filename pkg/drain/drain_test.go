package drain

import (
	"flag"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

func init() {
	// Runs are the same each time; the flag on the command line takes precedence.
	_ = flag.Set("rapid.seed", "1")
}

var start = time.Unix(1_800_000_000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// Guards against new work for a leaving server while the other sources still
// say that it is live, however often and however late they say it.
func TestOneSourceIsEnough(t *testing.T) {
	for source := range sourceCount {
		servers := NewServers()
		for second := range 60 {
			for other := range sourceCount {
				if other != source || second < 10 {
					servers.Observe("s", other, false, at(float64(second)+0.5))
				}
			}
			if second == 10 {
				servers.Observe("s", source, true, at(10))
			}
			if got := servers.MayUse("s", at(float64(second)+0.5)); got != (second < 10) {
				t.Fatalf("%s: may use %v at second %d", source, got, second)
			}
		}
		if by, ok := servers.Leaving("s", at(60)); !ok || by != source {
			t.Errorf("leaving by %s, want %s", by, source)
		}
	}
}

// Guards against a late answer from before the announcement that makes a
// leaving server usable again.
func TestStaleLiveDoesNotOverrideLeaving(t *testing.T) {
	servers := NewServers()
	servers.Observe("s", ResponseHeader, true, at(10))
	servers.Observe("s", ResponseHeader, false, at(9.9))
	servers.Observe("s", ResponseHeader, false, at(10))
	if servers.MayUse("s", at(100)) {
		t.Error("a statement that is not newer made the server usable")
	}
	servers.Observe("s", ResponseHeader, false, at(20))
	if !servers.MayUse("s", at(100)) {
		t.Error("a newer statement of the same source did not count")
	}
}

// Guards against a source that alternates and lets work through in between.
func TestAlternatingSourceKeepsServerUnused(t *testing.T) {
	servers := NewServers()
	for second := range 30 {
		servers.Observe("s", Health, second%2 == 0, at(float64(second)))
		if servers.MayUse("s", at(float64(second))) {
			t.Fatalf("usable at second %d", second)
		}
	}
	if !servers.MayUse("s", at(29+returnDelay.Seconds())) {
		t.Error("not usable after the last statement and the delay")
	}
}

// Guards against a restarted server that stays unused for ever, and against a
// restart that cancels what operators or the platform say.
func TestRestartCancelsOwnStatementsOnly(t *testing.T) {
	for source, want := range map[Source]bool{Document: false, HostList: false, Health: true, ResponseHeader: true} {
		servers := NewServers()
		servers.Observe("s", source, true, at(10))
		servers.Restarted("s", at(9))
		if servers.MayUse("s", at(40)) {
			t.Errorf("%s: a restart before the statement counts", source)
		}
		servers.Restarted("s", at(30))
		if got := servers.MayUse("s", at(40)); got != want {
			t.Errorf("%s: may use %v after a restart, want %v", source, got, want)
		}
	}
}

// Guards against a decision that depends on the order in which statements
// arrive, which differs between dispatchers.
func TestOrderOfArrivalDoesNotMatter(t *testing.T) {
	type statement struct {
		source  Source
		leaving bool
		second  int
	}
	rapid.Check(t, func(t *rapid.T) {
		list := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) statement {
			return statement{
				source:  Source(rapid.IntRange(0, int(sourceCount)-1).Draw(t, "source")),
				leaving: rapid.Bool().Draw(t, "leaving"),
				second:  rapid.IntRange(0, 30).Draw(t, "second"),
			}
		}), 1, 20).Draw(t, "statements")
		shuffled := rapid.Permutation(list).Draw(t, "order")
		a, b := NewServers(), NewServers()
		for i := range list {
			a.Observe("s", list[i].source, list[i].leaving, at(float64(list[i].second)))
			b.Observe("s", shuffled[i].source, shuffled[i].leaving, at(float64(shuffled[i].second)))
		}
		for _, source := range []Source{Document, HostList, Health, ResponseHeader} {
			newest := statement{second: -1}
			for _, s := range list {
				if s.source == source && (s.second > newest.second || s.second == newest.second && s.leaving) {
					newest = s
				}
			}
			if newest.leaving && a.MayUse("s", at(60)) {
				t.Fatalf("usable although the newest statement of the %s is that it leaves", source)
			}
		}
		now := at(float64(rapid.IntRange(0, 60).Draw(t, "now")))
		for source := range sourceCount {
			if a.server("s").leaves(source, now) != b.server("s").leaves(source, now) {
				t.Fatalf("two orders of arrival give two decisions about the %s", source)
			}
		}
	})
}

// Guards against checks that take so long that a leaving server gets work
// after 3 s: one interval, one unanswered check, one dispatch under way.
func TestCheckTimesFitTheLimit(t *testing.T) {
	if total := CheckInterval + CheckTimeout + time.Second; total >= 3*time.Second {
		t.Errorf("a drain is seen after up to %v", total)
	}
}

func mustDo(t *testing.T, got []Action, want ...Action) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Errorf("actions %v, want %v", got, want)
	}
}

// Guards against a stop that interrupts a request: one of a caller with a
// cached answer, or one that was accepted.
func TestStopServesCachedAnswersAndAcceptedRequests(t *testing.T) {
	h := NewHost(2 * time.Second)
	if h.Begin() || h.State() != model.HostStarting {
		t.Error("a starting host accepted a request")
	}
	mustDo(t, h.Configured(10*time.Second, start), Announce)
	mustDo(t, h.Configured(10*time.Second, start))
	if !h.Begin() {
		t.Fatal("a ready host refused")
	}
	mustDo(t, h.Stop(at(100)), Announce, HandOver)
	mustDo(t, h.Stop(at(105)))
	mustDo(t, h.Tick(at(111.9)))
	if !h.Begin() || h.State() != model.HostStopping {
		t.Error("a request was refused although a cached answer may name the host")
	}
	mustDo(t, h.Tick(at(112)), Refuse)
	if h.Begin() || h.State() != model.HostStopping {
		t.Error("a request was accepted after the time")
	}
	mustDo(t, h.End())
	mustDo(t, h.Tick(at(200)))
	mustDo(t, h.End(), Announce, Exit)
	if h.State() != model.HostLeft || h.Begin() {
		t.Error("the host did not leave")
	}
}

// Guards against a stop that waits for nothing, and against exit before the
// cached answers expired because no request runs.
func TestIdleHostLeavesAtTheEndOfTheTime(t *testing.T) {
	h := NewHost(2 * time.Second)
	h.Configured(10*time.Second, start)
	h.Begin()
	h.Stop(at(100))
	mustDo(t, h.End())
	mustDo(t, h.Tick(at(111)))
	mustDo(t, h.Tick(at(112)), Refuse, Announce, Exit)
	mustDo(t, NewHost(time.Second).Stop(start), Announce, Exit)
}

// Guards against a shortened cache time that cuts off callers who hold an
// answer with the longer one.
func TestShorterCacheTimeKeepsOldAnswersValid(t *testing.T) {
	h := NewHost(2 * time.Second)
	h.Configured(60*time.Second, start)
	h.Configured(time.Second, at(100))
	h.Stop(at(110))
	if got, want := h.AcceptUntil(), at(162); !got.Equal(want) {
		t.Errorf("accepts for %v after the stop, want %v", got.Sub(at(110)), want.Sub(at(110)))
	}
}
