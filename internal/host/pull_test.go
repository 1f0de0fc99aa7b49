package host

import (
	"testing"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/inventory"
	"github.com/wisteriacrank/wisteriacrank/internal/metrics"
	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
	"github.com/wisteriacrank/wisteriacrank/pkg/fleet"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// stubDecoder decodes every object to an empty server, or to an empty
// configuration whose version is the object's revision.
type stubDecoder struct{}

func (stubDecoder) Config(o inventory.Object) (*fleet.Config, error) {
	return fleet.NewConfig(o.Position.Revision, nil, nil, fleet.Limits{}), nil
}

func (stubDecoder) Server(inventory.Object) (fleet.BackendServer, error) {
	return fleet.BackendServer{}, nil
}

func configurationAt(revision uint64) inventory.Batch {
	at := model.Position{Revision: revision}
	return inventory.Batch{Position: at, Objects: []inventory.Object{{Name: "main", Position: at}}}
}

// newHost returns a host that holds the configuration at revision 5.
func newHost() *Host {
	h := New(Base{Settings: &Settings{ID: "west-1", Region: "west"}, Metrics: metrics.New(), Decoder: stubDecoder{}})
	h.reader.ApplyListing(inventory.Configuration, configurationAt(5), "")
	return h
}

func newerPeerAt(address string, revision uint64, at time.Time) newerPeer {
	return newerPeer{address: address, mark: inventory.Mark{AsOf: model.Position{Revision: revision}, Digest: revision}, since: at, remote: true}
}

// Guards against pulls of content that the region's own readers have delivered
// meanwhile.
func TestContentReceivedMeanwhileIsNotPulled(t *testing.T) {
	h, now := newHost(), time.Now()
	h.compareMark(inventory.Configuration, newerPeerAt("east-1", 9, now))
	if due, next := h.duePulls(now); len(due) != 0 || next > pullRemoteAfter {
		t.Errorf("%v due at once, the next in %v", due, next)
	}
	h.reader.ApplyListing(inventory.Configuration, configurationAt(9), "")
	if due, _ := h.duePulls(now.Add(pullRemoteAfter)); len(due) != 0 {
		t.Errorf("%v due although the host has the content", due)
	}
}

// Guards against a change that is delayed until the next heartbeats because the
// peer that announced it first does not reply.
func TestNextPeerIsPulledAtOnce(t *testing.T) {
	h, now := newHost(), time.Now()
	for _, address := range []string{"east-1", "east-2", "north-1", "east-2"} {
		h.compareMark(inventory.Configuration, newerPeerAt(address, 9, now))
	}
	h.compareMark(inventory.Configuration, newerPeerAt("north-2", 11, now))
	now = now.Add(pullRemoteAfter)
	var pulled []string
	for range 6 {
		due, _ := h.duePulls(now)
		for address, pulls := range due {
			pulled = append(pulled, address)
			h.tryNextPeer(pulls[0].collection, pulls[0].peer)
		}
	}
	if len(pulled) != 1+maxAlternates || pulled[0] != "north-2" {
		t.Errorf("pulled from %v, want north-2, which has the newest content, and %d more", pulled, maxAlternates)
	}
}

// Guards against a host that waits for its region's readers, which have not read the
// later era of the store, while another region has.
func TestPeerInALaterEraIsAskedFirst(t *testing.T) {
	h, now := newHost(), time.Now()
	local := newerPeerAt("west-1", 9, now)
	local.remote = false
	h.compareMark(inventory.Configuration, local)
	later := newerPeerAt("east-1", 3, now)
	later.mark.AsOf.Era = 2
	h.compareMark(inventory.Configuration, later)
	if due, _ := h.duePulls(now); len(due["east-1"]) != 1 {
		t.Errorf("%v due, want the pull from east-1", due)
	}
	h.compareMark(inventory.Configuration, later)
	h.compareMark(inventory.Configuration, local)
	if due, _ := h.duePulls(now); len(due["east-1"]) != 1 {
		t.Errorf("%v due after the message of the earlier era, want the pull from east-1", due)
	}
}

// Guards against changes of an earlier era that are taken for those of the present one,
// because their sender does not know eras.
func TestChangeWithoutEraIsIgnoredAfterALaterEra(t *testing.T) {
	h := newHost()
	if era := h.eraOfChanges(uint32(inventory.Configuration)); era != 0 {
		t.Errorf("era %d, want that of the content", era)
	}
	h.reader.ApplyListing(inventory.Configuration, configurationAt(3).InEra(2), "")
	pushed := &wirepb.CollectionChange{FromDigest: h.reader.Mark(inventory.Configuration).Digest, AsOf: 1000}
	if h.reader.ApplyChange(changeFromWire(pushed, h.eraOfChanges(uint32(inventory.Configuration))), "h-1") {
		t.Errorf("the content is held as of %v", h.reader.Mark(inventory.Configuration).AsOf)
	}
}
