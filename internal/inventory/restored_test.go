package inventory

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/fleet"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// removed is an object that was removed.
func removed(name string, revision uint64) Object {
	return Object{Name: name, Position: at(revision), Deleted: true}
}

// summary describes what a view has of a collection.
func summary(v *View, c Collection) string {
	var found []string
	switch c {
	case Configuration:
		return fmt.Sprint("v", v.Config.Version)
	case Servers:
		for name, server := range v.Servers {
			state := map[fleet.ServerState]string{fleet.Ready: "ready", fleet.Draining: "draining"}[server.State]
			found = append(found, fmt.Sprintf("%s %s@%d", name, state, server.StartUnixMillis))
		}
	default:
		found = slices.Collect(maps.Keys(v.Evacuated))
	}
	slices.Sort(found)
	return strings.Join(found, ", ")
}

// restoredStep is what a host reads at a time, if anything, and uses after that.
type restoredStep struct {
	after time.Duration
	era   model.Era
	list  Batch
	// changes is true if the batch is not a listing.
	changes bool
	want    string
}

func listing(after time.Duration, era model.Era, want string, revision uint64, objects ...Object) restoredStep {
	return restoredStep{after: after, era: era, list: list(revision, objects...), want: want}
}

func change(after time.Duration, era model.Era, want string, revision uint64, objects ...Object) restoredStep {
	return restoredStep{after: after, era: era, list: list(revision, objects...), changes: true, want: want}
}

func wait(after time.Duration, want string) restoredStep {
	return restoredStep{after: after, want: want}
}

// Guards against servers, evacuations and configurations that change for a moment, or
// for good, because an older copy of the store contradicts what was known. The names of
// the cases are the failures.
func TestOlderCopyDoesNotUndoWhatWasKnown(t *testing.T) {
	const (
		s    = time.Second
		soon = 10 * time.Millisecond
	)
	ready, again, draining := object("a", 3, "ready@7"), object("a", 6, "ready@7"), object("a", 8, "draining@7")
	earlier, evacuation, v2 := object("a", 2, "ready@5"), object("west", 3, "{}"), object("main", 3, "v2")
	cases := map[Collection]map[string][]restoredStep{
		Servers: {
			"live server is dropped": {
				listing(0, 1, "a ready@7", 9, ready), listing(s, 2, "a ready@7", 2),
				wait(s+lapseGrace-soon, "a ready@7"), wait(s+lapseGrace, ""),
			},
			"server that registered again lapses": {
				listing(0, 1, "a ready@7", 9, ready), listing(s, 2, "a ready@7", 2), change(2*s, 2, "a ready@7", 6, again),
				wait(s+lapseGrace, "a ready@7"), wait(time.Minute, "a ready@7"),
			},
			"live server lapses between two drills": {
				listing(0, 1, "a ready@7", 9, ready), listing(s, 2, "a ready@7", 2), listing(3*s, 3, "a ready@7", 2),
				wait(s+lapseGrace, "a ready@7"), wait(3*s+lapseGrace-soon, "a ready@7"), wait(3*s+lapseGrace, ""),
			},
			"server that had left gets requests": {
				listing(0, 1, "a draining@7", 8, draining), change(s, 1, "", 9, removed("a", 9)), listing(2*s, 2, "a draining@7", 4, ready),
				wait(2*s+leaveGrace-soon, "a draining@7"), wait(2*s+leaveGrace, "a ready@7"),
			},
			"draining server gets requests": {
				listing(0, 1, "a draining@7", 9, draining), listing(s, 2, "a draining@7", 4, ready),
				wait(s+leaveGrace-soon, "a draining@7"), wait(s+leaveGrace, "a ready@7"),
			},
			"server that expired in the copy stays": {
				listing(0, 1, "a draining@7", 9, draining), listing(s, 2, "a draining@7", 4, ready), change(4*s, 2, "", 6, removed("a", 6)),
				wait(s+leaveGrace, ""),
			},
			"server that writes again gets no requests": {
				listing(0, 1, "a draining@7", 9, draining), listing(s, 2, "a draining@7", 4, ready), change(2*s, 2, "a ready@7", 6, again),
			},
			"second listing ends the grace": {
				listing(0, 1, "a draining@7", 9, draining), listing(s, 2, "a draining@7", 4, ready), listing(2*s, 2, "a draining@7", 5, ready),
				change(3*s, 2, "a draining@7, b ready@1", 6, object("b", 6, "ready@1")), wait(s+leaveGrace, "a ready@7, b ready@1"),
			},
			"second drill ends the grace": {
				listing(0, 1, "a draining@7", 9, draining), listing(s, 2, "a draining@7", 4, ready), listing(5*s, 3, "a draining@7", 4, ready),
				wait(s+leaveGrace, "a draining@7"), wait(5*s+leaveGrace, "a ready@7"),
			},
			"departure is forgotten in the second drill": {
				listing(0, 1, "a draining@7", 9, draining), listing(s, 2, "", 2), listing(2*s, 3, "a draining@7", 4, ready),
			},
			"earlier start is used": {
				listing(0, 1, "a ready@7", 9, ready), listing(s, 2, "a ready@7", 2, earlier),
				wait(s+lapseGrace-soon, "a ready@7"), wait(s+lapseGrace, ""), listing(6*s, 3, "a draining@5", 2, earlier),
			},
			"earlier start is never used": {
				listing(0, 1, "a ready@7", 9, ready), listing(s, 2, "a ready@7", 2, earlier),
				wait(s+leaveGrace-soon, ""), wait(s+leaveGrace, "a ready@5"),
			},
			"late listing of the era before is taken": {
				listing(0, 1, "a ready@7", 9, ready), listing(s, 2, "a ready@7", 6, again), listing(2*s, 1, "a ready@7", 9, draining),
				change(3*s, 1, "a ready@7", 10, removed("a", 10)),
			},
			"departure counts forever": {
				listing(0, 1, "a draining@7", 9, draining), change(s, 1, "", 10, removed("a", 10)),
				wait(s+departureMemory, ""), listing(2*s+departureMemory, 2, "a ready@7", 4, ready),
			},
		},
		Evacuations: {
			"lifted evacuation is in effect": {
				listing(0, 1, "west", 5, evacuation), change(s, 1, "", 9, removed("west", 9)), listing(2*s, 2, "", 4, evacuation),
				wait(2*s+lapseGrace-soon, ""), wait(2*s+lapseGrace, "west"),
			},
			"evacuation that is lifted again is in effect": {
				listing(0, 1, "west", 5, evacuation), change(s, 1, "", 9, removed("west", 9)), listing(2*s, 2, "", 4, evacuation),
				change(3*s, 2, "", 5, removed("west", 5)), wait(2*s+lapseGrace, ""),
			},
			"new evacuation waits": {
				listing(0, 1, "west", 5, evacuation), change(s, 1, "", 9, removed("west", 9)), listing(2*s, 2, "", 4, evacuation),
				change(3*s, 2, "west", 5, object("west", 5, "{}")),
			},
			"second listing ends the grace of a lifted evacuation": {
				listing(0, 1, "west", 5, evacuation), change(s, 1, "", 9, removed("west", 9)), listing(2*s, 2, "", 4, evacuation),
				listing(3*s, 2, "", 4, evacuation), wait(2*s+lapseGrace, "west"),
			},
			"second drill ends the grace of a lifted evacuation": {
				listing(0, 1, "west", 5, evacuation), change(s, 1, "", 9, removed("west", 9)), listing(2*s, 2, "", 4, evacuation),
				listing(3*s, 3, "", 4, evacuation), wait(2*s+lapseGrace, ""), wait(3*s+lapseGrace, "west"),
			},
			"evacuation in effect ends": {
				listing(0, 1, "west", 9, evacuation), listing(s, 2, "west", 2), wait(s+lostEvacuationGrace-soon, "west"), wait(s+lostEvacuationGrace, ""),
			},
			"evacuation that is asked for again ends": {
				listing(0, 1, "west", 9, evacuation), listing(s, 2, "west", 2), change(2*s, 2, "west", 4, object("west", 4, "{}")),
				wait(s+lapseGrace, "west"),
			},
			"evacuation ends between two drills": {
				listing(0, 1, "west", 9, evacuation), listing(s, 2, "west", 2), listing(3*s, 3, "west", 2),
				wait(s+lostEvacuationGrace, "west"), wait(3*s+lostEvacuationGrace, ""),
			},
		},
		Configuration: {
			"older version is taken": {
				listing(0, 1, "v2", 5, v2), change(s, 1, "v5", 9, object("main", 9, "v5")), listing(2*s, 2, "v5", 4, v2),
				wait(time.Minute, "v5"), change(2*time.Minute, 2, "v7", 5, object("main", 5, "v7")),
			},
			"version that is written again below the lost revision is refused": {
				listing(0, 1, "v5", 9, object("main", 9, "v5")), listing(s, 2, "v5", 2), change(2*s, 2, "v7", 4, object("main", 4, "v7")),
			},
		},
	}
	for c, named := range cases {
		for name, steps := range named {
			t.Run(name, func(t *testing.T) {
				state, _ := newState(t)
				for _, step := range steps {
					now := start.Add(step.after)
					switch batch := step.list.InEra(step.era); {
					case step.era == 0:
						state.Expire(now)
					case step.changes:
						state.ApplyChanges(now, c, batch)
					default:
						state.ApplyListing(now, c, batch)
					}
					if got := summary(state.View(), c); got != step.want {
						t.Errorf("%q is in effect after %v, want %q", got, step.after, step.want)
					}
				}
			})
		}
	}
}
