package inventory

import (
	"errors"
	"testing"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/fleet"
)

var start = time.Unix(1000, 0)

// words decodes bodies of one word: a version, or the state of a server.
type words struct{}

func (words) Config(o Object) (*fleet.Config, error) {
	versions := map[string]uint64{"v1": 1, "v2": 2, "v3": 3}
	version, ok := versions[string(o.Body)]
	if !ok {
		return nil, errors.New("no version")
	}
	return fleet.NewConfig(version, nil, nil, fleet.Limits{}), nil
}

func (words) Server(o Object) (fleet.BackendServer, error) {
	states := map[string]fleet.ServerState{"ready": fleet.Ready, "draining": fleet.Draining}
	state, ok := states[string(o.Body)]
	if !ok {
		return fleet.BackendServer{}, errors.New("no state")
	}
	return fleet.BackendServer{ID: o.Name, State: state}, nil
}

func newState(t *testing.T) (*State, *int) {
	t.Helper()
	skipped := 0
	return NewState(words{}, func(Collection, Object, error) { skipped++ }), &skipped
}

func object(name string, revision uint64, body string) Object {
	return Object{Name: name, Revision: revision, Body: []byte(body)}
}

func list(revision uint64, objects ...Object) Batch {
	return Batch{Revision: revision, Objects: objects}
}

// Guards against an older version that takes effect after a newer one, whatever
// way it comes.
func TestConfigVersionsOnlyRise(t *testing.T) {
	s, skipped := newState(t)
	s.ApplyListing(start, Configuration, list(5, object("main", 5, "v2")))
	s.ApplyChanges(start, Configuration, list(9, object("main", 9, "v1")))
	s.ApplyChanges(start, Configuration, list(10, object("main", 10, "rubbish")))
	s.ApplyChanges(start, Configuration, list(11, Object{Name: "main", Revision: 11, Deleted: true}))
	s.ApplyListing(start, Configuration, list(3, object("main", 3, "v1")))
	if got := s.View().Config.Version; got != 2 {
		t.Errorf("version %d is in force, want 2", got)
	}
	if *skipped != 1 {
		t.Errorf("%d entries skipped, want 1", *skipped)
	}
}

// Guards against one entry that cannot be read and hides the others, or stays
// as it was before.
func TestUnreadableEntryIsLeftOutAlone(t *testing.T) {
	s, skipped := newState(t)
	s.ApplyListing(start, Servers, list(5, object("a", 1, "ready"), object("b", 2, "ready")))
	s.ApplyChanges(start, Servers, list(6, object("a", 6, "{")))
	view := s.View()
	if _, ok := view.Servers["a"]; ok || len(view.Servers) != 1 || *skipped != 1 {
		t.Errorf("servers %v, %d skipped", view.Servers, *skipped)
	}
}

// Guards against all servers lost at once when their entries have expired
// during an outage, and against servers that are used for ever after it.
func TestLapsedServersAreKeptForAMoment(t *testing.T) {
	s, _ := newState(t)
	s.ApplyListing(start, Servers, list(5, object("back", 1, "ready"), object("gone", 2, "ready"), object("leaving", 3, "draining")))
	regained := start.Add(10 * time.Second)
	s.RecordStoreRecovery(regained)
	s.ApplyListing(regained, Servers, list(20))
	view := s.View()
	if len(view.Servers) != 2 {
		t.Fatalf("servers %v right after the outage, want the two that were ready", view.Servers)
	}
	s.ApplyChanges(regained.Add(time.Second), Servers, list(22, object("back", 22, "ready")))
	s.Expire(regained.Add(lapseGrace))
	view = s.View()
	if _, ok := view.Servers["back"]; !ok || len(view.Servers) != 1 {
		t.Errorf("servers %v, want the one that came back", view.Servers)
	}
}

// Guards against the grace after an outage that keeps a server which leaves
// later (hunt Dhuwaa mix --seed 90680519164: DRAIN).
func TestRemovalAfterTheOutageIsTakenAtOnce(t *testing.T) {
	s, _ := newState(t)
	s.ApplyListing(start, Servers, list(5, object("a", 1, "ready"), object("b", 2, "ready")))
	regained := start.Add(10 * time.Second)
	s.RecordStoreRecovery(regained)
	s.ApplyListing(regained, Servers, list(20, object("a", 1, "ready"), object("b", 2, "ready")))
	s.ApplyChanges(regained.Add(1200*time.Millisecond), Servers, list(21, Object{Name: "a", Revision: 21, Deleted: true}))
	if _, ok := s.View().Servers["a"]; ok {
		t.Error("a server that has left is kept")
	}
}

// Guards against a host that hands its own grace on to peers: they would take
// a server back that has left (the same day).
func TestLapsedServersAreNoPartOfTheSnapshot(t *testing.T) {
	reader, _ := newState(t)
	other, _ := newState(t)
	for _, s := range []*State{reader, other} {
		s.ApplyListing(start, Servers, list(5, object("a", 1, "ready"), object("b", 2, "ready")))
	}
	reader.RecordStoreRecovery(start.Add(time.Second))
	for _, s := range []*State{reader, other} {
		s.ApplyListing(start.Add(time.Second), Servers, list(6, object("b", 2, "ready")))
	}
	if reader.Mark(Servers) != other.Mark(Servers) {
		t.Errorf("marks %+v and %+v differ for one content of the store", reader.Mark(Servers), other.Mark(Servers))
	}
	if snapshot := reader.Snapshot(Servers); len(snapshot.Objects) != 1 {
		t.Errorf("snapshot %v has a lapsed entry", snapshot.Objects)
	}
}

// Guards against a peer's old listing that undoes newer changes.
func TestOlderListingChangesNothing(t *testing.T) {
	s, _ := newState(t)
	s.ApplyListing(start, Servers, list(9, object("a", 9, "ready")))
	s.ApplyListing(start, Servers, list(8))
	if len(s.View().Servers) != 1 {
		t.Error("an older listing removed a server")
	}
}

// Guards against domains whose cold servers get full load right after an
// evacuation.
func TestReleaseOfADomainIsRemembered(t *testing.T) {
	s, _ := newState(t)
	s.ApplyListing(start, Evacuations, list(5, object("west-a", 5, "{}")))
	if !s.View().Evacuated["west-a"] {
		t.Fatal("evacuation is not in the view")
	}
	released := start.Add(5 * time.Second)
	s.ApplyChanges(released, Evacuations, list(8, Object{Name: "west-a", Revision: 8, Deleted: true}))
	view := s.View()
	if view.Evacuated["west-a"] || !view.ReleasedAt["west-a"].Equal(released) {
		t.Errorf("evacuated %v, released %v", view.Evacuated, view.ReleasedAt)
	}
}

// Guards against news from another region that the hosts of this one cannot
// apply, so that each of them pulls the collection.
func TestDifferenceBringsPeersToTheListing(t *testing.T) {
	pulled, _ := newState(t)
	peer, _ := newState(t)
	known := list(5, object("kept", 1, "ready"), object("changed", 2, "ready"), object("removed", 3, "ready"), object("newer", 5, "ready"))
	for _, s := range []*State{pulled, peer} {
		s.ApplyListing(start, Servers, known)
	}
	listing := list(9, object("kept", 1, "ready"), object("changed", 7, "draining"), object("added", 8, "ready"), object("newer", 5, "ready"))
	changes := pulled.Diff(Servers, listing)
	pulled.ApplyListing(start, Servers, listing)
	peer.ApplyChanges(start, Servers, list(9, changes...))
	if len(changes) != 3 {
		t.Errorf("%d changes, want 3", len(changes))
	}
	if got, want := peer.Mark(Servers), pulled.Mark(Servers); got != want {
		t.Errorf("the peer has %+v, want %+v", got, want)
	}
}
