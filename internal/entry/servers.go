package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/backend"
	"github.com/wisteriacrank/wisteriacrank/internal/events"
	"github.com/wisteriacrank/wisteriacrank/pkg/document"
	"github.com/wisteriacrank/wisteriacrank/pkg/drain"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// removeServer removes a server that is no longer assigned to this host. Its runs
// complete. The caller holds the mutex.
func (s *scheduler) removeServer(now time.Time, name model.ServerID) {
	s.table.Remove(name)
	s.ledger.RemoveServer(now, name)
	s.drains.Forget(name)
	delete(s.leavingSince, name)
	delete(s.failing, name)
	s.disconnect(name)
	delete(s.specs, name)
	s.log.Emit(events.ServerHandedOver, events.Server(name), events.Service(s.service.Name))
}

// putServer adds an assigned server, or applies changes of its specification and
// drain. The caller holds the mutex.
func (s *scheduler) putServer(now time.Time, name model.ServerID, assigned assignedServer) {
	old, known := s.specs[name]
	if old != assigned.spec {
		s.table.Put(now, assigned.spec, assigned.origin)
		if known && old.Address != assigned.spec.Address {
			s.disconnect(name)
		}
		if s.conns[name] == nil {
			s.connect(name, assigned.spec)
		}
		s.specs[name] = assigned.spec
	}
	s.drains.Observe(name, drain.Document, assigned.spec.Drain, now)
	s.drains.Observe(name, drain.HostList, assigned.listedLeaving, now)
	s.applyDrain(now, name)
}

// connect prepares the connections to a server and starts its health checks. The
// caller holds the mutex.
func (s *scheduler) connect(name model.ServerID, spec document.Server) {
	server := backend.NewServer(spec)
	ctx, cancel := context.WithCancel(context.Background())
	s.conns[name], s.watches[name] = server, cancel
	go server.Watch(ctx, func(status backend.Status, err error) {
		if ctx.Err() == nil {
			s.healthChecked(time.Now(), name, status, err)
		}
	})
	s.log.Emit(events.ServerTaken, events.Server(name), events.Service(s.service.Name))
}

func (s *scheduler) disconnect(name model.ServerID) {
	s.watches[name]()
	s.conns[name].Close()
	delete(s.watches, name)
	delete(s.conns, name)
}

// healthChecked applies the result of a health check. A server that responds
// after a failed check is treated as restarted: its earlier drain reports no
// longer count.
func (s *scheduler) healthChecked(now time.Time, name model.ServerID, status backend.Status, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	spec, known := s.specs[name]
	if !known {
		return
	}
	failedBefore := s.failing[name]
	s.failing[name] = err != nil
	if err != nil {
		s.log.Emit(events.ServerUnreachable, events.Server(name), events.Address(spec.Address), events.Reason(err))
		return
	}
	if failedBefore {
		s.drains.Restarted(name, now)
		s.table.SetCold(now, name)
	}
	s.observeDrain(now, name, drain.Health, status.Draining, now)
	s.table.Report(now, name, status.Busy)
	s.startWaiting(now)
}

// drainAnnounced applies a response in which a server announces its drain. sent
// is the time when the request was sent.
func (s *scheduler) drainAnnounced(now time.Time, name model.ServerID, sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.specs[name]; known {
		s.observeDrain(now, name, drain.ResponseHeader, true, sent)
	}
}

// observeDrain applies a report about the drain of a server. The caller holds the
// mutex.
func (s *scheduler) observeDrain(now time.Time, name model.ServerID, source drain.Source, leaving bool, at time.Time) {
	before := s.drains.MayUse(name, now)
	s.drains.Observe(name, source, leaving, at)
	if before && !s.drains.MayUse(name, now) {
		s.log.Emit(events.ServerDraining, events.Server(name), events.Reason(fmt.Errorf("source %s", source)))
	}
	s.applyDrain(now, name)
}

// applyDrain stops or resumes new work for a server. The caller holds the
// mutex.
func (s *scheduler) applyDrain(now time.Time, name model.ServerID) {
	usable := s.drains.MayUse(name, now) && s.conns[name].Reachable(now)
	s.table.SetLeaving(name, !usable)
	if usable {
		delete(s.leavingSince, name)
		s.ledger.SetServer(now, name, s.specs[name].Slots)
		return
	}
	s.ledger.RemoveServer(now, name)
	if _, known := s.leavingSince[name]; !known {
		s.leavingSince[name] = now
	}
}
