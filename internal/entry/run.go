package entry

import (
	"context"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/backend"
	"github.com/wisteriacrank/wisteriacrank/internal/events"
	"github.com/wisteriacrank/wisteriacrank/pkg/admission"
	"github.com/wisteriacrank/wisteriacrank/pkg/grant"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
	"github.com/wisteriacrank/wisteriacrank/pkg/quarantine"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

// dispatch runs the request on one of this host's backend servers. holder is the
// owner host, to which the grant of the request, if any, must belong.
func (d *dispatcher) dispatch(ctx context.Context, req Request, holder model.HostID) Response {
	s := d.scheduler(req.Service)
	if s == nil {
		return refusal(req, result.NotDispatcher, "no server of "+string(req.Service)+" on this host")
	}
	moved := req.HomeRegion != d.region
	if moved {
		if code := s.checkMove(time.Now()); code != result.Served {
			d.log.Emit(events.MoveLimitReached, events.Region(req.HomeRegion), events.Service(req.Service))
			return refusal(req, code, "traffic moved to "+string(d.region))
		}
	}
	exclusive, refused := d.guard.admit(req, func() bool { return runsTrials(d.currentView(), d.self, d.region, req) }, time.Now())
	if refused != nil {
		return refusal(req, refused.Code, refused.Detail)
	}
	item := admission.Item{Rank: req.Rank, Deadline: req.Deadline, Exclusive: exclusive}
	response := s.serve(ctx, req, holder, item, moved)
	response.Load = s.load(req.Rank)
	response.trial = exclusive
	return response
}

// serve waits for a slot and runs the request; after a preemption it does both
// again.
func (s *scheduler) serve(ctx context.Context, req Request, holder model.HostID, item admission.Item, moved bool) Response {
	var waiter *pending
	var r *run
	var code result.Code
	if req.FromRegion == s.region {
		if !s.waits.tryAcquire() {
			return refusal(req, result.QueueFull, "too many requests wait on this host")
		}
		waiter, code = s.enqueue(time.Now(), item, moved)
		if code != result.Served {
			s.waits.release()
		}
	} else {
		id := grant.ID{Incarnation: req.GrantIncarnation, Sequence: req.GrantID}
		r, code = s.startGranted(time.Now(), item, id, holder, moved)
	}
	if code != result.Served {
		return refusal(req, code, "")
	}
	queued := time.Now()
	preempted := false
	for {
		if waiter != nil {
			r, code = s.await(ctx, waiter)
			s.waits.release()
			if r == nil {
				return notStarted(req, code, preempted)
			}
		}
		s.metrics.ObserveQueueTime(req.Service, req.Rank, time.Since(queued))
		if !item.Exclusive && s.guard.status(req, time.Now()) != quarantine.Clear {
			// The content became suspect or convicted while the request waited.
			s.finish(time.Now(), r, result.NoCapacity)
			return notStarted(req, result.NoCapacity, preempted)
		}
		response, requeued := s.execute(ctx, req, r)
		if requeued == nil {
			return response
		}
		s.waits.acquire()
		waiter, preempted = requeued, true
	}
}

// notStarted returns the response to a request that got no slot. After a
// preemption the request has partly run, so it is not reported as not run.
func notStarted(req Request, code result.Code, preempted bool) Response {
	if preempted {
		return refusal(req, result.DeadlineAfterDispatch, "preempted, then "+code.String())
	}
	return refusal(req, code, "")
}

// await waits for a slot. If the request is refused, cancelled or past its
// deadline first, it returns no run and the result code.
func (s *scheduler) await(ctx context.Context, waiter *pending) (*run, result.Code) {
	deadline := time.NewTimer(time.Until(waiter.item.Deadline))
	defer deadline.Stop()
	select {
	case r := <-waiter.started:
		return r, result.Served
	case code := <-waiter.refused:
		return nil, code
	case <-ctx.Done():
	case <-deadline.C:
	}
	if r := s.cancelWaiting(time.Now(), waiter); r != nil {
		return r, result.Served
	}
	return nil, result.DeadlineBeforeRun
}

// execute runs the request on its server. If the run is preempted before it
// completes, the request is queued again and the returned pending is not nil.
func (s *scheduler) execute(ctx context.Context, req Request, r *run) (Response, *pending) {
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	if req.Idempotent {
		s.allowPreemption(r, cancel)
	}
	got := r.conn.Do(runCtx, backend.Request{
		ID:          req.ID,
		Path:        req.Path,
		Rank:        string(req.Rank),
		ContentType: req.ContentType,
		Idempotent:  req.Idempotent,
		Retry:       req.Attempt > 0,
		Deadline:    req.Deadline,
		Body:        req.Body,
	}, s.responseTimeout())
	requeued := s.finish(time.Now(), r, got.Code)
	if got.Draining {
		s.drainAnnounced(time.Now(), r.server, r.since)
	}
	return Response{
		RequestID:     req.ID,
		Code:          got.Code,
		Detail:        got.Detail,
		Body:          got.Body,
		ContentType:   got.ContentType,
		BackendStatus: got.Status,
		Hops:          []string{string(r.server)},
		ranExclusive:  r.item.Exclusive,
	}, requeued
}

func (s *scheduler) responseTimeout() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.service.AnswerTimeout
}
