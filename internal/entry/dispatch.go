package entry

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/backend"
	"github.com/wisteriacrank/wisteriacrank/internal/events"
	"github.com/wisteriacrank/wisteriacrank/internal/localstate"
	"github.com/wisteriacrank/wisteriacrank/internal/metrics"
	"github.com/wisteriacrank/wisteriacrank/pkg/document"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
	"github.com/wisteriacrank/wisteriacrank/pkg/slots"
)

// dispatcher sends requests to the backend servers that are assigned to this
// host. It is safe for concurrent use.
type dispatcher struct {
	self        model.HostID
	region      model.Region
	incarnation model.Incarnation
	guard       *crashGuard
	waits       *waitLimit
	log         *events.Log
	metrics     *metrics.Registry

	mu         sync.Mutex
	view       *localstate.View
	schedulers map[model.Service]*scheduler
}

func newDispatcher(self model.HostID, region model.Region, incarnation model.Incarnation, waits *waitLimit, log *events.Log, registry *metrics.Registry) *dispatcher {
	return &dispatcher{
		self:        self,
		region:      region,
		incarnation: incarnation,
		guard:       newCrashGuard(),
		waits:       waits,
		log:         log,
		metrics:     registry,
		schedulers:  make(map[model.Service]*scheduler),
	}
}

// update adds and removes backend servers according to the view.
func (d *dispatcher) update(view *localstate.View) {
	if view.Document == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	previous := d.view
	d.view = view
	known := make(map[model.Service]bool)
	for _, service := range view.Document.Services {
		known[service.Name] = true
		s := d.schedulers[service.Name]
		if s == nil {
			s = newScheduler(d, service, view.Document)
			d.schedulers[service.Name] = s
		}
		s.update(time.Now(), d.assignedServers(view, previous, service), service, view.Document)
	}
	for name, s := range d.schedulers {
		if !known[name] {
			s.update(time.Now(), nil, document.Service{Name: name}, view.Document)
		}
	}
}

// assignedServer is a backend server that this host dispatches to.
type assignedServer struct {
	spec   document.Server
	origin slots.Origin
	// listedLeaving is set if the platform's host list marks the server as
	// leaving.
	listedLeaving bool
}

// assignedServers returns the servers of the service that are assigned to this
// host.
func (d *dispatcher) assignedServers(view, previous *localstate.View, service document.Service) map[model.ServerID]assignedServer {
	servers := make(map[model.ServerID]assignedServer)
	assigned := assignment(view, service.Name, d.region)
	for _, spec := range view.Document.Servers {
		if assigned[spec.Name] != d.self {
			continue
		}
		servers[spec.Name] = assignedServer{
			spec:          spec,
			origin:        originOf(previous, spec.Name),
			listedLeaving: view.Leaving[spec.Name],
		}
	}
	return servers
}

// originOf returns whether another dispatcher may still use the server. Only a
// server that is missing from the previous document is certainly unused.
func originOf(previous *localstate.View, name model.ServerID) slots.Origin {
	if previous == nil {
		return slots.Takeover
	}
	for _, s := range previous.Document.Servers {
		if s.Name == name {
			return slots.Takeover
		}
	}
	return slots.Unshared
}

// scheduler returns the scheduler of a service, or nil.
func (d *dispatcher) scheduler(service model.Service) *scheduler {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.schedulers[service]
}

func (d *dispatcher) allSchedulers() []*scheduler {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Collect(maps.Values(d.schedulers))
}

func (d *dispatcher) currentView() *localstate.View {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view
}

// tick makes the changes that depend only on time: warm-up of servers, and
// expiry of grants and requests.
func (d *dispatcher) tick(now time.Time) {
	for _, s := range d.allSchedulers() {
		s.tick(now)
	}
}

// connections holds the connections to the servers of one service.
type connections map[model.ServerID]*backend.Server
