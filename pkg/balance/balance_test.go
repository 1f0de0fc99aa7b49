package balance

import (
	"math/rand"
	"testing"

	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// Guards against an owner that sends a burst to one dispatcher because the last
// report of its load is older than the burst.
func TestBurstIsSpreadWithoutNewReports(t *testing.T) {
	p := New(rand.New(rand.NewSource(1)))
	candidates := []model.HostID{"a", "b", "c"}
	for _, id := range candidates {
		p.Sent(id)
		p.Replied(id, &Load{Slots: 9})
	}
	sent := make(map[model.HostID]int)
	for range 90 {
		id := p.Pick(candidates)
		sent[id]++
		p.Sent(id)
	}
	for _, id := range candidates {
		if sent[id] < 25 || sent[id] > 35 {
			t.Errorf("%d of 90 requests to %s", sent[id], id)
		}
	}
}

// Guards against an owner that ignores the load that dispatchers report.
func TestLoadedDispatcherGetsLess(t *testing.T) {
	p := New(rand.New(rand.NewSource(1)))
	p.Sent("full")
	p.Replied("full", &Load{Slots: 9, Waiting: 40})
	p.Sent("idle")
	p.Replied("idle", &Load{Slots: 9})
	full := 0
	for range 100 {
		if p.Pick([]model.HostID{"full", "idle"}) == "full" {
			full++
		}
	}
	// Both random candidates are the full dispatcher in a quarter of the cases.
	if full > 40 {
		t.Errorf("%d of 100 requests to the full dispatcher", full)
	}
}
