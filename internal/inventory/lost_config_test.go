package inventory

import (
	"testing"

	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// lostConfig returns a state that has kept a configuration which the store has lost.
func lostConfig(t *testing.T, body string) *State {
	s, _ := newState(t)
	s.ApplyListing(start, Configuration, list(9, object("main", 9, body)))
	s.ApplyListing(start, Configuration, list(4, object("main", 3, "v1")).InEra(1))
	if mark := s.Mark(Configuration); !mark.HasLost || s.View().Config.Version != 3 {
		t.Fatalf("version %d in effect, mark %+v", s.View().Config.Version, mark)
	}
	return s
}

// Guards against hosts that pull from each other without end.
func TestHostsAgreeOnALostVersionWithTwoContents(t *testing.T) {
	a, b := lostConfig(t, "v3"), lostConfig(t, "v03")
	for range 2 {
		a.ApplyListing(start, Configuration, b.Snapshot(Configuration))
		b.ApplyListing(start, Configuration, a.Snapshot(Configuration))
	}
	if !a.Mark(Configuration).SameContent(b.Mark(Configuration)) {
		t.Errorf("marks %+v and %+v", a.Mark(Configuration), b.Mark(Configuration))
	}
}

// Guards against a host that keeps the lost content of a version that was written again.
func TestLostVersionThatIsWrittenAgainIsInEffect(t *testing.T) {
	s := lostConfig(t, "v3")
	lost := s.View().Config
	s.ApplyChanges(start, Configuration, list(5, object("main", 5, "v03")).InEra(1))
	if s.View().Config == lost || s.Mark(Configuration).HasLost {
		t.Errorf("the lost content is in effect, mark %+v", s.Mark(Configuration))
	}
}

// Guards against a host that is ahead of its peers and therefore never takes what they
// have kept, and against one that takes an older listing with it.
func TestLostVersionIsTakenFromAnOlderListing(t *testing.T) {
	s, _ := newState(t)
	s.ApplyListing(start, Configuration, list(7, object("main", 3, "v1")).InEra(1))
	s.ApplyListing(start, Configuration, lostConfig(t, "v3").Snapshot(Configuration))
	if at := s.Mark(Configuration).AsOf; s.View().Config.Version != 3 || at != (model.Position{Era: 1, Revision: 7}) {
		t.Errorf("version %d in effect as of %v", s.View().Config.Version, at)
	}
}
