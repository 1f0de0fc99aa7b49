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
	// pullAfter and pullRemoteAfter are how long a peer has to be ahead before
	// a collection is pulled from it: pushes and the region's own readers need a
	// moment, and bytes between regions are priced.
	pullAfter       = 250 * time.Millisecond
	pullRemoteAfter = 400 * time.Millisecond
	// idlePuller is the pause while no peer is ahead.
	idlePuller = 10 * time.Second
	// pullTimeout bounds one question to a peer: the answer may take a few round
	// trips between regions, and another peer has to be asked in time.
	pullTimeout = 800 * time.Millisecond
	// maxOthers bounds the peers that are asked after one that did not answer.
	maxOthers = 3
)

// peerAhead is a peer that knows more of a collection.
type peerAhead struct {
	address string
	mark    inventory.Mark
	since   time.Time
	remote  bool
	// others are asked if the peer does not answer.
	others []string
}

// compare notes whether a peer knows more of a collection than this host.
func (h *Host) compare(c inventory.Collection, peer peerAhead) {
	mine := h.reader.Mark(c)
	if peer.mark.AsOf > 0 && peer.mark.Digest == mine.Digest && mine.AsOf > 0 {
		if peer.mark.AsOf > mine.AsOf {
			h.reader.Confirm(c, peer.mark.AsOf)
		}
		return
	}
	ahead := isAhead(peer.mark, mine)
	h.newsMu.Lock()
	defer h.newsMu.Unlock()
	known, waiting := h.ahead[c]
	switch {
	case ahead && !waiting:
		h.ahead[c] = peer
		h.wakePuller()
	case ahead && (known.remote && !peer.remote || known.remote == peer.remote && peer.mark.AsOf > known.mark.AsOf):
		peer.since, peer.others = known.since, known.others
		peer.remember(known.address)
		h.ahead[c] = peer
		h.wakePuller()
	case ahead && known.remote == peer.remote:
		known.remember(peer.address)
		h.ahead[c] = known
	case !ahead && waiting && known.address == peer.address:
		delete(h.ahead, c)
	}
}

func (p *peerAhead) remember(address string) {
	if len(p.others) < maxOthers && address != p.address && !slices.Contains(p.others, address) {
		p.others = append(p.others, address)
	}
}

// askAnother puts the next peer in the place of one that did not answer.
func (h *Host) askAnother(c inventory.Collection, silent peerAhead) {
	if len(silent.others) == 0 {
		return
	}
	h.newsMu.Lock()
	defer h.newsMu.Unlock()
	if _, waiting := h.ahead[c]; waiting {
		return
	}
	next := silent
	next.address, next.others = silent.others[0], silent.others[1:]
	h.ahead[c] = next
	h.wakePuller()
}

// isAhead reports whether a mark is that of later content.
func isAhead(theirs, mine inventory.Mark) bool {
	return theirs.AsOf > mine.AsOf && (theirs.Digest != mine.Digest || mine.AsOf == 0)
}

// wakePuller makes pullNewer look at once for what is due.
func (h *Host) wakePuller() {
	select {
	case h.newsDue <- struct{}{}:
	default:
	}
}

// pullNewer asks peers for what this host has missed.
func (h *Host) pullNewer(ctx context.Context) {
	client := wire.NewQuietClient(h.identity(), wire.DefaultMaxFrameBytes)
	defer client.Close()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.newsDue:
		case <-timer.C:
		}
		due, next := h.duePulls(time.Now())
		for address, collections := range due {
			h.pull(ctx, client, address, collections)
		}
		timer.Reset(next)
	}
}

// duePulls returns the collections to pull by peer, which it forgets, and the
// time until the next are due. What came in another way meanwhile is left out.
func (h *Host) duePulls(now time.Time) (due map[string][]pullOrder, next time.Duration) {
	h.newsMu.Lock()
	defer h.newsMu.Unlock()
	due, next = make(map[string][]pullOrder), idlePuller
	for c, peer := range h.ahead {
		mine := h.reader.Mark(c)
		left := peer.since.Add(h.pullWait(peer, mine)).Sub(now)
		switch {
		case !isAhead(peer.mark, mine):
			delete(h.ahead, c)
		case left > 0:
			next = min(next, left)
		default:
			due[peer.address] = append(due[peer.address], pullOrder{c, peer})
			delete(h.ahead, c)
		}
	}
	return due, next
}

// pullOrder is a collection to pull.
type pullOrder struct {
	collection inventory.Collection
	from       peerAhead
}

// pullWait is how long a peer has to be ahead. It is called with newsMu held.
func (h *Host) pullWait(peer peerAhead, mine inventory.Mark) time.Duration {
	switch {
	case mine.AsOf == 0:
		return 0
	case !peer.remote:
		return pullAfter
	case h.readersLost:
		return 0
	default:
		return pullRemoteAfter
	}
}

func (h *Host) pull(ctx context.Context, client *wire.Client, address string, orders []pullOrder) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	h.Metrics.Add("pulls", 1)
	asked := &wirepb.SnapshotPull{}
	remote := make(map[inventory.Collection]bool)
	for _, order := range orders {
		asked.Collections = append(asked.Collections, uint32(order.collection))
		remote[order.collection] = order.from.remote
	}
	question := &wirepb.Envelope{Body: &wirepb.Envelope_SnapshotPull{SnapshotPull: asked}}
	reply, err := client.Call(ctx, address, question)
	if err != nil {
		h.Log.Emit(events.PeerConnectionLost, events.Peer(address), events.Reason(err))
		for _, order := range orders {
			h.askAnother(order.collection, order.from)
		}
		return
	}
	for _, snapshot := range reply.GetSnapshotReply().GetCollections() {
		batch := inventory.Batch{Revision: snapshot.GetAsOf()}
		for _, o := range snapshot.GetObjects() {
			batch.Objects = append(batch.Objects, objectFromWire(o))
		}
		c := inventory.Collection(snapshot.GetCollection())
		change, changed := h.reader.ApplyListing(c, batch, address)
		h.Log.Emit(events.StateFromPeer, events.Subject(c.String()), events.Peer(address), events.Count(len(batch.Objects)))
		if changed && remote[c] {
			h.passOn(change)
		}
	}
}
