package host

import (
	"context"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/events"
	"github.com/wisteriacrank/wisteriacrank/internal/inventory"
	"github.com/wisteriacrank/wisteriacrank/internal/wire"
	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

// Few hosts of a region read the store, since every call to it is priced. They
// push what they read to the others of the region, and tell some hosts of other
// regions of it. Marks in these messages and in the heartbeats show who has missed
// something, and it pulls the collection from a peer. What was pulled from another
// region is passed on like what was read.

// maxPushBytes keeps a push in one datagram; larger changes are pulled.
const maxPushBytes = 8 << 10

// watchReaders is called when what a host says of the store changes, and with
// each heartbeat, since readers also fall silent. It notes when the store comes
// back for the readers of the region: entries of living servers may have lapsed
// meanwhile, also for hosts that do not read the store themselves.
func (h *Host) watchReaders(now time.Time) {
	h.rosterMu.Lock()
	lost := h.roster.ReadersLost(now)
	h.rosterMu.Unlock()
	h.newsMu.Lock()
	regained := h.readersLost && !lost
	h.readersLost = lost
	h.newsMu.Unlock()
	if regained {
		h.reader.RecordStoreRecovery()
	}
}

// readsStore is the inventory's role. A host that knows nothing yet reads for
// itself, which is faster than to find peers first.
func (h *Host) readsStore(now time.Time) bool {
	for _, c := range inventory.WatchedCollections {
		if h.reader.Mark(c).AsOf == 0 {
			return true
		}
	}
	h.rosterMu.Lock()
	defer h.rosterMu.Unlock()
	return h.roster.IsReader(now)
}

func (h *Host) collectionStates() []*wirepb.CollectionState {
	states := make([]*wirepb.CollectionState, 0, len(inventory.WatchedCollections))
	for _, c := range inventory.WatchedCollections {
		states = append(states, markToWire(c, h.reader.Mark(c)))
	}
	return states
}

// passOn tells peers what this host has read from the store, or pulled from
// another region.
func (h *Host) passOn(change inventory.Change) {
	socket := h.beatSocket.Load()
	if socket == nil || !change.IsDelta() {
		return
	}
	h.rosterMu.Lock()
	now, self := time.Now(), h.roster.Self()
	near, far := h.roster.Near(now), h.roster.Delegates(now)
	h.rosterMu.Unlock()
	notice := &wirepb.Heartbeat{Self: beatToWire(self, 0), Collections: []*wirepb.CollectionState{markToWire(change.Collection, change.After)}}
	slim(notice.Self)
	h.sendTo(*socket, notice, far)
	if size(change.Objects) <= maxPushBytes {
		notice.Collections = nil
		notice.Changes = []*wirepb.CollectionChange{changeToWire(change)}
	}
	h.sendTo(*socket, notice, near)
}

func size(objects []inventory.Object) int {
	bytes := 0
	for _, o := range objects {
		bytes += len(o.Body) + len(o.Name)
	}
	return bytes
}

func changeToWire(change inventory.Change) *wirepb.CollectionChange {
	pushed := &wirepb.CollectionChange{Collection: uint32(change.Collection), FromDigest: change.Before.Digest, AsOf: change.After.AsOf}
	for _, o := range change.Objects {
		pushed.Objects = append(pushed.Objects, objectToWire(o))
	}
	return pushed
}

func markToWire(c inventory.Collection, mark inventory.Mark) *wirepb.CollectionState {
	return &wirepb.CollectionState{Collection: uint32(c), AsOf: mark.AsOf, Digest: mark.Digest}
}

func objectToWire(o inventory.Object) *wirepb.StoredObject {
	return &wirepb.StoredObject{Name: o.Name, Revision: o.Revision, Body: o.Body, Deleted: o.Deleted}
}

func objectFromWire(o *wirepb.StoredObject) inventory.Object {
	return inventory.Object{Name: o.GetName(), Revision: o.GetRevision(), Body: o.GetBody(), Deleted: o.GetDeleted()}
}

// heardOfStore takes what a heartbeat says of the store.
func (h *Host) heardOfStore(now time.Time, message *wirepb.Heartbeat) {
	for _, pushed := range message.GetChanges() {
		change := inventory.Change{
			Collection: inventory.Collection(pushed.GetCollection()),
			Before:     inventory.Mark{Digest: pushed.GetFromDigest()},
			After:      inventory.Mark{AsOf: pushed.GetAsOf()},
		}
		for _, o := range pushed.GetObjects() {
			change.Objects = append(change.Objects, objectFromWire(o))
		}
		if !h.reader.ApplyChange(change, message.GetSelf().GetId()) {
			h.Metrics.Add("pushes_out_of_order", 1)
		}
	}
	h.heardOfServers(now, message)
	h.rosterMu.Lock()
	peer, known := h.roster.Peer(message.GetSelf().GetId())
	h.rosterMu.Unlock()
	if !known {
		return
	}
	for _, state := range message.GetCollections() {
		h.compare(inventory.Collection(state.GetCollection()), peerAhead{
			address: peer.PeerAddress,
			mark:    inventory.Mark{AsOf: state.GetAsOf(), Digest: state.GetDigest()},
			since:   now,
			remote:  peer.Region != h.Settings.Region,
		})
	}
}

// snapshotHandler answers peers that have missed something.
type snapshotHandler struct{ host *Host }

// Handle implements wire.Handler.
func (s snapshotHandler) Handle(_ context.Context, _ *wirepb.Hello, env *wirepb.Envelope, stream *wire.Stream) {
	if env.GetSnapshotPull() == nil {
		_ = stream.Send(wire.FailureEnvelope(result.UnknownMessage, "only snapshots are served"))
		return
	}
	reply := &wirepb.SnapshotReply{}
	for _, asked := range env.GetSnapshotPull().GetCollections() {
		batch := s.host.reader.Snapshot(inventory.Collection(asked))
		snapshot := &wirepb.CollectionSnapshot{Collection: asked, AsOf: batch.Revision}
		for _, o := range batch.Objects {
			snapshot.Objects = append(snapshot.Objects, objectToWire(o))
		}
		reply.Collections = append(reply.Collections, snapshot)
	}
	if err := stream.Send(&wirepb.Envelope{Body: &wirepb.Envelope_SnapshotReply{SnapshotReply: reply}}); err != nil {
		s.host.Log.Emit(events.PeerConnectionLost, events.Reason(err))
	}
}
