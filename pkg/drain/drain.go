// Package drain decides which backend servers may get new work, and manages the
// lifecycle of a host up to its graceful shutdown. Its types are not safe for
// concurrent use.
package drain

import (
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// Source is the origin of a report that a backend server is live or leaving.
type Source int

// Sources of reports.
const (
	// Document is the key drain of the operators' document.
	Document Source = iota
	// HostList is the platform's list of live and leaving hosts. It lags.
	HostList
	// Health is the server's health endpoint.
	Health
	// ResponseHeader is the header Wisteria-Draining of a response.
	ResponseHeader
	sourceCount
)

func (s Source) String() string {
	switch s {
	case Document:
		return "document"
	case HostList:
		return "host list"
	case Health:
		return "health endpoint"
	case ResponseHeader:
		return "response header"
	}
	return "unknown"
}

const (
	// CheckInterval is the time between two requests of the dispatcher to a
	// server's health endpoint, and CheckTimeout bounds each. Their sum and the
	// second for which a dispatch may already be decided stay below the 3 s after
	// which a leaving server must not get new work.
	CheckInterval = time.Second
	CheckTimeout  = 900 * time.Millisecond
	// reuseDelay is how long a server stays unused after the last report that it
	// is leaving. With a source that alternates, it would otherwise get work
	// between two reports.
	reuseDelay = 5 * time.Second
)

// Servers tracks which backend servers are leaving.
//
// Only reports of the same source override each other: a host list that still has
// a server as live does not override a health endpoint that reports draining,
// since the list may be older than its time suggests. The result depends on the
// reports and their times and not on the order in which they arrive.
type Servers struct {
	servers map[model.ServerID]*server
}

type server struct {
	live, leaving [sourceCount]time.Time
	restartedAt   time.Time
}

// NewServers returns a Servers without reports; every server may be used.
func NewServers() *Servers {
	return &Servers{servers: make(map[model.ServerID]*server)}
}

// Observe records a report. at is the time of the report: for a health endpoint or
// a response header the time at which the request was sent, which is the earliest
// to which it can refer, and for a host list the time of the list.
func (s *Servers) Observe(id model.ServerID, source Source, leaving bool, at time.Time) {
	times := &s.server(id).live
	if leaving {
		times = &s.server(id).leaving
	}
	if at.After(times[source]) {
		times[source] = at
	}
}

// Restarted records that the server accepts connections again after it had
// refused them, which cancels the reports of its previous process. Without this, a
// server that announced its stop in a response would never get work again, because
// it sends no responses without work.
func (s *Servers) Restarted(id model.ServerID, at time.Time) {
	if known := s.server(id); at.After(known.restartedAt) {
		known.restartedAt = at
	}
}

// Forget drops a server that the document no longer has.
func (s *Servers) Forget(id model.ServerID) { delete(s.servers, id) }

// MayUse reports whether the server may get new work.
func (s *Servers) MayUse(id model.ServerID, now time.Time) bool {
	_, leaving := s.Leaving(id, now)
	return !leaving
}

// Leaving returns the first source that reports the server as leaving, if any.
func (s *Servers) Leaving(id model.ServerID, now time.Time) (Source, bool) {
	known := s.servers[id]
	if known == nil {
		return 0, false
	}
	for source := range sourceCount {
		if known.isLeaving(source, now) {
			return source, true
		}
	}
	return 0, false
}

func (s *server) isLeaving(source Source, now time.Time) bool {
	leavingAt := s.leaving[source]
	if leavingAt.IsZero() {
		return false
	}
	clearedAt := s.live[source]
	if selfReported := source == Health || source == ResponseHeader; selfReported && s.restartedAt.After(clearedAt) {
		clearedAt = s.restartedAt
	}
	// Of two reports with the same time, the one that the server is leaving has
	// precedence.
	return !clearedAt.After(leavingAt) || now.Sub(leavingAt) < reuseDelay
}

func (s *Servers) server(id model.ServerID) *server {
	known := s.servers[id]
	if known == nil {
		known = &server{}
		s.servers[id] = known
	}
	return known
}
