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

// TakeoverTime is how long a new dispatcher uses only half of a server's slots,
// because the previous dispatcher may still use the others.
const TakeoverTime = 5 * time.Second

// Outcome is how a run ended.
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
	order   []*server // in order of insertion, so that choices are deterministic
	hold    hold
}

type server struct {
	id              model.ServerID
	slots           int
	connections     int
	addedAt         time.Time
	takenOver       bool // set if another dispatcher may use it until TakeoverTime has passed
	leaving         bool
	busy            int
	exclusive       bool
	openConnections int
	backoff         backoff
	warmUp          warmUp
	report          report
	peak            peak
}

// New returns a table without servers.
func New() *Table {
	return &Table{servers: make(map[model.ServerID]*server)}
}

// Origin says whether another dispatcher may still use a server.
type Origin int

// Origins of a server.
const (
	// Takeover is a server that another dispatcher may still use.
	Takeover Origin = iota + 1
	// Unshared is a server that no other dispatcher used before.
	Unshared
)

// Put adds a server, or replaces the limits of a server in the table.
func (t *Table) Put(now time.Time, spec document.Server, origin Origin) {
	s := t.servers[spec.Name]
	if s == nil {
		s = &server{id: spec.Name, addedAt: now, takenOver: origin == Takeover}
		t.servers[spec.Name] = s
		t.order = append(t.order, s)
	}
	s.slots, s.connections, s.leaving = spec.Slots, spec.Connections, spec.Drain
}

// Remove removes a server that another dispatcher has taken over. Releases of
// runs that are still in progress are ignored afterwards.
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
		s.openConnections = open
	}
}

// limit returns how many runs a server may have now.
func (s *server) limit(now time.Time) int {
	if s.leaving {
		return 0
	}
	limit := s.slots
	if s.takenOver && now.Sub(s.addedAt) < TakeoverTime {
		limit = limit / 2
	}
	limit = min(limit, s.warmUp.limit(now, s.slots), s.report.limit(now, s.slots))
	limit = s.backoff.limit(now, limit)
	return min(limit, s.connections)
}

func (s *server) free(now time.Time) int {
	if s.exclusive {
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

// Acquire takes a slot of the least loaded server. An exclusive run gets a
// server without other work, and the server gets no other work until it ends.
func (t *Table) Acquire(now time.Time, exclusive bool) (model.ServerID, bool) {
	best := t.choose(now, exclusive)
	if best == nil {
		return "", false
	}
	best.busy++
	best.peak.add(now, best.busy)
	best.exclusive = exclusive
	if exclusive {
		t.hold = hold{}
	}
	return best.id, true
}

func (t *Table) choose(now time.Time, exclusive bool) *server {
	var best *server
	lowest := math.Inf(1)
	for _, s := range t.order {
		if s.free(now) == 0 || (exclusive && s.busy > 0) || (!exclusive && t.hold.covers(now, s.id)) {
			continue
		}
		if load := s.load(now); load < lowest {
			best, lowest = s, load
		}
	}
	return best
}

// load returns the share of the limit that would be in use with one more run.
// A server without an idle connection is charged the time to open one.
func (s *server) load(now time.Time) float64 {
	const openCost = 0.01
	load := float64(s.busy+1) / float64(s.limit(now))
	if s.openConnections <= s.busy {
		load += openCost
	}
	return load
}

// Release ends a run and frees its slot.
func (t *Table) Release(now time.Time, id model.ServerID, outcome Outcome) {
	s := t.servers[id]
	if s == nil || s.busy == 0 {
		return
	}
	s.busy--
	s.exclusive = false
	switch outcome {
	case Shed:
		s.backoff.shed(now, s.busy)
	case Completed:
		s.backoff.completed(now)
	}
}
