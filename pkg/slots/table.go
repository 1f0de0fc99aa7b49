// Package slots counts busy slots and connections of the backend servers that
// a dispatcher is responsible for, and chooses the server of the next request.
//
// The dispatcher's own counts take precedence: a load report of a server may
// only lower its limit. A Table is not safe for concurrent use.
package slots

import (
	"math"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/document"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// TakeoverTime is how long a new dispatcher uses half of a server's slots,
// because the previous one may still use them.
const TakeoverTime = 5 * time.Second

// Outcome says how a run ended.
type Outcome int

// Outcomes of a run.
const (
	// Completed covers every end that says nothing about the server's load.
	Completed Outcome = iota + 1
	// Shed means that the server refused the request for lack of capacity.
	Shed
)

// Table accounts for the servers of one service.
type Table struct {
	servers map[model.ServerID]*server
	order   []*server // order of insertion, for the same choice in each run
	hold    hold
}

type server struct {
	id          model.ServerID
	slots       int
	connections int
	takenOver   time.Time
	fresh       bool
	leaving     bool
	busy        int
	alone       bool
	open        int
	backoff     backoff
	warming     warming
	report      report
	peak        peak
}

// New returns a table without servers.
func New() *Table {
	return &Table{servers: make(map[model.ServerID]*server)}
}

// Origin says where the responsibility for a server comes from.
type Origin int

// Origins of a server.
const (
	// Takeover is a server that another dispatcher may still use.
	Takeover Origin = iota + 1
	// Unshared is a server that no other dispatcher used before.
	Unshared
)

// Put adds a server, or replaces the limits of one that is already there.
func (t *Table) Put(now time.Time, spec document.Server, origin Origin) {
	s := t.servers[spec.Name]
	if s == nil {
		s = &server{id: spec.Name, takenOver: now, fresh: origin == Takeover}
		t.servers[spec.Name] = s
		t.order = append(t.order, s)
	}
	s.slots, s.connections, s.leaving = spec.Slots, spec.Connections, spec.Drain
}

// Remove forgets a server that another dispatcher took over. Releases of runs
// that are still in progress are ignored afterwards.
func (t *Table) Remove(id model.ServerID) {
	delete(t.servers, id)
	for i, s := range t.order {
		if s.id == id {
			t.order = append(t.order[:i:i], t.order[i+1:]...)
			return
		}
	}
}

// SetLeaving stops or resumes new work for a server.
func (t *Table) SetLeaving(id model.ServerID, leaving bool) {
	if s := t.servers[id]; s != nil {
		s.leaving = leaving
	}
}

// SetOpenConnections sets the number of open connections to a server.
func (t *Table) SetOpenConnections(id model.ServerID, open int) {
	if s := t.servers[id]; s != nil {
		s.open = open
	}
}

// limit returns how many runs a server may have now.
func (s *server) limit(now time.Time) int {
	if s.leaving {
		return 0
	}
	limit := s.slots
	if s.fresh && now.Sub(s.takenOver) < TakeoverTime {
		limit = limit / 2
	}
	limit = min(limit, s.warming.limit(now, s.slots), s.report.limit(now, s.slots))
	limit = s.backoff.limit(now, limit)
	return min(limit, s.connections)
}

func (s *server) free(now time.Time) int {
	if s.alone {
		return 0
	}
	return max(0, s.limit(now)-s.busy)
}

// Capacity returns the number of runs that all servers may have now.
func (t *Table) Capacity(now time.Time) int {
	total := 0
	for _, s := range t.order {
		total += s.limit(now)
	}
	return total
}

// Free returns the number of slots that shared runs may take now.
func (t *Table) Free(now time.Time) int {
	total := 0
	for _, s := range t.order {
		if !t.hold.covers(now, s.id) {
			total += s.free(now)
		}
	}
	return total
}

// Busy returns the number of runs.
func (t *Table) Busy() int {
	total := 0
	for _, s := range t.order {
		total += s.busy
	}
	return total
}

// Acquire takes a slot of the least loaded server. An alone run gets a server
// without other work, and the server gets no other work until it ends.
func (t *Table) Acquire(now time.Time, alone bool) (model.ServerID, bool) {
	best := t.choose(now, alone)
	if best == nil {
		return "", false
	}
	best.busy++
	best.peak.add(now, best.busy)
	best.alone = alone
	if alone {
		t.hold = hold{}
	}
	return best.id, true
}

func (t *Table) choose(now time.Time, alone bool) *server {
	var best *server
	lowest := math.Inf(1)
	for _, s := range t.order {
		if s.free(now) == 0 || (alone && s.busy > 0) || (!alone && t.hold.covers(now, s.id)) {
			continue
		}
		if load := s.load(now); load < lowest {
			best, lowest = s, load
		}
	}
	return best
}

// load is the share of the limit that one more run would use. A server
// without an idle connection costs the time to open one.
func (s *server) load(now time.Time) float64 {
	const openCost = 0.01
	load := float64(s.busy+1) / float64(s.limit(now))
	if s.open <= s.busy {
		load += openCost
	}
	return load
}

// Release ends a run.
func (t *Table) Release(now time.Time, id model.ServerID, outcome Outcome) {
	s := t.servers[id]
	if s == nil || s.busy == 0 {
		return
	}
	s.busy--
	s.alone = false
	switch outcome {
	case Shed:
		s.backoff.shed(now, s.busy)
	case Completed:
		s.backoff.served(now)
	}
}
