package host

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/events"
	"github.com/wisteriacrank/wisteriacrank/internal/upstream"
	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
	"github.com/wisteriacrank/wisteriacrank/pkg/quarantine"
)

const (
	// suspectFor is how long a request stays a suspect after the crash of one
	// server. Servers also crash for other causes; a resend that completes
	// clears the request sooner.
	suspectFor = 20 * time.Second
	// convictedFor is how long a request that crashed two servers is refused.
	// Callers resend within their time limit, which is seconds. A request that
	// ran during two unrelated crashes is refused no longer than this.
	convictedFor = time.Minute
	// maxSuspects is the maximum number of entries in the table: about 200 KB.
	maxSuspects = 1000
	// noticeRepeatTime is how long a change is repeated to peers: several
	// heartbeats to other regions, of which one may be lost.
	noticeRepeatTime = 5 * time.Second
	// maxNotices bounds the changes in one heartbeat, so that it fits into one
	// datagram.
	maxNotices = 32
	// verifyInterval is the minimum interval between two checks whether a server
	// still accepts connections: the time of a few requests.
	verifyInterval = 200 * time.Millisecond
	// verifyWait is how long a request whose connection was lost waits for the
	// check, so that it is not forwarded to crash another server: more than a
	// round trip between regions.
	verifyWait = 200 * time.Millisecond
	// convictedRetryAfter is the Retry-After of a convicted request.
	convictedRetryAfter = 30 * time.Second
)

// crashGuard detects requests that crash backend servers: content is convicted
// at the second crash of a server that ran it, unless it completed in between.
// It is safe for concurrent use.
type crashGuard struct {
	mu     sync.Mutex
	table  *quarantine.Table
	losses *quarantine.Losses
	// recent holds the changes that are reported to peers.
	recent map[quarantine.Hash]statusChange
	// checks has, for each request whose connection was lost, a channel that is
	// closed once it is known whether the server has crashed.
	checks map[quarantine.Hash]<-chan struct{}
}

type statusChange struct {
	status quarantine.Status
	at     time.Time
}

func newCrashGuard() *crashGuard {
	return &crashGuard{
		table:  quarantine.NewTable(maxSuspects, quarantine.Lifetimes{Suspect: suspectFor, Convicted: convictedFor}),
		losses: quarantine.NewLosses(),
		recent: make(map[quarantine.Hash]statusChange),
		checks: make(map[quarantine.Hash]<-chan struct{}),
	}
}

// hasEntries reports whether any request is suspect, convicted or being checked.
// If none is, requests are forwarded without hashing their content.
func (g *crashGuard) hasEntries() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Len()+len(g.checks) > 0
}

// beginCheck records that it is being checked whether a request has crashed its
// server. The check ends when the returned function is called.
func (g *crashGuard) beginCheck(h quarantine.Hash) (done <-chan struct{}, end func()) {
	checked := make(chan struct{})
	g.mu.Lock()
	defer g.mu.Unlock()
	g.checks[h] = checked
	return checked, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.checks[h] == checked {
			delete(g.checks, h)
		}
		close(checked)
	}
}

// runningCheck returns the check of a request, or nil.
func (g *crashGuard) runningCheck(h quarantine.Hash) <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.checks[h]
}

func (g *crashGuard) isConvicted(h quarantine.Hash, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Status(h, now) == quarantine.Convicted
}

// recordLoss records a request whose connection was lost while a server ran it.
// If the server is known to have crashed, the new status is returned.
func (g *crashGuard) recordLoss(server string, h quarantine.Hash, now time.Time) quarantine.Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.losses.Lost(server, h, now) {
		return quarantine.Clear
	}
	return g.suspect(h, now)
}

// recordCrash records that a server's process has ended, and returns the new
// statuses of the requests that it ran.
func (g *crashGuard) recordCrash(server string, now time.Time) []quarantine.Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	var statuses []quarantine.Status
	for _, h := range g.losses.Crashed(server, now) {
		statuses = append(statuses, g.suspect(h, now))
	}
	return statuses
}

// suspect raises the status of a request that ran on a crashed server. It is
// called with the lock held.
func (g *crashGuard) suspect(h quarantine.Hash, now time.Time) quarantine.Status {
	status := g.table.Crashed(h, true, now)
	g.recent[h] = statusChange{status: status, at: now}
	return status
}

// recordCompletion records that a server completed a request.
func (g *crashGuard) recordCompletion(h quarantine.Hash, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.table.Completed(h, true, now) {
		g.recent[h] = statusChange{status: quarantine.Clear, at: now}
	}
}

// counts returns the numbers of suspected and convicted requests.
func (g *crashGuard) counts(now time.Time) (suspected, convicted int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Counts(now)
}

// notices returns the changes of the last noticeRepeatTime for peers.
func (g *crashGuard) notices(now time.Time) []*wirepb.SuspectNotice {
	g.mu.Lock()
	defer g.mu.Unlock()
	var notices []*wirepb.SuspectNotice
	for h, s := range g.recent {
		if now.Sub(s.at) >= noticeRepeatTime {
			delete(g.recent, h)
			continue
		}
		if len(notices) < maxNotices {
			notices = append(notices, &wirepb.SuspectNotice{
				ContentHash: h[:],
				Convicted:   s.status == quarantine.Convicted,
				Cleared:     s.status == quarantine.Clear,
			})
		}
	}
	return notices
}

// applyNotice applies a change that a peer reported. Changes are forwarded in
// turn, so that they reach hosts with which the peer exchanges no heartbeats.
func (g *crashGuard) applyNotice(notice *wirepb.SuspectNotice, now time.Time) {
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
	case g.recent[h].status != quarantine.Clear || now.Sub(g.recent[h].at) >= noticeRepeatTime:
		// A request that was cleared within noticeRepeatTime does not become a
		// suspect again because a peer has not received the clearance yet.
		g.table.Raise(h, quarantine.Suspect, now)
	}
	if after := g.table.Status(h, now); after != before {
		g.recent[h] = statusChange{status: after, at: now}
	}
}

// contentHash identifies the content of a request. The request ID is not part of
// it, because callers resend the same content under a new ID.
func (r *requestState) contentHash() quarantine.Hash {
	return quarantine.HashOf(r.service, r.req.Method+" "+r.req.Target+" "+r.call.Object, r.req.Body)
}

// isConvicted reports whether the request's content is convicted.
func (r *requestState) isConvicted() bool {
	g := r.host.crashes
	return g.hasEntries() && g.isConvicted(r.contentHash(), time.Now())
}

// awaitCheck waits, at most verifyWait, while it is being checked whether the same
// content has crashed a server: a caller that resends at once would otherwise reach
// a further server before the content is convicted.
func (r *requestState) awaitCheck() {
	g := r.host.crashes
	if !g.hasEntries() {
		return
	}
	waitAtMost(g.runningCheck(r.contentHash()), verifyWait)
}

// waitAtMost waits until a channel is closed, at most for d. It does not wait for a
// nil channel.
func waitAtMost(done <-chan struct{}, d time.Duration) {
	if done == nil {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// recordCompletion clears the request if it is a suspect.
func (r *requestState) recordCompletion() {
	if g := r.host.crashes; g.hasEntries() {
		g.recordCompletion(r.contentHash(), time.Now())
	}
}

// handleConnectionLoss checks whether the server that ran the request has
// crashed. If the request may be resent, it waits for the result, at most
// verifyWait.
func (r *requestState) handleConnectionLoss() {
	h := r.host
	now := time.Now()
	h.reportSuspects(r.server, h.crashes.recordLoss(r.server, r.contentHash(), now))
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
	verified, end := h.crashes.beginCheck(r.contentHash())
	server := r.server
	go func() {
		defer end()
		h.verifyReachable(server, b)
	}()
	if r.route.Kind.MayRepeat() && r.sentAttempts < r.route.MaxAttempts {
		waitAtMost(verified, verifyWait)
	}
}

// verifyReachable marks a server as unreachable if it accepts no new connection.
func (h *Host) verifyReachable(server string, b *backend) {
	ctx, cancel := context.WithTimeout(context.Background(), upstream.DialTimeout)
	defer cancel()
	if err := b.pool.Open(ctx, func(took time.Duration) { h.observeDial(server, took) }); err != nil {
		h.markUnreachable(server, err)
	}
}

// reportSuspects logs the statuses of requests that a crashed server ran, and
// reports them to peers.
func (h *Host) reportSuspects(server string, statuses ...quarantine.Status) {
	changed := false
	for _, status := range statuses {
		switch status {
		case quarantine.Suspect:
			h.Log.Emit(events.RequestSuspected, events.Server(model.ServerID(server)))
		case quarantine.Convicted:
			h.Log.Emit(events.RequestConvicted, events.Server(model.ServerID(server)))
		default:
			continue
		}
		changed = true
	}
	if changed {
		h.announce()
	}
}

// errConvicted is the reason for refusing convicted requests.
var errConvicted = errors.New("request crashed two backend servers")
