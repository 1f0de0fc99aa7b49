package host

import (
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
	"github.com/wisteriacrank/wisteriacrank/pkg/scheduler"
)

const (
	// shareInterval is the time between two reports to the hosts that use the
	// same servers: a small part of what a request takes.
	shareInterval = 40 * time.Millisecond
	// shareAllInterval is the time after which everything that runs is reported
	// again, in time for reports that were lost.
	shareAllInterval = 200 * time.Millisecond
)

// shareSoon has the other entry hosts of the region told of a change in what
// this host has at the servers. It is called with the lock held; a host
// without requests does not wake up.
func (h *Host) shareSoon() {
	if h.sharing {
		return
	}
	h.sharing = true
	time.AfterFunc(shareInterval, h.shareUse)
}

func (h *Host) shareUse() {
	now := time.Now()
	h.mu.Lock()
	all := now.Sub(h.sharedAll) >= shareAllInterval
	if all {
		h.sharedAll = now
	}
	uses := h.scheduler.Report(all)
	h.sharing = false
	if h.scheduler.Running() > 0 {
		h.shareSoon()
	}
	h.mu.Unlock()
	h.sendUse(now, uses)
}

func (h *Host) sendUse(now time.Time, uses []scheduler.ServerUse) {
	socket := h.beatSocket.Load()
	if len(uses) == 0 || socket == nil {
		return
	}
	h.rosterMu.Lock()
	self := h.roster.Self()
	var targets []string
	for _, beat := range h.roster.EntriesFor(now, self.Region, h.slotsPerRegion()) {
		if beat.ID != self.ID {
			targets = append(targets, beat.PeerAddress)
		}
	}
	h.rosterMu.Unlock()
	message := &wirepb.Heartbeat{Self: beatToWire(self, 0)}
	slim(message.Self)
	for _, use := range uses {
		message.Uses = append(message.Uses, &wirepb.ServerUse{Server: use.Server, Running: uint32(use.Running), Held: use.Held})
	}
	h.sendTo(*socket, message, targets)
}

func (h *Host) heardOfServers(now time.Time, message *wirepb.Heartbeat) {
	if len(message.GetUses()) == 0 {
		return
	}
	uses := make([]scheduler.ServerUse, 0, len(message.GetUses()))
	for _, use := range message.GetUses() {
		uses = append(uses, scheduler.ServerUse{Server: use.GetServer(), Running: int(use.GetRunning()), Held: use.GetHeld()})
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.deliver(h.scheduler.PeerReported(now, message.GetSelf().GetId(), uses))
}
