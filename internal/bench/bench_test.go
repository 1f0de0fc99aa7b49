package bench

import (
	"testing"
	"time"
)

// Targets of the section Measures of the design page.
const (
	maxUrgentP99Ratio = 1.2
	minKeptShare      = 0.95
	minKeptOrderShare = 0.99
	minSlotUseWaiting = 0.95
)

// shortened returns the named scenario with an earlier event and end.
func shortened(t *testing.T, name string) Scenario {
	t.Helper()
	for _, s := range Scenarios() {
		if s.Name == name {
			s.Event, s.End = 6*time.Second, 22*time.Second
			return s
		}
	}
	t.Fatalf("no scenario %s", name)
	return Scenario{}
}

// Guards against a flood that uses the guaranteed shares of other ranks, slots
// that are idle while requests wait, and requests that get no response.
func TestFloodsKeepGuaranteedShares(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"upload-flood-3x", "check-flood-3x"} {
		for _, deployment := range Deployments() {
			s := shortened(t, name)
			r := Run(deployment, s, Product(), 1)
			for rank, k := range r.Ranks {
				want := minKeptShare
				if rank == rankOrder {
					want = minKeptOrderShare
				}
				if rank != s.FloodRank && k.KeptShare < want {
					t.Errorf("%s, %s: %s keeps %.3f, want %.2f", deployment.Name, name, k.Rank, k.KeptShare, want)
				}
			}
			if r.SlotUseWaiting < minSlotUseWaiting {
				t.Errorf("%s, %s: slot use %.3f while requests wait, want %.2f", deployment.Name, name, r.SlotUseWaiting, minSlotUseWaiting)
			}
			if r.Unanswered != 0 {
				t.Errorf("%s, %s: %d requests without a response", deployment.Name, name, r.Unanswered)
			}
		}
	}
}

// Guards against uploads that delay urgent work during an upload flood.
func TestUploadFloodKeepsUrgentLatency(t *testing.T) {
	t.Parallel()
	for _, deployment := range Deployments() {
		r := Run(deployment, shortened(t, "upload-flood-3x"), Product(), 1)
		if k := r.Ranks[rankCheck]; k.P99Ratio > maxUrgentP99Ratio {
			t.Errorf("%s: p99 of %s is %.2f of its value without the flood, want %.2f", deployment.Name, k.Rank, k.P99Ratio, maxUrgentP99Ratio)
		}
	}
}

// Guards against results that depend on anything but the seed.
func TestRunsAreDeterministic(t *testing.T) {
	t.Parallel()
	s := shortened(t, "upload-flood-3x")
	first, second := Run(Deployments()[0], s, Product(), 2), Run(Deployments()[0], s, Product(), 2)
	for i := range first.Ranks {
		if a, b := first.Ranks[i], second.Ranks[i]; a.Goodput != b.Goodput || a.P99Ms != b.P99Ms {
			t.Errorf("two runs with one seed differ: %+v, %+v", a, b)
		}
	}
}
