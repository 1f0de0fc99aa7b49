package inventory

import (
	"errors"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/fleet"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

var start = time.Unix(1000, 0)

// wordDecoder decodes bodies of one word: a version such as v2, or the state of a
// server, which the time of its start may follow, as in ready@7.
type wordDecoder struct{}

func (wordDecoder) Config(o Object) (*fleet.Config, error) {
	version, ok := strings.CutPrefix(string(o.Body), "v")
	number, err := strconv.ParseUint(version, 10, 64)
	if !ok || err != nil {
		return nil, errors.New("no version")
	}
	return fleet.NewConfig(number, nil, nil, fleet.Limits{}), nil
}

func (wordDecoder) Server(o Object) (fleet.BackendServer, error) {
	states := map[string]fleet.ServerState{"ready": fleet.Ready, "draining": fleet.Draining}
	word, began, _ := strings.Cut(string(o.Body), "@")
	state, ok := states[word]
	if !ok {
		return fleet.BackendServer{}, errors.New("no state")
	}
	start, _ := strconv.ParseInt(began, 10, 64)
	return fleet.BackendServer{ID: o.Name, State: state, StartUnixMillis: start, Entry: o.Position}, nil
}

func newState(t *testing.T) (*State, *int) {
	t.Helper()
	skipped := 0
	return NewState(wordDecoder{}, func(Collection, Object, error) { skipped++ }), &skipped
}

// at returns a position in a store that states no era.
func at(revision uint64) model.Position { return model.Position{Revision: revision} }

func object(name string, revision uint64, body string) Object {
	return Object{Name: name, Position: at(revision), Body: []byte(body)}
}

func list(revision uint64, objects ...Object) Batch {
	return Batch{Position: at(revision), Objects: objects}
}

// Guards against an older version that takes effect after a newer one, through a
// listing, a change or a removal.
func TestConfigVersionsOnlyRise(t *testing.T) {
	s, skipped := newState(t)
	s.ApplyListing(start, Configuration, list(5, object("main", 5, "v2")))
	s.ApplyChanges(start, Configuration, list(9, object("main", 9, "v1")))
	s.ApplyChanges(start, Configuration, list(10, object("main", 10, "rubbish")))
	s.ApplyChanges(start, Configuration, list(11, Object{Name: "main", Position: at(11), Deleted: true}))
	s.ApplyListing(start, Configuration, list(3, object("main", 3, "v1")))
	if got := s.View().Config.Version; got != 2 {
		t.Errorf("version %d is in effect, want 2", got)
	}
	if *skipped != 1 {
		t.Errorf("%d entries skipped, want 1", *skipped)
	}
}

// Guards against an entry that can't be decoded and hides the others, or keeps its
// previous content.
func TestOnlyTheUnreadableEntryIsSkipped(t *testing.T) {
	s, skipped := newState(t)
	s.ApplyListing(start, Servers, list(5, object("a", 1, "ready"), object("b", 2, "ready")))
	s.ApplyChanges(start, Servers, list(6, object("a", 6, "{")))
	view := s.View()
	if _, ok := view.Servers["a"]; ok || len(view.Servers) != 1 || *skipped != 1 {
		t.Errorf("servers %v, %d skipped", view.Servers, *skipped)
	}
}

// Guards against losing all servers at once when their entries have expired
// during an outage, and against using such servers forever.
func TestLapsedServersAreKeptForTheGracePeriod(t *testing.T) {
	s, _ := newState(t)
	s.ApplyListing(start, Servers, list(5, object("back", 1, "ready"), object("gone", 2, "ready"), object("leaving", 3, "draining")))
	recoveredAt := start.Add(10 * time.Second)
	s.RecordStoreRecovery(recoveredAt)
	s.ApplyListing(recoveredAt, Servers, list(20))
	view := s.View()
	if len(view.Servers) != 2 {
		t.Fatalf("servers %v right after the outage, want the two that were ready", view.Servers)
	}
	s.ApplyChanges(recoveredAt.Add(time.Second), Servers, list(22, object("back", 22, "ready")))
	s.Expire(recoveredAt.Add(lapseGrace))
	view = s.View()
	if _, ok := view.Servers["back"]; !ok || len(view.Servers) != 1 {
		t.Errorf("servers %v, want the one that registered again", view.Servers)
	}
}

// Guards against requests to a server that leaves after the outage, as the first change
// since then.
func TestServerThatLeavesLongAfterTheOutageIsRemovedAtOnce(t *testing.T) {
	s, _ := newState(t)
	s.ApplyListing(start, Servers, list(5, object("a", 1, "ready"), object("b", 2, "ready")))
	recoveredAt := start.Add(10 * time.Second)
	s.RecordStoreRecovery(recoveredAt)
	s.ApplyChanges(recoveredAt.Add(lapseGrace), Servers, list(21, Object{Name: "a", Position: at(21), Deleted: true}))
	if _, ok := s.View().Servers["a"]; ok {
		t.Error("a server that was removed long after the outage is kept")
	}
}

// Guards against the grace period after an outage that keeps a server which is
// removed later (test scenario Dhuwaa mix, seed 90680519164: broke the rule
// DRAIN).
func TestRemovalAfterTheOutageIsTakenAtOnce(t *testing.T) {
	s, _ := newState(t)
	s.ApplyListing(start, Servers, list(5, object("a", 1, "ready"), object("b", 2, "ready")))
	recoveredAt := start.Add(10 * time.Second)
	s.RecordStoreRecovery(recoveredAt)
	s.ApplyListing(recoveredAt, Servers, list(20, object("a", 1, "ready"), object("b", 2, "ready")))
	s.ApplyChanges(recoveredAt.Add(1200*time.Millisecond), Servers, list(21, Object{Name: "a", Position: at(21), Deleted: true}))
	if _, ok := s.View().Servers["a"]; ok {
		t.Error("a server that was removed after the outage is kept")
	}
}

// Guards against a host that forwards lapsed servers to peers, which would use a
// removed server again (seen in the same test scenario).
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
		t.Errorf("marks %+v and %+v differ for equal content of the store", reader.Mark(Servers), other.Mark(Servers))
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

// Guards against full load for the cold servers of a failure domain right after
// its evacuation.
func TestReleaseTimeOfADomainIsStored(t *testing.T) {
	s, _ := newState(t)
	s.ApplyListing(start, Evacuations, list(5, object("west-a", 5, "{}")))
	if !s.View().Evacuated["west-a"] {
		t.Fatal("evacuation is not in the view")
	}
	released := start.Add(5 * time.Second)
	s.ApplyChanges(released, Evacuations, list(8, Object{Name: "west-a", Position: at(8), Deleted: true}))
	view := s.View()
	if view.Evacuated["west-a"] || !view.ReleasedAt["west-a"].Equal(released) {
		t.Errorf("evacuated %v, released %v", view.Evacuated, view.ReleasedAt)
	}
}

// Guards against changes from another region that the hosts of this region can't
// apply, so that each of them pulls the collection.
func TestDiffBringsPeersToTheListing(t *testing.T) {
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

// Guards against a change that stays unapplied without a trace.
func TestEntryOlderThanTheHeldOneIsReported(t *testing.T) {
	var reported []error
	s := NewState(wordDecoder{}, func(_ Collection, _ Object, err error) { reported = append(reported, err) })
	s.ApplyListing(start, Configuration, list(9, object("main", 9, "v2")))
	s.ApplyListing(start, Configuration, list(9, object("main", 5, "v3")))
	if len(reported) != 1 || !errors.Is(reported[0], errOlderRevision) {
		t.Errorf("reported %v, want one entry with an older revision", reported)
	}
}
