package entry

import (
	"context"
	"sync"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/backend"
	"github.com/wisteriacrank/wisteriacrank/internal/localstate"
	"github.com/wisteriacrank/wisteriacrank/pkg/document"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
	"github.com/wisteriacrank/wisteriacrank/pkg/rendezvous"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

// assignment maps the backend servers of a service and region to their
// dispatchers.
func assignment(view *localstate.View, service model.Service, region model.Region) map[model.ServerID]model.HostID {
	var keys, members []string
	for _, s := range view.Document.Servers {
		if s.Service == service && s.Region == region && !s.Drain && !view.Leaving[s.Name] {
			keys = append(keys, string(s.Name))
		}
	}
	for _, h := range view.Hosts {
		if h.Region == region && h.State == model.HostReady {
			members = append(members, string(h.Host))
		}
	}
	assigned := make(map[model.ServerID]model.HostID, len(keys))
	for server, host := range rendezvous.Assign(keys, members) {
		assigned[model.ServerID(server)] = model.HostID(host)
	}
	return assigned
}

// dispatchers returns the hosts that dispatch to a service in a region.
func dispatchers(view *localstate.View, service model.Service, region model.Region) []model.HostRecord {
	seen := make(map[model.HostID]bool)
	for _, host := range assignment(view, service, region) {
		seen[host] = true
	}
	var hosts []model.HostRecord
	for _, h := range view.Hosts {
		if seen[h.Host] {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// dispatcher sends requests to the backend servers that this host is
// responsible for. It is safe for concurrent use.
type dispatcher struct {
	self   model.HostID
	region model.Region
	guard  *crashGuard

	mu      sync.Mutex
	view    *localstate.View
	servers map[model.ServerID]*boundServer
}

type boundServer struct {
	spec document.Server
	conn *backend.Server
	busy int
	// alone is set while a suspect runs on the server or waits for it.
	alone bool
}

func newDispatcher(self model.HostID, region model.Region) *dispatcher {
	return &dispatcher{self: self, region: region, guard: newCrashGuard(), servers: make(map[model.ServerID]*boundServer)}
}

// update takes over and hands over backend servers according to the view.
func (d *dispatcher) update(view *localstate.View) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.view = view
	if view.Document == nil {
		return
	}
	mine := make(map[model.ServerID]bool)
	for _, service := range view.Document.Services {
		for server, host := range assignment(view, service.Name, d.region) {
			mine[server] = host == d.self
		}
	}
	for name, server := range d.servers {
		if !mine[name] {
			server.conn.Close()
			delete(d.servers, name)
		}
	}
	for _, spec := range view.Document.Servers {
		if mine[spec.Name] && d.servers[spec.Name] == nil {
			d.servers[spec.Name] = &boundServer{spec: spec, conn: backend.NewServer(spec)}
		}
	}
}

func (d *dispatcher) dispatch(ctx context.Context, req Request) Answer {
	d.mu.Lock()
	alone, refused := d.guard.admit(req, func() bool { return runsTrials(d.view, d.self, d.region, req) }, time.Now())
	if refused != nil {
		d.mu.Unlock()
		return refusal(req, refused.Code, refused.Detail)
	}
	if alone {
		defer d.guard.leave(req)
	}
	var chosen *boundServer
	for _, s := range d.servers {
		if s.spec.Service != req.Service || s.alone || alone && s.busy > 0 || !s.conn.Reachable(time.Now()) || s.conn.Draining() {
			continue
		}
		if s.busy < s.spec.Slots && (chosen == nil || s.busy < chosen.busy) {
			chosen = s
		}
	}
	if chosen == nil {
		d.mu.Unlock()
		return refusal(req, result.NoServer, "no free slot")
	}
	chosen.busy++
	chosen.alone = alone
	service, _ := d.view.Document.Service(req.Service)
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		chosen.busy--
		chosen.alone = false
		d.mu.Unlock()
	}()
	got := chosen.conn.Do(ctx, backend.Request{
		ID:          req.ID,
		Path:        req.Path,
		Rank:        string(req.Rank),
		ContentType: req.ContentType,
		Idempotent:  req.Idempotent,
		Retry:       req.Attempt > 0,
		Deadline:    req.Deadline,
		Body:        req.Body,
	}, service.AnswerTimeout)
	return Answer{
		RequestID:     req.ID,
		Code:          got.Code,
		Detail:        got.Detail,
		Body:          got.Body,
		ContentType:   got.ContentType,
		BackendStatus: got.Status,
		Hops:          []string{string(chosen.spec.Name)},
		ranAlone:      alone,
	}
}
