package host

import (
	"context"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/events"
	"github.com/wisteriacrank/wisteriacrank/internal/inventory"
	"github.com/wisteriacrank/wisteriacrank/internal/wire"
	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

// Few hosts of a region read the store, because every call to it is priced.
// They push what they read to the other hosts of the region, and notify some
// hosts of other regions. A host finds out by the marks in these messages and in
// the heartbeats that it has missed a change, and pulls the collection from a
// peer. Content that was pulled from another region is forwarded like content
// that was read.

// maxPushBytes bounds a push, so that it fits into one datagram; larger changes
// are pulled.
const maxPushBytes = 8 << 10

// minAskInterval is the interval at which this host asks the store because of hosts that
// don't know eras.
const minAskInterval = time.Second

// askedStore is a mark of such a host for which the store was asked.
type askedStore struct {
	mark inventory.Mark
	at   time.Time
}

// checkReaders updates whether the readers of the region have lost the store. It
// is called when a host reports a change of that, and with each heartbeat, since
// readers also become unresponsive. When the readers regain the store, it
// notifies the inventory, also on hosts that do not read the store: entries of
// live servers may have lapsed meanwhile.
func (h *Host) checkReaders(now time.Time) {
	h.rosterMu.Lock()
	lost := h.roster.ReadersLostStore(now)
	h.rosterMu.Unlock()
	h.newerMu.Lock()
	regained := h.readersLostStore && !lost
	h.readersLostStore = lost
	h.newerMu.Unlock()
	if regained {
		h.reader.RecordStoreRecovery()
	}
}

// readsStore reports whether this host reads the store. A host without content
// of a collection reads it itself, which is faster than finding peers first.
func (h *Host) readsStore(now time.Time) bool {
	for _, c := range inventory.WatchedCollections {
		if h.reader.Mark(c).AsOf.IsZero() {
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

// forwardChange forwards to peers a change that this host has read from the store
// or pulled from another region.
func (h *Host) forwardChange(change inventory.Change) {
	socket := h.heartbeatSocket.Load()
	if socket == nil || !change.IsDelta() {
		return
	}
	h.rosterMu.Lock()
	now, self := time.Now(), h.roster.Self()
	local, delegates := h.roster.LocalPeers(now), h.roster.Delegates(now)
	h.rosterMu.Unlock()
	notice := &wirepb.Heartbeat{Self: heartbeatToWire(self, 0), Collections: []*wirepb.CollectionState{markToWire(change.Collection, change.After)}}
	omitStaticFields(notice.Self)
	h.sendTo(*socket, notice, delegates)
	if objectsSize(change.Objects) <= maxPushBytes {
		notice.Collections = nil
		notice.Changes = []*wirepb.CollectionChange{changeToWire(change)}
	}
	h.sendTo(*socket, notice, local)
}

func objectsSize(objects []inventory.Object) int {
	bytes := 0
	for _, o := range objects {
		bytes += len(o.Body) + len(o.Name)
	}
	return bytes
}

// applyCollections applies the pushed changes, server uses and collection marks
// in a heartbeat.
func (h *Host) applyCollections(now time.Time, message *wirepb.Heartbeat) {
	for _, pushed := range message.GetChanges() {
		if !h.isWatched(pushed.GetCollection()) {
			continue
		}
		change := changeFromWire(pushed, h.eraOfChanges(pushed.GetCollection()))
		if !h.reader.ApplyChange(change, message.GetSelf().GetId()) {
			h.Metrics.Add("pushes_out_of_order", 1)
		}
	}
	h.applyServerUse(now, message)
	h.rosterMu.Lock()
	peer, known := h.roster.Peer(message.GetSelf().GetId())
	h.rosterMu.Unlock()
	if !known {
		return
	}
	for _, state := range message.GetCollections() {
		if !h.isWatched(state.GetCollection()) {
			continue
		}
		c, mark := inventory.Collection(state.GetCollection()), markFromWire(state)
		if state.Era == nil && h.reader.Era() > 0 {
			h.compareWithoutEra(now, c, mark)
			continue
		}
		h.compareMark(c, newerPeer{
			address: peer.PeerAddress,
			mark:    mark,
			since:   now,
			remote:  peer.Region != h.Settings.Region,
		})
	}
}

// compareWithoutEra compares the mark of a peer that does not know eras. Its revision may
// be of an earlier era than those of this host, so its content is never pulled. If it may
// be newer, this host asks the store.
func (h *Host) compareWithoutEra(now time.Time, c inventory.Collection, theirs inventory.Mark) {
	mine := h.reader.Mark(c)
	if theirs.Digest == mine.Digest || theirs.AsOf.Revision <= mine.AsOf.Revision {
		return
	}
	h.newerMu.Lock()
	defer h.newerMu.Unlock()
	if asked := h.asked[c]; asked.mark == theirs || now.Sub(asked.at) < minAskInterval {
		return
	}
	h.asked[c] = askedStore{theirs, now}
	h.reader.RequestListing(c)
}

// eraOfChanges returns the era of changes from hosts that don't know eras. They apply to
// content that is the same here, so it is that of this host's content, until the store has
// come back from an older copy.
func (h *Host) eraOfChanges(collection uint32) model.Era {
	if changes, _ := h.reader.EraCounts(); changes > 0 {
		return 0
	}
	return h.reader.Mark(inventory.Collection(collection)).AsOf.Era
}

// isWatched reports whether a number from a peer is that of a collection; others
// are counted as invalid input.
func (h *Host) isWatched(number uint32) bool {
	if inventory.Collection(number).IsWatched() {
		return true
	}
	h.Metrics.Add("invalid_input", 1)
	return false
}

// snapshotHandler serves the snapshots that peers pull.
type snapshotHandler struct{ host *Host }

// Handle implements wire.Handler.
func (s snapshotHandler) Handle(_ context.Context, _ *wirepb.Hello, env *wirepb.Envelope, stream *wire.Stream) {
	defer s.host.Log.RecoverPanic("snapshot pull")
	if env.GetSnapshotPull() == nil {
		_ = stream.Send(wire.FailureEnvelope(result.UnknownMessage, "only snapshots are served"))
		return
	}
	reply := &wirepb.SnapshotReply{}
	for _, collection := range env.GetSnapshotPull().GetCollections() {
		batch := s.host.reader.Snapshot(inventory.Collection(collection))
		reply.Collections = append(reply.Collections, snapshotToWire(collection, batch))
	}
	if err := stream.Send(&wirepb.Envelope{Body: &wirepb.Envelope_SnapshotReply{SnapshotReply: reply}}); err != nil {
		s.host.Log.Emit(events.PeerConnectionLost, events.Reason(err))
	}
}
