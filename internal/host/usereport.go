package host

import (
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
	"github.com/wisteriacrank/wisteriacrank/pkg/scheduler"
)

const (
	// useReportInterval is the interval between reports to the hosts that use
	// the same servers: a small part of the duration of a request.
	useReportInterval = 40 * time.Millisecond
	// fullUseReportInterval is the interval between reports of all running
	// requests, which replace lost reports.
	fullUseReportInterval = 200 * time.Millisecond
)

// scheduleUseReport schedules a report to the other entry hosts of the region of
// the requests that this host runs on servers. Without requests no timer runs.
// It is called with mu held.
func (h *Host) scheduleUseReport() {
	if h.useReportScheduled {
		return
	}
	h.useReportScheduled = true
	time.AfterFunc(useReportInterval, h.reportUse)
}

func (h *Host) reportUse() {
	defer h.Log.RecoverPanic("use report")
	now := time.Now()
	h.sendUseReport(now, h.takeUseReport(now))
}

// takeUseReport returns what to report, and schedules the next report.
func (h *Host) takeUseReport(now time.Time) []scheduler.ServerUse {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := now.Sub(h.lastFullUseReport) >= fullUseReportInterval
	if all {
		h.lastFullUseReport = now
	}
	h.useReportScheduled = false
	if h.scheduler.Running() > 0 {
		h.scheduleUseReport()
	}
	return h.scheduler.Report(all)
}

func (h *Host) sendUseReport(now time.Time, uses []scheduler.ServerUse) {
	socket := h.heartbeatSocket.Load()
	if len(uses) == 0 || socket == nil {
		return
	}
	h.rosterMu.Lock()
	self := h.roster.Self()
	var targets []string
	for _, entry := range h.roster.EntriesFor(now, self.Region, h.slotsPerRegion()) {
		if entry.ID != self.ID {
			targets = append(targets, entry.PeerAddress)
		}
	}
	h.rosterMu.Unlock()
	message := &wirepb.Heartbeat{Self: heartbeatToWire(self, 0)}
	omitStaticFields(message.Self)
	for _, use := range uses {
		message.Uses = append(message.Uses, &wirepb.ServerUse{Server: use.Server, Running: uint32(use.Running), Held: use.Held})
	}
	h.sendTo(*socket, message, targets)
}

func (h *Host) applyServerUse(now time.Time, message *wirepb.Heartbeat) {
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
