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
	// The fixed seed makes runs repeatable; the command line flag overrides it.
	_ = flag.Set("rapid.seed", "1")
}

var start = time.Unix(1_800_000_000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// Guards against new work for a leaving server while other sources still report it
// as live, however often and however late.
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

// Guards against a late response, sent before the server announced that it leaves,
// that makes it usable again.
func TestStaleLiveDoesNotOverrideLeaving(t *testing.T) {
	servers := NewServers()
	servers.Observe("s", ResponseHeader, true, at(10))
	servers.Observe("s", ResponseHeader, false, at(9.9))
	servers.Observe("s", ResponseHeader, false, at(10))
	if servers.MayUse("s", at(100)) {
		t.Error("a report that is not newer made the server usable")
	}
	servers.Observe("s", ResponseHeader, false, at(20))
	if !servers.MayUse("s", at(100)) {
		t.Error("a newer report of the same source did not make the server usable")
	}
}

// Guards against work for a server between the reports of a source that
// alternates.
func TestAlternatingSourceKeepsServerUnused(t *testing.T) {
	servers := NewServers()
	for second := range 30 {
		servers.Observe("s", Health, second%2 == 0, at(float64(second)))
		if servers.MayUse("s", at(float64(second))) {
			t.Fatalf("usable at second %d", second)
		}
	}
	if !servers.MayUse("s", at(29+reuseDelay.Seconds())) {
		t.Error("not usable after the last report and the delay")
	}
}

// Guards against a restarted server that stays unused forever, and against a
// restart that cancels reports of the document or the platform.
func TestRestartCancelsOwnReportsOnly(t *testing.T) {
	for source, want := range map[Source]bool{Document: false, HostList: false, Health: true, ResponseHeader: true} {
		servers := NewServers()
		servers.Observe("s", source, true, at(10))
		servers.Restarted("s", at(9))
		if servers.MayUse("s", at(40)) {
			t.Errorf("%s: a restart before the report cancels it", source)
		}
		servers.Restarted("s", at(30))
		if got := servers.MayUse("s", at(40)); got != want {
			t.Errorf("%s: may use %v after a restart, want %v", source, got, want)
		}
	}
}

// Guards against a decision that depends on the order in which reports arrive,
// which differs between dispatchers.
func TestDecisionIsIndependentOfArrivalOrder(t *testing.T) {
	type report struct {
		source  Source
		leaving bool
		second  int
	}
	rapid.Check(t, func(t *rapid.T) {
		reports := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) report {
			return report{
				source:  Source(rapid.IntRange(0, int(sourceCount)-1).Draw(t, "source")),
				leaving: rapid.Bool().Draw(t, "leaving"),
				second:  rapid.IntRange(0, 30).Draw(t, "second"),
			}
		}), 1, 20).Draw(t, "reports")
		shuffled := rapid.Permutation(reports).Draw(t, "order")
		a, b := NewServers(), NewServers()
		for i := range reports {
			a.Observe("s", reports[i].source, reports[i].leaving, at(float64(reports[i].second)))
			b.Observe("s", shuffled[i].source, shuffled[i].leaving, at(float64(shuffled[i].second)))
		}
		for _, source := range []Source{Document, HostList, Health, ResponseHeader} {
			newest := report{second: -1}
			for _, s := range reports {
				if s.source == source && (s.second > newest.second || s.second == newest.second && s.leaving) {
					newest = s
				}
			}
			if newest.leaving && a.MayUse("s", at(60)) {
				t.Fatalf("usable although the newest report of the %s is that it is leaving", source)
			}
		}
		now := at(float64(rapid.IntRange(0, 60).Draw(t, "now")))
		for source := range sourceCount {
			if a.server("s").isLeaving(source, now) != b.server("s").isLeaving(source, now) {
				t.Fatalf("two orders of arrival give two decisions about the %s", source)
			}
		}
	})
}

// Guards against checks that take so long that a leaving server gets work after
// 3 s: one interval, one unanswered check and one dispatch in progress.
func TestCheckTimesFitTheLimit(t *testing.T) {
	if total := CheckInterval + CheckTimeout + time.Second; total >= 3*time.Second {
		t.Errorf("a drain is detected after up to %v", total)
	}
}

func checkActions(t *testing.T, got []Action, want ...Action) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Errorf("actions %v, want %v", got, want)
	}
}

// Guards against a stop that interrupts a request: one of a caller with a cached
// lookup response, or one that was accepted.
func TestStopServesCachedAnswersAndAcceptedRequests(t *testing.T) {
	h := NewHost(2 * time.Second)
	if h.Begin() || h.State() != model.HostStarting {
		t.Error("a starting host accepted a request")
	}
	checkActions(t, h.Configured(10*time.Second, start), Announce)
	checkActions(t, h.Configured(10*time.Second, start))
	if !h.Begin() {
		t.Fatal("a ready host refused")
	}
	checkActions(t, h.Stop(at(100)), Announce, HandOver)
	checkActions(t, h.Stop(at(105)))
	checkActions(t, h.Tick(at(111.9)))
	if !h.Begin() || h.State() != model.HostStopping {
		t.Error("a request was refused although a cached response may name the host")
	}
	checkActions(t, h.Tick(at(112)), Refuse)
	if h.Begin() || h.State() != model.HostStopping {
		t.Error("a request was accepted after AcceptUntil")
	}
	checkActions(t, h.End())
	checkActions(t, h.Tick(at(200)))
	checkActions(t, h.End(), Announce, Exit)
	if h.State() != model.HostLeft || h.Begin() {
		t.Error("the host did not reach the state left")
	}
}

// Guards against an idle host that does not exit when the cached responses have
// expired, and against one that exits before.
func TestIdleHostExitsWhenCachedResponsesExpire(t *testing.T) {
	h := NewHost(2 * time.Second)
	h.Configured(10*time.Second, start)
	h.Begin()
	h.Stop(at(100))
	checkActions(t, h.End())
	checkActions(t, h.Tick(at(111)))
	checkActions(t, h.Tick(at(112)), Refuse, Announce, Exit)
	checkActions(t, NewHost(time.Second).Stop(start), Announce, Exit)
}

// Guards against a shortened cache time that leads to refusals for callers that
// hold a response with the longer one.
func TestShorterCacheTimeKeepsOldResponsesValid(t *testing.T) {
	h := NewHost(2 * time.Second)
	h.Configured(60*time.Second, start)
	h.Configured(time.Second, at(100))
	h.Stop(at(110))
	if got, want := h.AcceptUntil(), at(162); !got.Equal(want) {
		t.Errorf("accepts for %v after the stop, want %v", got.Sub(at(110)), want.Sub(at(110)))
	}
}
