package slots

import (
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// WarmUpTime is how long a cold server is used less. Its limit rises from
// half of its slots to all of them.
const WarmUpTime = 5 * time.Second

type warming struct {
	since  time.Time
	active bool
}

// SetCold marks a server that just started or just got moved traffic.
func (t *Table) SetCold(now time.Time, id model.ServerID) {
	if s := t.servers[id]; s != nil {
		s.warming = warming{since: now, active: true}
	}
}

// HasColdServer reports whether any server is still cold.
func (t *Table) HasColdServer(now time.Time) bool {
	for _, s := range t.order {
		if s.warming.active && now.Sub(s.warming.since) < WarmUpTime {
			return true
		}
	}
	return false
}

func (w *warming) limit(now time.Time, slots int) int {
	elapsed := now.Sub(w.since)
	if !w.active || elapsed >= WarmUpTime {
		return slots
	}
	half := (slots + 1) / 2
	return half + int(float64(slots-half)*float64(elapsed)/float64(WarmUpTime))
}
