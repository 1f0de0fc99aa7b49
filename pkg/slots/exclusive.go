package slots

import (
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// holdDuration is how long a server is kept free of new work for an exclusive
// run after the last call of HoldForExclusive.
const holdDuration = 500 * time.Millisecond

// hold is the server that is kept free of new work for an exclusive run.
type hold struct {
	server model.ServerID
	until  time.Time
}

func (h *hold) covers(now time.Time, id model.ServerID) bool {
	return h.server == id && now.Before(h.until)
}

// HoldForExclusive keeps the least busy server free of new work, so that a
// waiting exclusive run, which shares its server with no other run, gets that
// server when the runs on it have ended. The dispatcher repeats the call while
// such a run waits. One server is held at a time.
func (t *Table) HoldForExclusive(now time.Time) {
	if s := t.servers[t.hold.server]; s != nil && now.Before(t.hold.until) && s.limit(now) > 0 {
		t.hold.until = now.Add(holdDuration)
		return
	}
	var best *server
	for _, s := range t.order {
		if s.limit(now) > 0 && !s.exclusive && (best == nil || s.busy < best.busy) {
			best = s
		}
	}
	if best != nil {
		t.hold = hold{server: best.id, until: now.Add(holdDuration)}
	}
}

// HasIdleServer reports whether an exclusive run could start now.
func (t *Table) HasIdleServer(now time.Time) bool {
	return t.choose(now, true) != nil
}
