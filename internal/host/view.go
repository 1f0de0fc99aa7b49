package host

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/events"
	"github.com/wisteriacrank/wisteriacrank/internal/inventory"
	"github.com/wisteriacrank/wisteriacrank/internal/upstream"
	"github.com/wisteriacrank/wisteriacrank/pkg/fleet"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
	"github.com/wisteriacrank/wisteriacrank/pkg/roster"
	"github.com/wisteriacrank/wisteriacrank/pkg/scheduler"
)

const (
	// maintainInterval is the interval between runs of the housekeeping of idle
	// connections and limits of cold servers.
	maintainInterval = 500 * time.Millisecond
	// coldSettleDelay is how long a host has been one of those that share the cold
	// servers before it uses them. For a moment after hosts have started or stopped to
	// reach each other, more hosts take themselves for one of these.
	coldSettleDelay = 3 * time.Second
	// hostsPerColdServer is the number of hosts that share a cold server.
	hostsPerColdServer = 2
	// coldSafetyFactor is the part of a cold server's bound that is used, because
	// the views of the hosts that share the server may differ between two halves of a
	// region.
	coldSafetyFactor = 0.5
	// maxColdTime bounds the time for which a server may say that it stays cold: a
	// number beyond is a fault, and must not keep the server unused.
	maxColdTime = time.Minute
)

// applyView applies a new view to the scheduler and the connections. The
// inventory does not call it concurrently.
func (h *Host) applyView(view *inventory.View) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	before := h.appliedView
	changed := changedServers(before, view)
	var listed []scheduler.Server
	var restarted, removed []string
	for _, id := range changed {
		server, ok := view.Servers[id]
		h.slots.Add(int64(server.Slots - before.Servers[id].Slots))
		if !ok {
			removed = append(removed, id)
			h.untrackServer(id)
			continue
		}
		if h.trackServer(id, server) {
			restarted = append(restarted, id)
		}
		listed = append(listed, scheduler.Server{
			ID:      id,
			Service: server.Service,
			Region:  server.Region,
			Slots:   server.Slots,
			Closed:  server.State != fleet.Ready || view.Evacuated[server.Domain] || !h.leaving.MayUse(model.ServerID(id), now),
		})
	}
	logViewChanges(h.Log, before, view, changed)
	h.appliedView = view
	h.scheduler.UpdateServers(now, listed, removed, h.regionCount())
	for _, id := range restarted {
		h.scheduler.Forget(now, id)
	}
	h.applyCold(now, view, changed)
	h.deliver(h.scheduler.Tick(now))
}

// changedServers returns the IDs of the servers that have to be applied again: all
// if an evacuation began or ended or the configuration changed, which says how long
// servers stay cold.
func changedServers(before, after *inventory.View) []string {
	if before.Config == after.Config && maps.Equal(before.Evacuated, after.Evacuated) {
		return after.Changed
	}
	all := maps.Clone(before.Servers)
	if all == nil {
		all = make(map[string]fleet.BackendServer)
	}
	maps.Copy(all, after.Servers)
	return slices.Collect(maps.Keys(all))
}

func (h *Host) regionCount() int {
	regions := make(map[string]bool)
	for _, region := range h.Settings.RegionOf {
		regions[region] = true
	}
	return len(regions)
}

// trackServer creates the connection pool of a new or restarted server. It
// reports whether the server has restarted under its ID.
func (h *Host) trackServer(id string, server fleet.BackendServer) (restarted bool) {
	known := h.backends[id]
	if known != nil && known.address == server.Address && known.startUnixMillis == server.StartUnixMillis {
		return false
	}
	// What a previous process said does not bind this one.
	h.leaving.Forget(model.ServerID(id))
	if known != nil {
		known.pool.Close()
	} else {
		h.Log.Emit(events.ServerAdded, events.Server(model.ServerID(id)), events.Service(model.Service(server.Service)),
			events.FailureDomain(model.FailureDomain(server.Domain)))
	}
	h.backends[id] = &backend{address: server.Address, startUnixMillis: server.StartUnixMillis, pool: upstream.NewPool(server.Address, h.responseMemory)}
	return known != nil
}

func (h *Host) untrackServer(id string) {
	known := h.backends[id]
	if known == nil {
		return
	}
	h.Log.Emit(events.ServerRemoved, events.Server(model.ServerID(id)))
	known.pool.Close()
	h.leaving.Forget(model.ServerID(id))
	delete(h.backends, id)
}

// applyCold marks those of the given servers that are cold by their entry, or
// because the evacuation of their failure domain ended less than a cold start ago.
func (h *Host) applyCold(now time.Time, view *inventory.View, ids []string) {
	for _, id := range ids {
		server, ok := view.Servers[id]
		if !ok {
			continue
		}
		until := time.Time{}
		if server.ColdRemaining > 0 && h.backends[id] != nil {
			until = h.backends[id].coldUntil(now, server)
		}
		if released, ok := view.ReleasedAt[server.Domain]; ok {
			if service := serviceOf(view, server.Service); service != nil {
				until = later(until, released.Add(service.ColdStart))
			}
		}
		if until.After(now) {
			h.scheduler.SetCold(id, until)
		}
	}
	h.limitCold(now, view)
}

// limitCold sets the number of requests that this host may send to each cold server.
func (h *Host) limitCold(now time.Time, view *inventory.View) {
	shares := h.sharesColdServers(now)
	h.scheduler.LimitCold(now, func(id string) int {
		if !shares {
			return 0
		}
		return h.coldLimit(view, view.Servers[id])
	})
}

// coldUntil returns the end of the cold time in a server's entry, which counts
// from when the entry was first seen. A store that comes back from an older copy shows
// an earlier entry again.
func (b *backend) coldUntil(now time.Time, server fleet.BackendServer) time.Time {
	if b.coldEntry != server.Entry {
		if b.coldEntry.IsZero() || b.coldEntry.Era == server.Entry.Era {
			b.coldSeen = now
		}
		b.coldEntry = server.Entry
	}
	return b.coldSeen.Add(min(server.ColdRemaining, maxColdTime))
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func serviceOf(view *inventory.View, name string) *fleet.Service {
	if view.Config == nil {
		return nil
	}
	return view.Config.Services[name]
}

// sharesColdServers reports whether this host is one of those that share the cold
// servers of its region, and has been for coldSettleDelay.
func (h *Host) sharesColdServers(now time.Time) bool {
	h.rosterMu.Lock()
	defer h.rosterMu.Unlock()
	if !h.isChosenForColdServers(now) {
		h.chosenForColdSince = time.Time{}
		return false
	}
	if h.chosenForColdSince.IsZero() {
		h.chosenForColdSince = now
	}
	return now.Sub(h.chosenForColdSince) >= coldSettleDelay
}

// isChosenForColdServers reports whether this host's view makes it one of the hosts that
// share the cold servers of its region. A host that reaches less than half of the region
// is not: it would take itself for one of them whenever it is isolated. It is called with
// rosterMu held.
func (h *Host) isChosenForColdServers(now time.Time) bool {
	return h.roster.ReachesHalfOfRegion(now) &&
		slices.ContainsFunc(h.roster.Entries(now, h.Settings.Region, hostsPerColdServer), func(b roster.Heartbeat) bool { return b.ID == h.Settings.ID })
}

// coldLimit returns the number of requests per second that one of the hosts that share
// a cold server may send to it.
func (h *Host) coldLimit(view *inventory.View, server fleet.BackendServer) int {
	service := serviceOf(view, server.Service)
	if service == nil || server.Region != h.Settings.Region {
		return 0
	}
	bound := service.ColdRate*h.bounds().ColdOver + h.bounds().ColdSlack
	return max(int(bound*coldSafetyFactor/hostsPerColdServer), 1)
}

// maintain runs the periodic housekeeping until ctx ends.
func (h *Host) maintain(ctx context.Context) {
	tick := time.NewTicker(maintainInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			h.housekeep(now)
		}
	}
}

func (h *Host) housekeep(now time.Time) {
	defer h.Log.RecoverPanic("housekeeping")
	h.mu.Lock()
	defer h.mu.Unlock()
	h.limitCold(now, h.appliedView)
	for _, b := range h.backends {
		b.pool.Prune(now)
	}
}
