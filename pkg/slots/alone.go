package slots

import (
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// holdTime is how long a server is kept free of new work for an alone run
// after the last call of HoldForExclusive.
const holdTime = 500 * time.Millisecond

// hold names the server that is kept free of new work.
type hold struct {
	server model.ServerID
	until  time.Time
}

func (h *hold) covers(now time.Time, id model.ServerID) bool {
	return h.server == id && now.Before(h.until)
}

// HoldForExclusive keeps the least busy server free of new work, so that a waiting
// alone run gets it when its runs have ended. The dispatcher repeats the call
// while such a run waits. One server is held at a time.
func (t *Table) HoldForExclusive(now time.Time) {
	if s := t.servers[t.hold.server]; s != nil && now.Before(t.hold.until) && s.limit(now) > 0 {
		t.hold.until = now.Add(holdTime)
		return
	}
	var best *server
	for _, s := range t.order {
		if s.limit(now) > 0 && !s.alone && (best == nil || s.busy < best.busy) {
			best = s
		}
	}
	if best != nil {
		t.hold = hold{server: best.id, until: now.Add(holdTime)}
	}
}

// HasIdleServer reports whether an alone run could start now.
func (t *Table) HasIdleServer(now time.Time) bool {
	return t.choose(now, true) != nil
}
