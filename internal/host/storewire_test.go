package host

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/wisteriacrank/wisteriacrank/internal/inventory"
	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// clearEras removes the fields that hosts without eras don't know.
func clearEras(m protoreflect.Message) {
	m.Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		switch {
		case field.Name() == "era" || field.Name() == "from_era":
			m.Clear(field)
		case field.IsList() && field.Message() != nil:
			for i := range value.List().Len() {
				clearEras(value.List().Get(i).Message())
			}
		}
		return true
	})
}

// transmit returns a message as it arrives, or as it is sent, where eras are unknown.
func transmit[M proto.Message](t *testing.T, sent, received M, eras bool) M {
	t.Helper()
	if !eras {
		clearEras(sent.ProtoReflect())
	}
	encoded, err := proto.Marshal(sent)
	if err == nil {
		err = proto.Unmarshal(encoded, received)
	}
	if err != nil {
		t.Fatal(err)
	}
	return received
}

func serversAt(at model.Position, revisions map[string]uint64) inventory.Batch {
	batch := inventory.Batch{Position: at}
	for name, revision := range revisions {
		batch.Objects = append(batch.Objects, inventory.Object{Name: name, Position: model.Position{Revision: revision}})
	}
	return batch.InEra(at.Era)
}

// pair is a host that sends its servers to another one.
type pair struct {
	*testing.T
	sender, receiver *Host
	eras             bool
}

func (p pair) sendSnapshot() {
	reply := &wirepb.SnapshotReply{Collections: []*wirepb.CollectionSnapshot{snapshotToWire(uint32(inventory.Servers), p.sender.reader.Snapshot(inventory.Servers))}}
	p.receiver.applySnapshots(transmit(p.T, reply, &wirepb.SnapshotReply{}, p.eras), "127.0.0.1:1", nil)
}

func (p pair) sendMark() {
	p.send(&wirepb.Heartbeat{Collections: []*wirepb.CollectionState{markToWire(inventory.Servers, p.sender.reader.Mark(inventory.Servers))}})
}

// sendChange has the sender read servers, and forwards what that changed.
func (p pair) sendChange(read inventory.Batch) {
	change, _ := p.sender.reader.ApplyListing(inventory.Servers, read, "")
	p.send(&wirepb.Heartbeat{Changes: []*wirepb.CollectionChange{changeToWire(change)}})
}

func (p pair) send(message *wirepb.Heartbeat) {
	message.Self = beat("h-1")
	p.receiver.handleHeartbeat(transmit(p.T, message, &wirepb.Heartbeat{}, p.eras))
}

// expectSame checks that the receiver has the content of the sender, as of a position.
func (p pair) expectSame(want model.Position) {
	p.Helper()
	sent, got := p.sender.reader.Mark(inventory.Servers), p.receiver.reader.Mark(inventory.Servers)
	if got.AsOf != want || got.Digest != sent.Digest {
		p.Errorf("the receiver has %+v after %+v was sent, want it as of %v", got, sent, want)
	}
}

// Guards against hosts that don't understand each other while those without eras are
// replaced one by one.
func TestHostsWithAndWithoutErasShareContent(t *testing.T) {
	for name, test := range map[string]struct {
		eras           bool
		sender, wanted model.Era
	}{
		"neither knows eras":         {false, 0, 0},
		"the receiver knows no eras": {false, 2, 0},
		"both know eras":             {true, 2, 2},
	} {
		t.Run(name, func(t *testing.T) {
			p := pair{t, newTestHost(nil), newTestHost(nil), test.eras}
			from := func(revision uint64) model.Position { return model.Position{Era: test.sender, Revision: revision} }
			want := func(revision uint64) model.Position { return model.Position{Era: test.wanted, Revision: revision} }
			p.receiver.reader.ApplyListing(inventory.Servers, serversAt(want(4), map[string]uint64{"a": 2}), "")
			p.sender.reader.ApplyListing(inventory.Servers, serversAt(from(5), map[string]uint64{"a": 3}), "")
			p.sendSnapshot()
			p.expectSame(want(5))
			p.sendChange(serversAt(from(8), map[string]uint64{"a": 3, "b": 7}))
			p.expectSame(want(8))
			p.sender.reader.Confirm(inventory.Servers, from(9))
			p.sendMark()
			p.expectSame(want(9))
			p.sender.reader.ApplyListing(inventory.Servers, serversAt(from(12), map[string]uint64{"b": 7}), "")
			p.sendMark()
			if due, _ := p.receiver.duePulls(time.Now().Add(pullAfter)); len(due) != 1 {
				t.Errorf("%v is pulled, want the servers", due)
			}
			p.sendSnapshot()
			p.expectSame(want(12))
		})
	}
}

// Guards against content of an earlier era that a host takes from one that knows no eras,
// and against news of that host that are never heard.
func TestContentOfHostsWithoutErasIsAskedOfTheStore(t *testing.T) {
	p := pair{t, newTestHost(nil), newTestHost(nil), false}
	want := func(revision uint64) model.Position { return model.Position{Era: 2, Revision: revision} }
	held := map[string]uint64{"a": 3}
	p.receiver.reader.ApplyListing(inventory.Servers, serversAt(want(4), held), "")
	p.sender.reader.ApplyListing(inventory.Servers, serversAt(model.Position{Revision: 5}, held), "")
	p.sendMark()
	p.expectSame(want(4))
	p.sendChange(serversAt(model.Position{Revision: 8}, map[string]uint64{"a": 3, "b": 7}))
	p.expectSame(want(8))
	p.sender.reader.ApplyListing(inventory.Servers, serversAt(model.Position{Revision: 1000}, map[string]uint64{"b": 7}), "")
	p.sendSnapshot()
	for range 2 {
		p.sendMark()
	}
	if due, _ := p.receiver.duePulls(time.Now().Add(pullAfter)); len(due) != 0 {
		t.Errorf("%v is pulled", due)
	}
	if at := p.receiver.reader.Mark(inventory.Servers).AsOf; at != want(8) {
		t.Errorf("servers are held as of %v, want %v", at, want(8))
	}
	if asked := p.receiver.asked[inventory.Servers].mark.AsOf.Revision; asked != 1000 {
		t.Errorf("the store was asked for revision %d, want 1000", asked)
	}
}

// Guards against hosts that take the higher revision for the later content although the
// other one is of a later era.
func TestLaterEraReplacesHigherRevisions(t *testing.T) {
	held, later := model.Position{Era: 2, Revision: 100}, model.Position{Era: 3, Revision: 4}
	for name, send := range map[string]func(pair){
		"snapshot": pair.sendSnapshot,
		"change":   func(p pair) { p.sendChange(serversAt(later, map[string]uint64{"a": 2})) },
		"mark": func(p pair) {
			p.sendMark()
			if due, _ := p.receiver.duePulls(time.Now()); len(due) == 1 {
				p.sendSnapshot()
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			before, after := serversAt(held, map[string]uint64{"a": 2, "b": 90}), serversAt(later, map[string]uint64{"a": 2})
			p := pair{t, newTestHost(nil), newTestHost(nil), true}
			p.receiver.reader.ApplyListing(inventory.Servers, before, "")
			p.sender.reader.ApplyListing(inventory.Servers, before, "")
			if name != "change" {
				p.sender.reader.ApplyListing(inventory.Servers, after, "")
			}
			send(p)
			p.expectSame(later)
			old := pair{t, newTestHost(nil), p.receiver, true}
			old.sender.reader.ApplyListing(inventory.Servers, before, "")
			old.sendSnapshot()
			old.sendMark()
			old.sendChange(serversAt(model.Position{Era: 2, Revision: 200}, map[string]uint64{"c": 150}))
			p.expectSame(later)
			if len(p.receiver.newer) != 0 {
				t.Errorf("%v is pulled after messages of the era before", p.receiver.newer)
			}
		})
	}
}

// Guards against a change that is applied to content of the same names and revisions in
// another era.
func TestChangeToContentOfAnotherEraIsRefused(t *testing.T) {
	p := pair{t, newTestHost(nil), newTestHost(nil), true}
	held, later := model.Position{Era: 1, Revision: 3}, model.Position{Era: 2, Revision: 3}
	p.receiver.reader.ApplyListing(inventory.Servers, serversAt(held, map[string]uint64{"a": 2}), "")
	p.sender.reader.ApplyListing(inventory.Servers, serversAt(later, map[string]uint64{"a": 2}), "")
	p.sendChange(serversAt(model.Position{Era: 2, Revision: 6}, map[string]uint64{"a": 2, "b": 5}))
	if got := p.receiver.reader.Mark(inventory.Servers).AsOf; got != held {
		t.Errorf("the content is that of %v, want %v", got, held)
	}
}
