package inventory

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/fleet"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
	"github.com/wisteriacrank/wisteriacrank/pkg/rendezvous"
)

// lapseGrace is how long servers whose entries expired during an outage of the
// store are kept after its recovery: live servers register again within about
// 2 s.
const lapseGrace = 2500 * time.Millisecond

// lapseWindow is how long after the first update of the servers since the
// recovery of the store a removal may be due to the outage. Later removals apply
// at once.
const lapseWindow = 400 * time.Millisecond

// errOlderRevision means that the store returned an entry with a lower revision than
// the one that this host holds.
var errOlderRevision = errors.New("revision is older than the one held")

// State builds a view from objects of the store. It does no I/O and is not safe
// for concurrent use.
type State struct {
	decoder Decoder
	onSkip  func(Collection, Object, error)

	view    View
	objects map[Collection]map[string]Object
	// asOf is the position in the store's history for which a collection is valid. All
	// objects of the collection belong to its era.
	asOf map[Collection]model.Position
	// digests are updated with the objects; see Mark.
	digests map[Collection]uint64
	// lapsed are the servers that this host still uses although their entries have
	// expired, with the time until which it does. They are not part of marks and
	// snapshots.
	lapsed map[string]time.Time
	// restored has what a host still knows from before the store came back from an older
	// copy. It is not part of marks and snapshots.
	restored restored
	// changed are the servers that differ from those in the latest view.
	changed         map[string]bool
	recoveredAt     time.Time
	lapseWindowEnd  time.Time
	awaitingServers bool
}

// NewState returns an empty state. onSkip is called for entries that can't be
// decoded or are older than the held ones; they don't affect the others.
func NewState(decoder Decoder, onSkip func(Collection, Object, error)) *State {
	return &State{
		decoder: decoder,
		onSkip:  onSkip,
		view: View{
			Servers:    make(map[string]fleet.BackendServer),
			Evacuated:  make(map[string]bool),
			ReleasedAt: make(map[string]time.Time),
		},
		objects:  map[Collection]map[string]Object{Configuration: {}, Servers: {}, Evacuations: {}},
		asOf:     make(map[Collection]model.Position),
		digests:  make(map[Collection]uint64),
		lapsed:   make(map[string]time.Time),
		restored: newRestored(),
		changed:  make(map[string]bool),
	}
}

// RecordStoreRecovery records that the store has recovered from an outage.
func (s *State) RecordStoreRecovery(now time.Time) { s.recoveredAt, s.awaitingServers = now, true }

// openLapseWindow starts the time within which removals are treated as lapses.
func (s *State) openLapseWindow(now time.Time, c Collection) {
	if c == Servers && s.awaitingServers {
		s.lapseWindowEnd, s.awaitingServers = now.Add(lapseWindow), false
	}
}

// ApplyListing replaces a whole collection. A listing that is older than the
// current content changes nothing.
func (s *State) ApplyListing(now time.Time, c Collection, batch Batch) {
	if !c.IsWatched() {
		return
	}
	if batch.Position.Before(s.asOf[c]) {
		s.takeLost(c, batch)
		return
	}
	newEra := s.enterEra(now, c, batch.Position.Era)
	s.openLapseWindow(now, c)
	listed := make(map[string]bool, len(batch.Objects))
	for _, o := range batch.Objects {
		listed[o.Name] = true
		s.put(now, c, o, newEra)
	}
	for name := range s.objects[c] {
		if !listed[name] {
			s.remove(now, c, name, newEra)
		}
	}
	s.keepInEra(c, batch.Position.Era)
	s.confirm(c, batch.Position)
}

// Diff returns the changes that turn the current content into that of a listing.
func (s *State) Diff(c Collection, batch Batch) []Object {
	var changes []Object
	listed := make(map[string]bool, len(batch.Objects))
	for _, o := range batch.Objects {
		listed[o.Name] = true
		if known, ok := s.objects[c][o.Name]; !ok || known.Position.Before(o.Position) {
			changes = append(changes, o)
		}
	}
	for name := range s.objects[c] {
		if !listed[name] {
			changes = append(changes, Object{Name: name, Position: batch.Position, Deleted: true})
		}
	}
	return changes
}

// ApplyChanges applies the changes of a collection. Changes that the content
// includes already are skipped: a peer may have reported later ones, and a server
// that has left would be used again. Changes of an earlier era no longer apply.
func (s *State) ApplyChanges(now time.Time, c Collection, batch Batch) {
	if !c.IsWatched() || batch.Position.Era < s.asOf[c].Era {
		return
	}
	newEra := s.enterEra(now, c, batch.Position.Era)
	s.openLapseWindow(now, c)
	for _, o := range batch.Objects {
		known, ok := s.objects[c][o.Name]
		switch {
		case o.Deleted && (!ok || !known.Position.After(o.Position) || o.Position.IsZero()):
			s.remove(now, c, o.Name, newEra)
		case !o.Deleted && o.Position.After(s.asOf[c]):
			s.put(now, c, o, newEra)
		}
	}
	s.keepInEra(c, batch.Position.Era)
	s.confirm(c, batch.Position)
}

func (s *State) confirm(c Collection, at model.Position) {
	s.asOf[c] = s.asOf[c].Later(at)
}

// Mark identifies the content of a collection.
type Mark struct {
	// AsOf is the position for which the content is valid; zero if the collection was
	// never read.
	AsOf model.Position
	// Digest is equal for equal content of one era.
	Digest uint64
	// HasLost is true if the content has a configuration that the store has lost.
	HasLost bool
}

// SameContent reports whether both marks are those of the same content.
func (m Mark) SameContent(other Mark) bool {
	return m.Digest == other.Digest && m.AsOf.Era == other.AsOf.Era
}

// Mark returns the mark of a collection.
func (s *State) Mark(c Collection) Mark {
	return Mark{AsOf: s.asOf[c], Digest: s.digests[c], HasLost: c == Configuration && s.hasLostConfig()}
}

// setObject and deleteObject change the objects and their digest.
func (s *State) setObject(c Collection, o Object) {
	s.deleteObject(c, o.Name)
	s.objects[c][o.Name] = o
	s.digests[c] ^= digestOf(o)
}

func (s *State) deleteObject(c Collection, name string) {
	if known, ok := s.objects[c][name]; ok {
		s.digests[c] ^= digestOf(known)
		delete(s.objects[c], name)
	}
}

// digestOf leaves the era out, so that hosts that don't know eras compute the same.
func digestOf(o Object) uint64 {
	if o.isLost() {
		return rendezvous.Score(o.Name, string(o.Body))
	}
	return rendezvous.Score(o.Name, strconv.FormatUint(o.Position.Revision, 10))
}

// put adds or replaces an object. The one that is held changes nothing, so that what is
// kept from before an era stays. newEra is true if the object is read with the first
// content of an era.
func (s *State) put(now time.Time, c Collection, o Object, newEra bool) {
	if c == Configuration && o.isLost() {
		s.putLostConfig(o)
		return
	}
	known, ok := s.objects[c][o.Name]
	if ok && known.Position == o.Position {
		return
	}
	if ok && known.Position.After(o.Position) {
		s.onSkip(c, o, fmt.Errorf("%w: %v, held is %v", errOlderRevision, o.Position, known.Position))
		return
	}
	switch c {
	case Configuration:
		if s.keepsLostConfig(o, newEra) {
			return
		}
		s.putConfig(o)
	case Servers:
		server, err := s.decodeServer(o)
		if err != nil {
			s.onSkip(c, o, err)
			s.remove(now, c, o.Name, newEra)
			return
		}
		s.putServer(now, o, server, newEra)
	case Evacuations:
		s.putEvacuation(now, o.Name, newEra)
	}
	s.setObject(c, o)
}

func (s *State) putServer(now time.Time, o Object, server fleet.BackendServer, newEra bool) {
	if newEra && s.keepLaterStart(now, o.Name, server) {
		return
	}
	if newEra && s.hadLeft(o, server) {
		server.State = fleet.Draining
		s.restored.left[o.Name] = now.Add(leaveGrace)
	} else {
		delete(s.restored.left, o.Name)
		delete(s.restored.departed, o.Name)
	}
	delete(s.lapsed, o.Name)
	s.view.Servers[o.Name] = server
	s.changed[o.Name] = true
}

func (s *State) putEvacuation(now time.Time, domain string, newEra bool) {
	if newEra && !s.view.Evacuated[domain] && s.wasReleased(now, domain) {
		s.restored.evacuations[domain] = now.Add(lapseGrace)
		return
	}
	delete(s.restored.evacuations, domain)
	s.view.Evacuated[domain] = true
}

// decodeServer decodes an entry of the list of servers. An entry for which the
// decoder panics is skipped like any other that can't be decoded.
func (s *State) decodeServer(o Object) (server fleet.BackendServer, err error) {
	defer recoverDecode(&err)
	return s.decoder.Server(o)
}

func (s *State) decodeConfig(o Object) (config *fleet.Config, err error) {
	defer recoverDecode(&err)
	return s.decoder.Config(o)
}

func recoverDecode(err *error) {
	if cause := recover(); cause != nil {
		*err = fmt.Errorf("decoder panicked: %v", cause)
	}
}

// putConfig applies a configuration unless its version is lower than the current
// one. The version that the store has lost may be written again with another content.
func (s *State) putConfig(o Object) {
	config, err := s.decodeConfig(o)
	if err != nil {
		s.onSkip(Configuration, o, err)
		return
	}
	lost := s.objects[Configuration][o.Name].isLost()
	if s.view.Config == nil || config.Version > s.view.Config.Version || lost && config.Version == s.view.Config.Version {
		s.view.Config = config
	}
}

func (s *State) remove(now time.Time, c Collection, name string, newEra bool) {
	switch c {
	case Configuration:
		// The last version stays in effect.
	case Servers:
		s.removeServer(now, name, newEra)
	case Evacuations:
		s.deleteObject(c, name)
		if newEra && s.view.Evacuated[name] {
			s.restored.evacuations[name] = now.Add(lostEvacuationGrace)
			return
		}
		s.release(now, name)
	}
}

func (s *State) removeServer(now time.Time, name string, newEra bool) {
	held := s.objects[Servers][name]
	s.deleteObject(Servers, name)
	server, ok := s.view.Servers[name]
	if ok {
		s.restored.departed[name] = departure{at: now, entry: held.Position, startUnixMillis: server.StartUnixMillis}
	}
	if ok && server.State == fleet.Ready && newEra {
		s.lapsed[name] = now.Add(lapseGrace)
		return
	}
	if until := s.recoveredAt.Add(lapseGrace); ok && server.State == fleet.Ready && now.Before(s.lapseWindowEnd) && now.Before(until) {
		s.lapsed[name] = until
		return
	}
	if _, lapsed := s.lapsed[name]; lapsed {
		return
	}
	delete(s.restored.left, name)
	delete(s.view.Servers, name)
	s.changed[name] = true
}

func (s *State) release(now time.Time, domain string) {
	if s.view.Evacuated[domain] {
		s.view.ReleasedAt[domain] = now
	}
	delete(s.view.Evacuated, domain)
	delete(s.restored.evacuations, domain)
}

// Expire removes lapsed servers that did not register again in time, and ends what
// is kept from before an era. It reports whether the view changed.
func (s *State) Expire(now time.Time) bool {
	changed := s.expireRestored(now)
	for name, until := range s.lapsed {
		if now.Before(until) {
			continue
		}
		delete(s.lapsed, name)
		delete(s.view.Servers, name)
		s.changed[name] = true
		changed = true
	}
	return changed
}

// View returns a copy of the current view, with what has changed since the last
// call.
func (s *State) View() *View {
	view := s.view
	view.Changed = slices.Collect(maps.Keys(s.changed))
	clear(s.changed)
	view.Servers = maps.Clone(s.view.Servers)
	view.Evacuated = maps.Clone(s.view.Evacuated)
	view.ReleasedAt = maps.Clone(s.view.ReleasedAt)
	return &view
}

// Snapshot returns a collection, for a peer.
func (s *State) Snapshot(c Collection) Batch {
	batch := Batch{Position: s.asOf[c]}
	for _, o := range s.objects[c] {
		batch.Objects = append(batch.Objects, o)
	}
	return batch
}
