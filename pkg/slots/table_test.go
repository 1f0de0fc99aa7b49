package slots

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wisteriacrank/wisteriacrank/pkg/document"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

var start = time.Unix(1000, 0)

func spec(name string, slots int) document.Server {
	return document.Server{Name: model.ServerID(name), Slots: slots, Connections: 100}
}

func acquire(t *testing.T, table *Table, now time.Time, exclusive bool) model.ServerID {
	t.Helper()
	id, ok := table.Acquire(now, exclusive)
	if !ok {
		t.Fatal("no server")
	}
	return id
}

// Guards against two dispatchers that both use all slots of a server.
func TestTakeoverUsesHalf(t *testing.T) {
	table := New()
	table.Put(start, spec("a", 4), Takeover)
	if got := table.Free(start.Add(TakeoverTime - 1)); got != 2 {
		t.Errorf("%d free slots during the takeover time, want 2", got)
	}
	if got := table.Free(start.Add(TakeoverTime)); got != 4 {
		t.Errorf("%d free slots after the takeover time, want 4", got)
	}
}

// Guards against a choice that loads one server more than another relative to
// their slots.
func TestAcquireSpreadsLoad(t *testing.T) {
	table := New()
	table.Put(start, spec("a", 4), Unshared)
	table.Put(start, spec("b", 2), Unshared)
	got := make(map[model.ServerID]int)
	for range 3 {
		got[acquire(t, table, start, false)]++
	}
	if got["a"] != 2 || got["b"] != 1 {
		t.Errorf("runs %v, want 2 on a and 1 on b", got)
	}
}

// Guards against a server that sheds and still gets as many requests.
func TestShedLowersLoad(t *testing.T) {
	table := New()
	table.Put(start, spec("a", 4), Unshared)
	for range 3 {
		acquire(t, table, start, false)
	}
	table.Release(start, "a", Shed)
	if got := table.Capacity(start); got != 2 {
		t.Errorf("limit %d after a shed with 2 other runs, want 2", got)
	}
	if got := table.Capacity(start.Add(firstBackoff)); got != 3 {
		t.Errorf("limit %d after the first backoff interval, want 3", got)
	}
	later := start.Add(10 * firstBackoff)
	table.Release(later, "a", Completed)
	if got := table.Capacity(later); got != 4 {
		t.Errorf("limit %d after recovery, want 4", got)
	}
}

// Guards against a report that raises a limit, stops a server for good when
// stale or wrong, or counts the dispatcher's own earlier runs as load of others.
func TestReportOnlyLowersForAWhile(t *testing.T) {
	table := New()
	table.Put(start, spec("a", 4), Unshared)
	table.Report(start, "a", 3)
	if got := table.Capacity(start); got != 1 {
		t.Errorf("limit %d with 3 runs of others, want 1", got)
	}
	table.Report(start, "a", 100)
	if got := table.Capacity(start); got != 1 {
		t.Errorf("limit %d with a wrong report, want 1", got)
	}
	if got := table.Capacity(start.Add(reportLifetime)); got != 4 {
		t.Errorf("limit %d after the report's lifetime, want 4", got)
	}
	now := start.Add(time.Minute)
	for range 4 {
		acquire(t, table, now, false)
	}
	for range 4 {
		table.Release(now, "a", Completed)
	}
	table.Report(now.Add(time.Second), "a", 4)
	if got := table.Capacity(now.Add(time.Second)); got != 4 {
		t.Errorf("limit %d after a late report of own runs, want 4", got)
	}
}

// Guards against an exclusive run that shares a server or never gets one.
func TestExclusiveRun(t *testing.T) {
	table := New()
	table.Put(start, spec("a", 2), Unshared)
	table.Put(start, spec("b", 2), Unshared)
	first, second := acquire(t, table, start, false), acquire(t, table, start, false)
	if table.HasIdleServer(start) {
		t.Fatal("a busy server counts as idle")
	}
	table.HoldForExclusive(start)
	if got := table.Free(start); got != 1 {
		t.Errorf("%d free slots while a server is held, want 1", got)
	}
	table.Release(start, first, Completed)
	table.Release(start, second, Completed)
	held := acquire(t, table, start, true)
	other := acquire(t, table, start, false)
	if held == other {
		t.Errorf("server %s has the exclusive run and another one", held)
	}
	table.Release(start, held, Completed)
	if got := table.Free(start); got != 3 {
		t.Errorf("%d free slots after the exclusive run, want 3", got)
	}
}

// Guards against more runs than a server has slots and against runs on a leaving
// server, for any order of calls.
func TestLimitsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := New()
		now := start
		names := []model.ServerID{"a", "b", "c"}
		busy := make(map[model.ServerID]int)
		leaving := make(map[model.ServerID]bool)
		for _, name := range names {
			table.Put(now, spec(string(name), 3), Takeover)
		}
		name := rapid.SampledFrom(names)
		t.Repeat(map[string]func(*rapid.T){
			"acquire": func(t *rapid.T) {
				id, ok := table.Acquire(now, rapid.Bool().Draw(t, "exclusive"))
				if !ok {
					return
				}
				busy[id]++
				half := now.Sub(start) < TakeoverTime && busy[id] > 1
				if leaving[id] || busy[id] > 3 || half {
					t.Fatalf("server %s: %d runs, leaving %v", id, busy[id], leaving[id])
				}
			},
			"release": func(t *rapid.T) {
				id := name.Draw(t, "server")
				if busy[id] > 0 {
					busy[id]--
					table.Release(now, id, rapid.SampledFrom([]Outcome{Completed, Shed}).Draw(t, "outcome"))
				}
			},
			"report": func(t *rapid.T) { table.Report(now, name.Draw(t, "server"), rapid.IntRange(-5, 9).Draw(t, "busy")) },
			"leave": func(t *rapid.T) {
				id := name.Draw(t, "server")
				leaving[id] = !leaving[id]
				table.SetLeaving(id, leaving[id])
			},
			"cold": func(t *rapid.T) { table.SetCold(now, name.Draw(t, "server")) },
			"hold": func(*rapid.T) { table.HoldForExclusive(now) },
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
		})
	})
}
