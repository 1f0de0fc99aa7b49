package host

import (
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/events"
	"github.com/wisteriacrank/wisteriacrank/internal/inventory"
	"github.com/wisteriacrank/wisteriacrank/pkg/fleet"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
	"github.com/wisteriacrank/wisteriacrank/pkg/roster"
)

// logChanges logs what a new view changes in what the host believes, except for
// servers that come and go, which are logged with their connections.
func logChanges(log *events.Log, before, after *inventory.View) {
	if after.Config != nil && (before == nil || before.Config != after.Config) {
		log.Emit(events.ConfigInForce, inForce(after)...)
	}
	if before == nil {
		before = &inventory.View{}
	}
	for domain := range after.Evacuated {
		if !before.Evacuated[domain] {
			log.Emit(events.DomainEvacuated, events.FailureDomain(model.FailureDomain(domain)))
		}
	}
	for domain := range before.Evacuated {
		if !after.Evacuated[domain] {
			log.Emit(events.DomainReleased, events.FailureDomain(model.FailureDomain(domain)))
		}
	}
	for id, server := range after.Servers {
		if server.State == fleet.Draining && before.Servers[id].State != fleet.Draining {
			log.Emit(events.ServerDraining, events.Server(model.ServerID(id)))
		}
	}
}

func inForce(view *inventory.View) []events.Field {
	fields := []events.Field{events.Generation(model.Generation(view.Config.Version))}
	if view.Sender != "" {
		fields = append(fields, events.Peer(view.Sender))
	}
	return fields
}

// peerLog remembers the hosts of the region that were live.
type peerLog struct{ live map[string]bool }

// note logs the hosts of the region that were heard for the first time, or are
// not heard of any more. It is called by one goroutine.
func (p *peerLog) note(log *events.Log, self roster.Heartbeat, live []roster.Heartbeat) {
	now := make(map[string]bool, len(live))
	for _, beat := range live {
		if beat.Region != self.Region || beat.ID == self.ID {
			continue
		}
		now[beat.ID] = true
		if !p.live[beat.ID] {
			log.Emit(events.PeerSeen, events.Peer(beat.ID), events.Address(beat.PeerAddress))
		}
	}
	for id := range p.live {
		if !now[id] {
			log.Emit(events.PeerSilent, events.Peer(id))
		}
	}
	p.live = now
}

// logPeers notes the hosts that are live now.
func (h *Host) logPeers(now time.Time) {
	h.rosterMu.Lock()
	self, live := h.roster.Self(), h.roster.Live(now)
	h.rosterMu.Unlock()
	h.peers.note(h.Log, self, live)
}
