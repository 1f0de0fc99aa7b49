package host

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/events"
	"github.com/wisteriacrank/wisteriacrank/internal/upstream"
	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
	"github.com/wisteriacrank/wisteriacrank/pkg/fleet"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
	"github.com/wisteriacrank/wisteriacrank/pkg/quarantine"
)

const (
	// suspectFor is how long the crash of one server is held against a request.
	// Servers also crash by themselves, and a resend that completes clears the
	// request sooner.
	suspectFor = 20 * time.Second
	// convictedFor is how long a request that crashed two servers is refused.
	// Callers resend within their time limit, which is seconds; two crashes that
	// only met by chance cost no more than this.
	convictedFor = time.Minute
	// maxSuspects bounds the table to about 200 KB.
	maxSuspects = 1000
	// tellSuspectFor is how long a change is repeated to peers: several
	// heartbeats to other regions, of which one may be lost.
	tellSuspectFor = 5 * time.Second
	// maxTold bounds the changes in one heartbeat, so that it fits a datagram.
	maxTold = 32
	// verifyInterval is the least time between two checks whether a server
	// still accepts connections: a few requests.
	verifyInterval = 200 * time.Millisecond
	// verifyWait is how long a request whose connection was lost waits for the
	// check, so that it is not sent on to crash another server: more than a
	// round trip between regions.
	verifyWait = 200 * time.Millisecond
	// convictedRetryAfter is proposed to callers of a refused request.
	convictedRetryAfter = 30 * time.Second
)

// crashGuard refuses requests that crash backend servers: the second crash of
// a server that ran the same content, with no completion between, convicts it.
// It is safe for concurrent use.
type crashGuard struct {
	mu     sync.Mutex
	table  *quarantine.Table
	losses *quarantine.Losses
	// told are the changes that peers are told of, with the time of the change.
	told map[quarantine.Hash]suspicion
}

type suspicion struct {
	standing quarantine.Status
	at       time.Time
}

func newCrashGuard() *crashGuard {
	return &crashGuard{
		table:  quarantine.NewTable(maxSuspects, quarantine.Lifetimes{Suspect: suspectFor, Convicted: convictedFor}),
		losses: quarantine.NewLosses(),
		told:   make(map[quarantine.Hash]suspicion),
	}
}

// watches reports whether any request is under suspicion. Until then no
// content is hashed.
func (g *crashGuard) watches() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Len() > 0
}

func (g *crashGuard) isConvicted(h quarantine.Hash, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Status(h, now) == quarantine.Convicted
}

// lost notes a request whose connection was lost while a server ran it. If the
// server is known to have crashed, the new standing is returned.
func (g *crashGuard) lost(server string, h quarantine.Hash, now time.Time) quarantine.Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.losses.Lost(server, h, now) {
		return quarantine.Clear
	}
	return g.blame(h, now)
}

// crashed notes that a server's process has ended, and returns the new standings
// of the requests that it ran.
func (g *crashGuard) crashed(server string, now time.Time) []quarantine.Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	var standings []quarantine.Status
	for _, h := range g.losses.Crashed(server, now) {
		standings = append(standings, g.blame(h, now))
	}
	return standings
}

// blame is called with the lock held.
func (g *crashGuard) blame(h quarantine.Hash, now time.Time) quarantine.Status {
	standing := g.table.Crashed(h, true, now)
	g.told[h] = suspicion{standing: standing, at: now}
	return standing
}

// completed notes that a server survived a request.
func (g *crashGuard) completed(h quarantine.Hash, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.table.Completed(h, true, now) {
		g.told[h] = suspicion{standing: quarantine.Clear, at: now}
	}
}

// counts returns the numbers of suspected and convicted contents.
func (g *crashGuard) counts(now time.Time) (suspected, convicted int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Counts(now)
}

// notices returns the changes of the last seconds, for peers.
func (g *crashGuard) notices(now time.Time) []*wirepb.SuspectNotice {
	g.mu.Lock()
	defer g.mu.Unlock()
	var notices []*wirepb.SuspectNotice
	for h, s := range g.told {
		if now.Sub(s.at) >= tellSuspectFor {
			delete(g.told, h)
			continue
		}
		if len(notices) < maxTold {
			notices = append(notices, &wirepb.SuspectNotice{
				ContentHash: h[:],
				Convicted:   s.standing == quarantine.Convicted,
				Cleared:     s.standing == quarantine.Clear,
			})
		}
	}
	return notices
}

// heard takes over what a peer has learned. News are passed on in turn, so
// that they reach hosts that the peer does not speak to.
func (g *crashGuard) heard(notice *wirepb.SuspectNotice, now time.Time) {
	var h quarantine.Hash
	if len(notice.GetContentHash()) != len(h) {
		return
	}
	copy(h[:], notice.GetContentHash())
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.table.Status(h, now)
	switch {
	case notice.GetCleared():
		g.table.Clear(h)
	case notice.GetConvicted():
		g.table.Raise(h, quarantine.Convicted, now)
	case g.told[h].standing != quarantine.Clear || now.Sub(g.told[h].at) >= tellSuspectFor:
		// A suspicion that was cleared a moment ago is not taken back from a
		// peer that has not heard of it.
		g.table.Raise(h, quarantine.Suspect, now)
	}
	if after := g.table.Status(h, now); after != before {
		g.told[h] = suspicion{standing: after, at: now}
	}
}

// content identifies what a request asks for. Its ID is no part of it: callers
// send the same content again under a new one.
func (r *run) content() quarantine.Hash {
	return quarantine.HashOf(r.service, r.req.Method+" "+r.req.Target+" "+r.call.Object, r.req.Body)
}

// isConvicted reports whether the request is known to crash servers.
func (r *run) isConvicted() bool {
	g := r.host.crashes
	return g.watches() && g.isConvicted(r.content(), time.Now())
}

// survived clears the request of a suspicion.
func (r *run) survived() {
	if g := r.host.crashes; g.watches() {
		g.completed(r.content(), time.Now())
	}
}

// connectionLost looks whether the server that ran the request has crashed. If
// the request may be sent on, it returns when that is known, or after verifyWait.
func (r *run) connectionLost() {
	h := r.host
	now := time.Now()
	h.suspected(r.server, h.crashes.lost(r.server, r.content(), now))
	h.mu.Lock()
	b := h.backends[r.server]
	due := b != nil && !b.probing && now.Sub(b.verifiedAt) >= verifyInterval
	if due {
		b.verifiedAt = now
	}
	h.mu.Unlock()
	if !due {
		return
	}
	verified := make(chan struct{})
	go func() {
		defer close(verified)
		h.verify(r.server, b)
	}()
	if r.route.Kind != fleet.Idempotent || r.sends >= r.route.MaxAttempts {
		return
	}
	select {
	case <-verified:
	case <-time.After(verifyWait):
	}
}

// verify takes a server out if it accepts no new connection.
func (h *Host) verify(server string, b *backend) {
	ctx, cancel := context.WithTimeout(context.Background(), upstream.DialTimeout)
	defer cancel()
	if err := b.pool.Open(ctx, func(took time.Duration) { h.dialed(server, took) }); err != nil {
		h.unreachable(server, err)
	}
}

// suspected logs the standings of requests that a crashed server ran, and
// tells peers of them.
func (h *Host) suspected(server string, standings ...quarantine.Status) {
	told := false
	for _, standing := range standings {
		switch standing {
		case quarantine.Suspect:
			h.Log.Emit(events.RequestSuspected, events.Server(model.ServerID(server)))
		case quarantine.Convicted:
			h.Log.Emit(events.RequestConvicted, events.Server(model.ServerID(server)))
		default:
			continue
		}
		told = true
	}
	if told {
		h.announce()
	}
}

// errConvicted ends requests that are known to crash servers.
var errConvicted = errors.New("request crashed two backend servers")
