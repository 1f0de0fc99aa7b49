package host

import (
	"context"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
	"github.com/wisteriacrank/wisteriacrank/pkg/scheduler"
)

const (
	// shareInterval is the time between two reports to the hosts that use the
	// same servers: a small part of what a request takes.
	shareInterval = 40 * time.Millisecond
	// shareAllEvery is the number of reports of which one repeats everything,
	// in time for reports that were lost.
	shareAllEvery = 5
)

// shareUse tells the other entry hosts of the region what this host has at the
// servers, until ctx ends.
func (h *Host) shareUse(ctx context.Context) error {
	tick := time.NewTicker(shareInterval)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return nil
		case now := <-tick.C:
			h.reportUse(now, n%shareAllEvery == 0)
		}
	}
}

func (h *Host) reportUse(now time.Time, all bool) {
	h.mu.Lock()
	uses := h.scheduler.Report(all)
	h.mu.Unlock()
	socket := h.beatSocket.Load()
	if len(uses) == 0 || socket == nil {
		return
	}
	h.rosterMu.Lock()
	self := h.roster.Self()
	var targets []string
	for _, beat := range h.roster.Entries(now, self.Region, h.entryCount()) {
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
	uses := make([]scheduler.Use, 0, len(message.GetUses()))
	for _, use := range message.GetUses() {
		uses = append(uses, scheduler.Use{Server: use.GetServer(), Running: int(use.GetRunning()), Held: use.GetHeld()})
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.deliver(h.scheduler.PeerReported(now, message.GetSelf().GetId(), uses))
}
