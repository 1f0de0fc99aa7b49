package ramp

import (
	"flag"
	"fmt"
	"math"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain sets a fixed seed, so that every run draws the same changes.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(m.Run())
}

var start = time.Unix(1_000_000, 0)

const tolerance = 1e-9

// change is an accepted change of weights, as in the stored object.
type change struct {
	before, after map[string]float64
	accepted      time.Time
}

func weights(t *rapid.T) map[string]float64 {
	w := map[string]float64{"a": rapid.Float64Range(0, 10).Draw(t, "a"), "b": rapid.Float64Range(0, 10).Draw(t, "b")}
	if rapid.Bool().Draw(t, "third region") {
		w["c"] = rapid.Float64Range(0, 10).Draw(t, "c")
	}
	w["d"] = 0.5
	return w
}

// Guards against changes that together move more than the cap per interval:
// operators change weights repeatedly, some of them concurrently from the same
// version, of which one change is accepted.
func TestRepeatedAndRacingChangesStayUnderTheCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(0.01, 1).Draw(t, "limit")
		const interval = 10 * time.Second
		const step = time.Second
		current := change{after: weights(t)}
		at := func(c change, now time.Time) map[string]float64 {
			return Effective(c.before, c.after, c.accepted, limit, interval, now)
		}
		var history []map[string]float64
		for second := range 60 {
			now := start.Add(time.Duration(second) * step)
			if rapid.IntRange(0, 3).Draw(t, "change") == 0 {
				concurrent := []change{{at(current, now), weights(t), now}, {at(current, now), weights(t), now}}
				current = concurrent[rapid.IntRange(0, 1).Draw(t, "winner")]
			}
			history = append(history, at(current, now))
		}
		for i := range history {
			for j := i + 1; j < len(history); j++ {
				allowed := limit * float64(j-i) * step.Seconds() / interval.Seconds()
				if moved := Moved(history[i], history[j]); moved > allowed+tolerance {
					t.Fatalf("share %g of the traffic moved in %d s, limit %g", moved, j-i, allowed)
				}
			}
		}
	})
}

// Guards against a ramp that never ends, starts early, or is delayed by a second
// change to the same weights.
func TestRampReachesTheNewWeights(t *testing.T) {
	before, after := map[string]float64{"a": 1}, map[string]float64{"a": 1, "b": 3}
	at := func(d time.Duration) float64 {
		return Effective(before, after, start, 0.1, 10*time.Second, start.Add(d))["b"]
	}
	for d, want := range map[time.Duration]float64{-time.Minute: 0, 0: 0, 10 * time.Second: 0.1, 75 * time.Second: 0.75, time.Hour: 0.75} {
		if got := at(d); math.Abs(got-want) > tolerance {
			t.Errorf("share of b after %v is %g, want %g", d, got, want)
		}
	}
	middle := start.Add(20 * time.Second)
	repeated := Effective(Effective(before, after, start, 0.1, 10*time.Second, middle), after, middle, 0.1, 10*time.Second, start.Add(30*time.Second))
	if math.Abs(repeated["b"]-at(30*time.Second)) > tolerance {
		t.Errorf("a repeated change changed the share of b after 30 s from %g to %g", at(30*time.Second), repeated["b"])
	}
}
