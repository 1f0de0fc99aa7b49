package host

import (
	"context"
	"slices"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/events"
	"github.com/wisteriacrank/wisteriacrank/internal/inventory"
	"github.com/wisteriacrank/wisteriacrank/internal/wire"
	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
)

const (
	// pullAfter and pullRemoteAfter are how long a peer of the own region and of
	// another region must have newer content before a collection is pulled from
	// it: pushes and the region's own readers usually deliver it sooner, and
	// bytes between regions are priced.
	pullAfter       = 250 * time.Millisecond
	pullRemoteAfter = 400 * time.Millisecond
	// idlePullInterval is the pause while no peer has newer content.
	idlePullInterval = 10 * time.Second
	// pullTimeout bounds one pull from a peer: the reply may take a few round
	// trips between regions, and time must remain to pull from another peer.
	pullTimeout = 800 * time.Millisecond
	// maxAlternates bounds the peers that are tried after one that did not reply.
	maxAlternates = 3
)

// newerPeer is a peer that has newer content of a collection.
type newerPeer struct {
	address string
	mark    inventory.Mark
	since   time.Time
	remote  bool
	// alternates are the addresses of peers to try if this one does not reply.
	alternates []string
}

// compareMark compares a peer's mark of a collection with the mark of this host,
// and schedules a pull if the peer has newer content.
func (h *Host) compareMark(c inventory.Collection, peer newerPeer) {
	mine := h.reader.Mark(c)
	if !peer.mark.AsOf.IsZero() && peer.mark.SameContent(mine) && !mine.AsOf.IsZero() {
		if peer.mark.AsOf.After(mine.AsOf) {
			h.reader.Confirm(c, peer.mark.AsOf)
		}
		return
	}
	newer := isNewer(peer.mark, mine)
	h.newerMu.Lock()
	defer h.newerMu.Unlock()
	current, waiting := h.newer[c]
	switch {
	case newer && !waiting:
		h.newer[c] = peer
		h.wakePuller()
	case newer && peer.supersedes(current):
		peer.since, peer.alternates = current.since, current.alternates
		peer.addAlternate(current.address)
		h.newer[c] = peer
		h.wakePuller()
	case newer && current.remote == peer.remote:
		current.addAlternate(peer.address)
		h.newer[c] = current
	case !newer && waiting && current.address == peer.address:
		delete(h.newer, c)
	}
}

// supersedes reports whether this peer is to be asked instead of another one.
func (p *newerPeer) supersedes(other newerPeer) bool {
	switch {
	case p.mark.AsOf.Era != other.mark.AsOf.Era:
		return p.mark.AsOf.Era > other.mark.AsOf.Era
	case p.remote != other.remote:
		return other.remote
	default:
		return p.mark.AsOf.After(other.mark.AsOf)
	}
}

func (p *newerPeer) addAlternate(address string) {
	if len(p.alternates) < maxAlternates && address != p.address && !slices.Contains(p.alternates, address) {
		p.alternates = append(p.alternates, address)
	}
}

// tryNextPeer schedules a pull from the next alternate of a peer that did not
// reply.
func (h *Host) tryNextPeer(c inventory.Collection, failed newerPeer) {
	if len(failed.alternates) == 0 {
		return
	}
	h.newerMu.Lock()
	defer h.newerMu.Unlock()
	if _, waiting := h.newer[c]; waiting {
		return
	}
	next := failed
	next.address, next.alternates = failed.alternates[0], failed.alternates[1:]
	h.newer[c] = next
	h.wakePuller()
}

// isNewer reports whether the first mark is that of newer content. What the store has
// lost may be newer whatever the position.
func isNewer(theirs, mine inventory.Mark) bool {
	if theirs.HasLost && theirs.AsOf.Era == mine.AsOf.Era {
		return !theirs.SameContent(mine)
	}
	return !theirs.AsOf.IsZero() && theirs.AsOf.After(mine.AsOf) && (!theirs.SameContent(mine) || mine.AsOf.IsZero())
}

// wakePuller makes pullNewer check at once for due pulls.
func (h *Host) wakePuller() {
	select {
	case h.pullWake <- struct{}{}:
	default:
	}
}

// pullNewer pulls newer content from peers until ctx ends.
func (h *Host) pullNewer(ctx context.Context) {
	client := wire.NewQuietClient(h.identity(), wire.DefaultMaxFrameBytes)
	defer client.Close()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.pullWake:
		case <-timer.C:
		}
		due, next := h.duePulls(time.Now())
		for address, collections := range due {
			h.pull(ctx, client, address, collections)
		}
		timer.Reset(next)
	}
}

// duePulls removes the due pulls from newer and returns them by peer address,
// with the time until the next pull is due. Content that arrived meanwhile by
// other means is not pulled.
func (h *Host) duePulls(now time.Time) (due map[string][]duePull, next time.Duration) {
	h.newerMu.Lock()
	defer h.newerMu.Unlock()
	due, next = make(map[string][]duePull), idlePullInterval
	for c, peer := range h.newer {
		mine := h.reader.Mark(c)
		left := peer.since.Add(h.pullWait(peer, mine)).Sub(now)
		switch {
		case !isNewer(peer.mark, mine):
			delete(h.newer, c)
		case left > 0:
			next = min(next, left)
		default:
			due[peer.address] = append(due[peer.address], duePull{c, peer})
			delete(h.newer, c)
		}
	}
	return due, next
}

// duePull is a collection to pull and the peer to pull it from.
type duePull struct {
	collection inventory.Collection
	peer       newerPeer
}

// pullWait returns how long a peer must have newer content before it is pulled.
// It is called with newerMu held.
func (h *Host) pullWait(peer newerPeer, mine inventory.Mark) time.Duration {
	switch {
	case mine.AsOf.IsZero(), peer.mark.AsOf.Era > mine.AsOf.Era:
		return 0
	case !peer.remote:
		return pullAfter
	case h.readersLostStore:
		return 0
	default:
		return pullRemoteAfter
	}
}

func (h *Host) pull(ctx context.Context, client *wire.Client, address string, pulls []duePull) {
	defer h.Log.RecoverPanic("snapshot from a peer")
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	h.Metrics.Add("pulls", 1)
	request := &wirepb.SnapshotPull{}
	remote := make(map[inventory.Collection]bool)
	for _, p := range pulls {
		request.Collections = append(request.Collections, uint32(p.collection))
		remote[p.collection] = p.peer.remote
	}
	envelope := &wirepb.Envelope{Body: &wirepb.Envelope_SnapshotPull{SnapshotPull: request}}
	reply, err := client.Call(ctx, address, envelope)
	if err != nil {
		h.Log.Emit(events.PeerConnectionLost, events.Peer(address), events.Reason(err))
		for _, p := range pulls {
			h.tryNextPeer(p.collection, p.peer)
		}
		return
	}
	h.applySnapshots(reply.GetSnapshotReply(), address, remote)
}

// applySnapshots applies the collections that a peer has sent. Changes of the
// remote ones, which come from another region, are forwarded.
func (h *Host) applySnapshots(reply *wirepb.SnapshotReply, address string, remote map[inventory.Collection]bool) {
	for _, snapshot := range reply.GetCollections() {
		if !h.isWatched(snapshot.GetCollection()) {
			continue
		}
		batch := snapshotFromWire(snapshot)
		c := inventory.Collection(snapshot.GetCollection())
		change, changed := h.reader.ApplyListing(c, batch, address)
		h.Log.Emit(events.StateFromPeer, events.Subject(c.String()), events.Peer(address), events.Count(len(batch.Objects)))
		if changed && remote[c] {
			h.forwardChange(change)
		}
	}
}
