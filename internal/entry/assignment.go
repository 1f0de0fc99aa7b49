package entry

import (
	"github.com/wisteriacrank/wisteriacrank/internal/localstate"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
	"github.com/wisteriacrank/wisteriacrank/pkg/rendezvous"
)

// assignmentKey and dispatchersKey are the keys of values that are derived once
// per view.
type (
	assignmentKey struct {
		service model.Service
		region  model.Region
	}
	dispatchersKey assignmentKey
)

// assignment maps the backend servers of a service and region to their
// dispatchers. Leaving servers stay assigned, so that their runs end on the
// dispatcher that counts their slots.
func assignment(view *localstate.View, service model.Service, region model.Region) map[model.ServerID]model.HostID {
	return view.Derived(assignmentKey{service, region}, func() any {
		return assign(view, service, region)
	}).(map[model.ServerID]model.HostID)
}

// minSlotsPerDispatcher is the average number of slots below which a service gets
// fewer dispatchers, but at least minDispatchers. With one server each, some
// dispatchers have idle slots while others queue: the urgent p99 under an upload
// flood is then 382 ms, against 249 ms with two dispatchers.
const minSlotsPerDispatcher = 9

// minDispatchers keeps a service available in its region after one of its
// dispatchers has died and before the other hosts detect it.
const minDispatchers = 2

// dispatcherCount returns the number of dispatchers of a service in a region.
func dispatcherCount(slots int) int {
	return max(minDispatchers, slots/minSlotsPerDispatcher)
}

func assign(view *localstate.View, service model.Service, region model.Region) map[model.ServerID]model.HostID {
	var keys, members []string
	slots := 0
	for _, s := range view.Document.Servers {
		if s.Service == service && s.Region == region {
			keys = append(keys, string(s.Name))
			slots += s.Slots
		}
	}
	for _, h := range view.Hosts {
		if h.Region == region && h.State == model.HostReady {
			members = append(members, string(h.Host))
		}
	}
	members = rendezvous.Rank(string(service), members)[:min(len(members), dispatcherCount(slots))]
	assigned := make(map[model.ServerID]model.HostID, len(keys))
	for server, host := range rendezvous.Assign(keys, members) {
		assigned[model.ServerID(server)] = model.HostID(host)
	}
	return assigned
}

// dispatchers returns the hosts of a region that dispatch to at least one server
// of the service that is not leaving.
func dispatchers(view *localstate.View, service model.Service, region model.Region) []model.HostRecord {
	return view.Derived(dispatchersKey{service, region}, func() any {
		return findDispatchers(view, service, region)
	}).([]model.HostRecord)
}

func findDispatchers(view *localstate.View, service model.Service, region model.Region) []model.HostRecord {
	assigned := assignment(view, service, region)
	dispatching := make(map[model.HostID]bool)
	for _, s := range view.Document.Servers {
		if host, ok := assigned[s.Name]; ok && !s.Drain && !view.Leaving[s.Name] {
			dispatching[host] = true
		}
	}
	var hosts []model.HostRecord
	for _, h := range view.Hosts {
		if dispatching[h.Host] {
			hosts = append(hosts, h)
		}
	}
	return hosts
}
