package bench

import (
	"testing"
	"time"
)

// Targets of the design page under Measures.
const (
	urgentP99Ratio = 1.2
	keptOther      = 0.95
	keptOrder      = 0.99
	useWaiting     = 0.95
)

// short returns a shorter version of a scenario.
func short(t *testing.T, name string) Scenario {
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

// Guards against a flood that takes the guaranteed share of other ranks, slots
// that idle while requests wait, and requests that get no response.
func TestFloodsKeepGuaranteedShares(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"upload-flood-3x", "check-flood-3x"} {
		for _, user := range Deployments() {
			s := short(t, name)
			r := Run(user, s, Product(), 1)
			for rank, k := range r.Ranks {
				want := keptOther
				if rank == rankOrder {
					want = keptOrder
				}
				if rank != s.FloodRank && k.KeptShare < want {
					t.Errorf("%s, %s: %s keeps %.3f, want %.2f", user.Name, name, k.Rank, k.KeptShare, want)
				}
			}
			if r.SlotUseWaiting < useWaiting {
				t.Errorf("%s, %s: slot use %.3f while requests wait, want %.2f", user.Name, name, r.SlotUseWaiting, useWaiting)
			}
			if r.Unanswered != 0 {
				t.Errorf("%s, %s: %d requests without a response", user.Name, name, r.Unanswered)
			}
		}
	}
}

// Guards against uploads that delay urgent work during an upload flood.
func TestUploadFloodKeepsUrgentLatency(t *testing.T) {
	t.Parallel()
	for _, user := range Deployments() {
		r := Run(user, short(t, "upload-flood-3x"), Product(), 1)
		if k := r.Ranks[rankCheck]; k.P99Ratio > urgentP99Ratio {
			t.Errorf("%s: p99 of %s is %.2f of its value without the flood, want %.2f", user.Name, k.Rank, k.P99Ratio, urgentP99Ratio)
		}
	}
}

// Guards against figures that depend on anything but the seed.
func TestRunsAreDeterministic(t *testing.T) {
	t.Parallel()
	s := short(t, "upload-flood-3x")
	first, second := Run(Deployments()[0], s, Product(), 2), Run(Deployments()[0], s, Product(), 2)
	for i := range first.Ranks {
		if a, b := first.Ranks[i], second.Ranks[i]; a.Goodput != b.Goodput || a.P99Ms != b.P99Ms {
			t.Errorf("two runs of one seed differ: %+v, %+v", a, b)
		}
	}
}
