package atmostonce

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

var start = time.Unix(1_800_000_000, 0)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "7")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// Guards against a second run of an ID. Under random arrivals, outcomes and
// clock steps in both directions and with small tables, an ID that may have run
// must not be started again, and memory must stay bounded.
func TestNoIDRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{RecordBytes: 4 * recordOverheadBytes, TotalResponseBytes: 64, MaxResponseBytes: 32}
		records := NewRecords[string](limits)
		now, ran, running := start, map[string]bool{}, map[string]bool{}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				issued := now.Add(-time.Duration(rapid.IntRange(-3, 40*60).Draw(t, "age")) * time.Second).Truncate(5 * time.Minute)
				id := fmt.Sprintf("h.1.%d.%d", issued.Unix(), rapid.IntRange(0, 2).Draw(t, "unique"))
				if records.Arrive(id, issued, BodyHash{}, now).Action == Run {
					if ran[id] || running[id] {
						t.Fatalf("%s was started twice", id)
					}
					running[id] = true
				}
			},
			"finish": func(t *rapid.T) {
				for _, id := range slices.Sorted(maps.Keys(running)) {
					delete(running, id)
					if rapid.Bool().Draw(t, "not run") {
						records.NotRun(id)
					} else {
						ran[id] = true
						records.Finish(id, "answer", rapid.IntRange(0, 40).Draw(t, "bytes"))
					}
				}
			},
			"advance": func(t *rapid.T) { now = now.Add(time.Duration(rapid.IntRange(0, 45).Draw(t, "minutes")) * time.Minute) },
			"set back": func(t *rapid.T) {
				now = now.Add(-time.Duration(rapid.IntRange(0, 30).Draw(t, "minutes")) * time.Minute)
			},
			"": func(t *rapid.T) {
				if records.recordBytes > limits.RecordBytes || records.responseBytes > limits.TotalResponseBytes {
					t.Fatalf("%d bytes of records and %d bytes of responses exceed the limits", records.recordBytes, records.responseBytes)
				}
			},
		})
	})
}

// Guards against wrong decisions at the boundary of each rule.
func TestArrivalsAreDecidedByTheRecord(t *testing.T) {
	one, other := HashParts([]byte("1")), HashParts([]byte("2"))
	refused := func(code result.Code) Decision[string] { return Decision[string]{Action: Refuse, Code: code} }
	replay := func(o Outcome[string]) Decision[string] { return Decision[string]{Action: Replay, Outcome: o} }
	records := NewRecords[string](Limits{RecordBytes: 3*recordOverheadBytes + 3, TotalResponseBytes: 10, MaxResponseBytes: 10})
	check := func(what, id string, issued time.Time, hash BodyHash, now time.Time, want Decision[string]) {
		t.Helper()
		if got := records.Arrive(id, issued, hash, now); got != want {
			t.Errorf("%s: %+v, want %+v", what, got, want)
		}
	}
	run := Decision[string]{Action: Run}
	check("token at the end of its window", "a", start, one, start.Add(TokenWindow), run)
	check("second arrival", "a", start, one, start, Decision[string]{Action: Join})
	check("other body", "a", start, other, start, refused(result.RequestIDReused))
	records.NotRun("a")
	check("resend after not run", "a", start, one, start, run)
	records.Finish("a", "answer", 10)
	check("resend after the run", "a", start, one, start.Add(TokenWindow+time.Minute), replay(Outcome[string]{Stored: true, Response: "answer"}))
	records.NotRun("a")
	check("not run after an outcome", "a", start, one, start, replay(Outcome[string]{Stored: true, Response: "answer"}))
	check("old token", "b", start, one, start.Add(TokenWindow+time.Second), refused(result.TokenExpired))
	check("token of a clock 1 s ahead", "b", start.Add(time.Second), one, start, run)
	records.Finish("b", "answer", 1)
	check("response over the limit", "b", start, one, start, replay(Outcome[string]{}))
	check("token of a clock 2 s ahead", "c", start.Add(2*time.Second), one, start, refused(result.OwnerRequired))
	check("third record", "c", start, one, start, run)
	check("full table", "d", start, one, start, refused(result.RecordsFull))
	check("known ID in a full table", "b", start, one, start, replay(Outcome[string]{}))
	late := start.Add(RecordLifetime)
	check("run in progress past its lifetime", "c", start, one, late, Decision[string]{Action: Join})
	check("clock set back after the record expired", "e", late, one, late, run)
	check("ID with an expired record", "b", start.Add(time.Second), one, start.Add(time.Second), refused(result.TokenExpired))
}

// Guards against stored responses that exceed their memory limits and against
// records without a response that are reported with one.
func TestStoredResponsesAreBounded(t *testing.T) {
	responses := NewResponses[string](Limits{RecordBytes: 3*recordOverheadBytes + 3, TotalResponseBytes: 10, MaxResponseBytes: 8})
	for id, bytes := range map[string]int{"a": 8, "b": 9} {
		responses.Store(id, id, bytes, start)
	}
	responses.Store("c", "c", 3, start)
	responses.Store("d", "d", 1, start)
	for id, want := range map[string]struct{ known, stored bool }{"a": {true, true}, "b": {true, false}, "c": {true, false}, "d": {}} {
		if got, known := responses.Recall(id, start); known != want.known || got.Stored != want.stored {
			t.Errorf("%s: known %v, stored %v, want %+v", id, known, got.Stored, want)
		}
	}
	if _, known := responses.Recall("a", start.Add(RecordLifetime)); known || responses.Bytes() != 0 {
		t.Errorf("after the lifetime: known %v, %d bytes", known, responses.Bytes())
	}
}
