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
// push what they read to the others of the region; marks in the heartbeats
// show who has missed something, and it pulls the collection from a peer.

const (
	// pullAfter and pullRemoteAfter are how long a peer has to be ahead before
	// a collection is pulled from it: pushes need a moment, and bytes between
	// regions are priced.
	pullAfter       = 250 * time.Millisecond
	pullRemoteAfter = 900 * time.Millisecond
	pullInterval    = 250 * time.Millisecond
	// pullTimeout bounds one question to a peer.
	pullTimeout = 1500 * time.Millisecond
	// maxPushBytes keeps a push in one datagram; larger changes are pulled.
	maxPushBytes = 8 << 10
)

// peerAhead is a peer that knows more of a collection.
type peerAhead struct {
	address string
	since   time.Time
	remote  bool
}

// watchReaders is called when what a host says of the store changes, and with
// each heartbeat, since readers also fall silent. It notes when the store comes back for the readers of the region:
// entries of living servers may have lapsed meanwhile, also for hosts that do
// not read the store themselves.
func (h *Host) watchReaders(now time.Time) {
	h.rosterMu.Lock()
	lost := h.roster.ReadersLost(now)
	h.rosterMu.Unlock()
	h.newsMu.Lock()
	regained := h.readersLost && !lost
	h.readersLost = lost
	h.newsMu.Unlock()
	if regained {
		h.reader.Regained()
	}
}

// readsStore is the inventory's role. A host that knows nothing yet reads for
// itself, which is faster than to find peers first.
func (h *Host) readsStore(now time.Time) bool {
	for _, c := range inventory.Collections {
		if h.reader.Mark(c).AsOf == 0 {
			return true
		}
	}
	h.rosterMu.Lock()
	defer h.rosterMu.Unlock()
	return h.roster.IsReader(now)
}

func (h *Host) collectionStates() []*wirepb.CollectionState {
	states := make([]*wirepb.CollectionState, 0, len(inventory.Collections))
	for _, c := range inventory.Collections {
		mark := h.reader.Mark(c)
		states = append(states, &wirepb.CollectionState{Collection: uint32(c), AsOf: mark.AsOf, Digest: mark.Digest})
	}
	return states
}

// pushChange passes on what this host has read from the store.
func (h *Host) pushChange(change inventory.Change) {
	socket := h.beatSocket.Load()
	if socket == nil {
		return
	}
	size := 0
	pushed := &wirepb.CollectionChange{Collection: uint32(change.Collection), FromDigest: change.Before.Digest, AsOf: change.AsOf}
	for _, o := range change.Objects {
		size += len(o.Body) + len(o.Name)
		pushed.Objects = append(pushed.Objects, objectToWire(o))
	}
	if size > maxPushBytes || change.Before.AsOf == 0 {
		return
	}
	h.rosterMu.Lock()
	self := h.roster.Self()
	var targets []string
	for _, beat := range h.roster.Live(time.Now()) {
		if beat.Region == self.Region && beat.ID != self.ID {
			targets = append(targets, beat.PeerAddress)
		}
	}
	h.rosterMu.Unlock()
	beat := &wirepb.Heartbeat{Self: beatToWire(self, 0), Changes: []*wirepb.CollectionChange{pushed}}
	slim(beat.Self)
	h.sendTo(*socket, beat, targets)
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
			AsOf:       pushed.GetAsOf(),
		}
		for _, o := range pushed.GetObjects() {
			change.Objects = append(change.Objects, objectFromWire(o))
		}
		if !h.reader.Pushed(change, message.GetSelf().GetId()) {
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
		h.compare(inventory.Collection(state.GetCollection()), inventory.Mark{AsOf: state.GetAsOf(), Digest: state.GetDigest()},
			peerAhead{address: peer.PeerAddress, since: now, remote: peer.Region != h.Settings.Region})
	}
}

// compare notes whether a peer knows more of a collection than this host.
func (h *Host) compare(c inventory.Collection, theirs inventory.Mark, peer peerAhead) {
	mine := h.reader.Mark(c)
	if theirs.AsOf > 0 && theirs.Digest == mine.Digest && mine.AsOf > 0 {
		if theirs.AsOf > mine.AsOf {
			h.reader.Confirmed(c, theirs.AsOf)
		}
		return
	}
	ahead := theirs.AsOf > mine.AsOf
	h.newsMu.Lock()
	defer h.newsMu.Unlock()
	known, waiting := h.ahead[c]
	switch {
	case ahead && !waiting:
		h.ahead[c] = peer
	case ahead && known.remote && !peer.remote:
		peer.since = known.since
		h.ahead[c] = peer
	case !ahead && waiting && known.address == peer.address:
		delete(h.ahead, c)
	}
}

// pullNewer asks peers for what this host has missed.
func (h *Host) pullNewer(ctx context.Context) {
	client := wire.NewQuietClient(h.identity(), wire.DefaultMaxFrameBytes)
	defer client.Close()
	tick := time.NewTicker(pullInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			for address, collections := range h.duePulls(now) {
				h.pull(ctx, client, address, collections)
			}
		}
	}
}

// duePulls returns the collections to pull by peer, and forgets them.
func (h *Host) duePulls(now time.Time) map[string][]uint32 {
	h.newsMu.Lock()
	defer h.newsMu.Unlock()
	due := make(map[string][]uint32)
	for c, peer := range h.ahead {
		wait := pullAfter
		if peer.remote {
			wait = pullRemoteAfter
		}
		if h.reader.Mark(c).AsOf == 0 {
			wait = 0
		}
		if now.Sub(peer.since) >= wait {
			due[peer.address] = append(due[peer.address], uint32(c))
			delete(h.ahead, c)
		}
	}
	return due
}

func (h *Host) pull(ctx context.Context, client *wire.Client, address string, collections []uint32) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	h.Metrics.Add("pulls", 1)
	question := &wirepb.Envelope{Body: &wirepb.Envelope_SnapshotPull{SnapshotPull: &wirepb.SnapshotPull{Collections: collections}}}
	reply, err := client.Call(ctx, address, question)
	if err != nil {
		h.Log.Emit(events.PeerConnectionLost, events.Peer(address), events.Reason(err))
		return
	}
	for _, snapshot := range reply.GetSnapshotReply().GetCollections() {
		batch := inventory.Batch{Revision: snapshot.GetAsOf()}
		for _, o := range snapshot.GetObjects() {
			batch.Objects = append(batch.Objects, objectFromWire(o))
		}
		c := inventory.Collection(snapshot.GetCollection())
		h.reader.Adopt(c, batch, address)
		h.Log.Emit(events.StateFromPeer, events.Subject(c.String()), events.Peer(address), events.Count(len(batch.Objects)))
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
