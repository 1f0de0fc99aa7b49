package host

import (
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/events"
	"github.com/wisteriacrank/wisteriacrank/internal/inventory"
	"github.com/wisteriacrank/wisteriacrank/pkg/fleet"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
	"github.com/wisteriacrank/wisteriacrank/pkg/roster"
)

// logViewChanges logs the differences between two views, except for added and
// removed servers, which are logged when their connections are opened or
// closed.
func logViewChanges(log *events.Log, before, after *inventory.View, changed []string) {
	if after.Config != nil && before.Config != after.Config {
		log.Emit(events.ConfigInForce, configFields(after)...)
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
	for _, id := range changed {
		if server, ok := after.Servers[id]; ok && server.State == fleet.Draining && before.Servers[id].State != fleet.Draining {
			log.Emit(events.ServerDraining, events.Server(model.ServerID(id)))
		}
	}
}

func configFields(view *inventory.View) []events.Field {
	fields := []events.Field{events.Generation(model.Generation(view.Config.Version))}
	if view.Sender != "" {
		fields = append(fields, events.Peer(view.Sender))
	}
	return fields
}

// peerLog logs the hosts of the region that become live or unresponsive.
type peerLog struct{ live map[string]bool }

// update logs the hosts of the region that became live or stopped being live
// since the last call. It is not safe for concurrent use.
func (p *peerLog) update(log *events.Log, self roster.Heartbeat, live []roster.Heartbeat) {
	current := make(map[string]bool, len(live))
	for _, peer := range live {
		if peer.Region != self.Region || peer.ID == self.ID {
			continue
		}
		current[peer.ID] = true
		if !p.live[peer.ID] {
			log.Emit(events.PeerSeen, events.Peer(peer.ID), events.Address(peer.PeerAddress))
		}
	}
	for id := range p.live {
		if !current[id] {
			log.Emit(events.PeerSilent, events.Peer(id))
		}
	}
	p.live = current
}

// logPeers logs changes of the hosts that are live.
func (h *Host) logPeers(now time.Time) {
	h.rosterMu.Lock()
	self, live := h.roster.Self(), h.roster.Live(now)
	h.rosterMu.Unlock()
	h.peerLog.update(h.Log, self, live)
}
