// Package drain decides which backend servers may get new work, and leads a
// host through its graceful shutdown. Its types are not safe for concurrent
// use.
package drain

import (
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// Source is where a statement about a backend server comes from.
type Source int

// Sources of statements.
const (
	// Document is the key drain of the operators' document.
	Document Source = iota
	// HostList is the platform's list of live and leaving hosts. It lags.
	HostList
	// Health is the server's health endpoint.
	Health
	// ResponseHeader is the header Wisteria-Draining of an answer.
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
		return "answer header"
	}
	return "unknown"
}

const (
	// CheckInterval is how often the dispatcher asks a server's health
	// endpoint, and CheckTimeout how long it waits. Together with the second
	// in which a dispatch may have been decided they stay under the 3 s after
	// which a leaving server gets no new work.
	CheckInterval = time.Second
	CheckTimeout  = 900 * time.Millisecond
	// returnDelay is how long a server stays unused after the last statement
	// that it leaves. A source that alternates would otherwise let work
	// through between two statements.
	returnDelay = 5 * time.Second
)

// Servers knows which backend servers leave.
//
// Every source is judged by its own statements only: a host list that still
// says live does not contradict a health endpoint that said draining, since
// the list may be older than it looks. The result depends on the statements
// and their times and not on the order in which they arrive.
type Servers struct {
	servers map[model.ServerID]*server
}

type server struct {
	live, leaving [sourceCount]time.Time
	restarted     time.Time
}

// NewServers returns a Servers without statements; every server may be used.
func NewServers() *Servers {
	return &Servers{servers: make(map[model.ServerID]*server)}
}

// Observe takes a statement. at is the latest time at which the source can
// have known what it says: for a health endpoint or an answer the time at
// which the request was sent, for a list the time of the list.
func (s *Servers) Observe(id model.ServerID, source Source, leaving bool, at time.Time) {
	times := &s.server(id).live
	if leaving {
		times = &s.server(id).leaving
	}
	if at.After(times[source]) {
		times[source] = at
	}
}

// Restarted says that the server accepts connections again after it had
// refused them. What its previous process said of itself no longer counts.
// Without this, a server that announced its stop in an answer would never get
// work again, because it sends no answers without work.
func (s *Servers) Restarted(id model.ServerID, at time.Time) {
	if known := s.server(id); at.After(known.restarted) {
		known.restarted = at
	}
}

// Forget drops a server that the document no longer has.
func (s *Servers) Forget(id model.ServerID) { delete(s.servers, id) }

// MayUse says whether the server may get new work.
func (s *Servers) MayUse(id model.ServerID, now time.Time) bool {
	_, leaving := s.Leaving(id, now)
	return !leaving
}

// Leaving returns the first source by which the server leaves.
func (s *Servers) Leaving(id model.ServerID, now time.Time) (Source, bool) {
	known := s.servers[id]
	if known == nil {
		return 0, false
	}
	for source := range sourceCount {
		if known.leaves(source, now) {
			return source, true
		}
	}
	return 0, false
}

func (s *server) leaves(source Source, now time.Time) bool {
	said := s.leaving[source]
	if said.IsZero() {
		return false
	}
	revoked := s.live[source]
	if own := source == Health || source == ResponseHeader; own && s.restarted.After(revoked) {
		revoked = s.restarted
	}
	// At the same time the statement that the server leaves wins.
	return !revoked.After(said) || now.Sub(said) < returnDelay
}

func (s *Servers) server(id model.ServerID) *server {
	known := s.servers[id]
	if known == nil {
		known = &server{}
		s.servers[id] = known
	}
	return known
}
