package inventory

import (
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/fleet"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// After the store has come back from an older copy, its servers and its operator
// write again what the copy lacks. Until then a host keeps to what it knows where the
// copy contradicts it: missing servers lapse as after an outage, servers that had left
// get no requests, and evacuations stay as they were. docs/design.md has the table.

const (
	// leaveGrace is how long a server that had left, and that the copy lists, gets no
	// requests. Entries of servers that don't run expire within that time.
	leaveGrace = 8 * time.Second
	// lostEvacuationGrace is how long an evacuation that the copy lacks stays in effect,
	// for the operator to ask for it again. It only costs capacity.
	lostEvacuationGrace = leaveGrace
	// departureMemory is how long a host remembers what has left or was released. It
	// bounds how old a copy may be.
	departureMemory = time.Minute
)

// departure is a server that has left.
type departure struct {
	at time.Time
	// entry is the position of its last entry.
	entry           model.Position
	startUnixMillis int64
}

// restored has what a host knows from before the store came back from an older copy.
type restored struct {
	// departed are the servers that have left within departureMemory.
	departed map[string]departure
	// left are the servers that had left, or that have started again since, and that the
	// copy lists, with the time from which on their entry applies.
	left map[string]time.Time
	// evacuations are the failure domains whose evacuation is in effect, or not,
	// although the copy says otherwise, with the time until which it is.
	evacuations map[string]time.Time
}

func newRestored() restored {
	return restored{
		departed:    make(map[string]departure),
		left:        make(map[string]time.Time),
		evacuations: make(map[string]time.Time),
	}
}

// enterEra reports whether the content of a collection that follows is the first one of
// a later era. What is kept since an earlier one is kept for the same time again.
func (s *State) enterEra(now time.Time, c Collection, era model.Era) bool {
	if s.asOf[c] == (model.Position{}) || era <= s.asOf[c].Era {
		return false
	}
	switch c {
	case Servers:
		for name := range s.lapsed {
			s.lapsed[name] = now.Add(lapseGrace)
		}
	case Evacuations:
		for domain := range s.restored.evacuations {
			if s.view.Evacuated[domain] {
				s.restored.evacuations[domain] = now.Add(lostEvacuationGrace)
			}
		}
	}
	return true
}

// keepLaterStart reports whether a server stays in use although the copy has the entry
// of an earlier start of it, as if the copy had none. That entry applies if it stays.
func (s *State) keepLaterStart(now time.Time, name string, listed fleet.BackendServer) bool {
	known, ok := s.view.Servers[name]
	if !ok || known.State != fleet.Ready || known.StartUnixMillis <= listed.StartUnixMillis {
		return false
	}
	s.lapsed[name], s.restored.left[name] = now.Add(lapseGrace), now.Add(leaveGrace)
	s.restored.departed[name] = departure{at: now, entry: s.objects[Servers][name].Position, startUnixMillis: known.StartUnixMillis}
	return true
}

// hadLeft reports whether this host knows that the server of an entry had left before
// the store came back from the copy that lists it.
func (s *State) hadLeft(o Object, listed fleet.BackendServer) bool {
	if known, ok := s.view.Servers[o.Name]; ok {
		return known.StartUnixMillis > listed.StartUnixMillis ||
			known.StartUnixMillis == listed.StartUnixMillis && known.State == fleet.Draining
	}
	left, ok := s.restored.departed[o.Name]
	// The copy has this entry or an earlier one. What a live server writes again has
	// a later revision than the copy.
	return ok && (left.startUnixMillis > listed.StartUnixMillis ||
		left.startUnixMillis == listed.StartUnixMillis && o.Position.Revision <= left.entry.Revision)
}

// wasReleased reports whether this host knows that the evacuation of a failure domain
// was lifted.
func (s *State) wasReleased(now time.Time, domain string) bool {
	at, ok := s.view.ReleasedAt[domain]
	return ok && now.Sub(at) < departureMemory
}

// expireRestored makes the content of the store apply where the time is over for which
// a host keeps to what it knew before. It reports whether the view changed.
func (s *State) expireRestored(now time.Time) bool {
	changed := false
	for name, left := range s.restored.departed {
		if now.Sub(left.at) >= departureMemory {
			delete(s.restored.departed, name)
		}
	}
	for name, until := range s.restored.left {
		if !now.Before(until) {
			delete(s.restored.left, name)
			changed = s.applyEntry(name) || changed
		}
	}
	for domain, until := range s.restored.evacuations {
		if now.Before(until) {
			continue
		}
		changed = true
		if _, listed := s.objects[Evacuations][domain]; listed {
			s.view.Evacuated[domain] = true
			delete(s.restored.evacuations, domain)
		} else {
			s.release(now, domain)
		}
	}
	return changed
}

// applyEntry applies the entry of a server as the store has it.
func (s *State) applyEntry(name string) bool {
	o, ok := s.objects[Servers][name]
	if !ok {
		return false
	}
	server, err := s.decodeServer(o)
	if err != nil {
		return false
	}
	s.view.Servers[name] = server
	s.changed[name] = true
	return true
}
