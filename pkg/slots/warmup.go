package slots

import (
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// WarmUpTime is how long the limit of a cold server takes to rise from half of
// its slots to all of them.
const WarmUpTime = 5 * time.Second

type warmUp struct {
	since  time.Time
	active bool
}

// SetCold marks a server that has just started or just received moved traffic.
func (t *Table) SetCold(now time.Time, id model.ServerID) {
	if s := t.servers[id]; s != nil {
		s.warmUp = warmUp{since: now, active: true}
	}
}

// HasColdServer reports whether any server is still warming up.
func (t *Table) HasColdServer(now time.Time) bool {
	for _, s := range t.order {
		if s.warmUp.active && now.Sub(s.warmUp.since) < WarmUpTime {
			return true
		}
	}
	return false
}

func (w *warmUp) limit(now time.Time, slots int) int {
	elapsed := now.Sub(w.since)
	if !w.active || elapsed >= WarmUpTime {
		return slots
	}
	half := (slots + 1) / 2
	return half + int(float64(slots-half)*float64(elapsed)/float64(WarmUpTime))
}
