package host

import (
	"testing"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/inventory"
	"github.com/wisteriacrank/wisteriacrank/internal/metrics"
	"github.com/wisteriacrank/wisteriacrank/pkg/fleet"
)

// versions decodes no servers, and configurations of any content.
type versions struct{}

func (versions) Config(o inventory.Object) (*fleet.Config, error) {
	return fleet.NewConfig(o.Revision, nil, nil, fleet.Limits{}), nil
}

func (versions) Server(inventory.Object) (fleet.BackendServer, error) {
	return fleet.BackendServer{}, nil
}

func configuration(revision uint64) inventory.Batch {
	return inventory.Batch{Revision: revision, Objects: []inventory.Object{{Name: "main", Revision: revision}}}
}

// newHost returns a host that holds the configuration of revision 5.
func newHost() *Host {
	h := New(Base{Settings: &Settings{ID: "west-1", Region: "west"}, Metrics: metrics.New(), Decoder: versions{}})
	h.reader.ApplyListing(inventory.Configuration, configuration(5), "")
	return h
}

func ahead(address string, revision uint64, at time.Time) peerAhead {
	return peerAhead{address: address, mark: inventory.Mark{AsOf: revision, Digest: revision}, since: at, remote: true}
}

// Guards against pulls of what the region's own readers have brought meanwhile.
func TestNewsThatCameMeanwhileAreNotPulled(t *testing.T) {
	h, now := newHost(), time.Now()
	h.compare(inventory.Configuration, ahead("east-1", 9, now))
	if due, next := h.duePulls(now); len(due) != 0 || next > pullRemoteAfter {
		t.Errorf("%v due at once, the next in %v", due, next)
	}
	h.reader.ApplyListing(inventory.Configuration, configuration(9), "")
	if due, _ := h.duePulls(now.Add(pullRemoteAfter)); len(due) != 0 {
		t.Errorf("%v due although it is known", due)
	}
}

// Guards against a change that waits for the next heartbeats because the peer
// that told of it first does not answer.
func TestAnotherPeerIsAskedAtOnce(t *testing.T) {
	h, now := newHost(), time.Now()
	for _, address := range []string{"east-1", "east-2", "north-1", "east-2"} {
		h.compare(inventory.Configuration, ahead(address, 9, now))
	}
	h.compare(inventory.Configuration, ahead("north-2", 11, now))
	now = now.Add(pullRemoteAfter)
	var asked []string
	for range 6 {
		due, _ := h.duePulls(now)
		for address, orders := range due {
			asked = append(asked, address)
			h.askAnother(orders[0].collection, orders[0].from)
		}
	}
	if len(asked) != 1+maxOthers || asked[0] != "north-2" {
		t.Errorf("asked %v, want north-2, which knows most, and %d more", asked, maxOthers)
	}
}
