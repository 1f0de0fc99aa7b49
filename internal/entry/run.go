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

// dispatch runs the request on one of this host's backend servers. holder is
// the owner host, to which a grant must belong.
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
	alone, refused := d.guard.admit(req, func() bool { return runsTrials(d.currentView(), d.self, d.region, req) }, time.Now())
	if refused != nil {
		return refusal(req, refused.Code, refused.Detail)
	}
	item := admission.Item{Rank: req.Rank, Deadline: req.Deadline, Exclusive: alone}
	answer := s.serve(ctx, req, holder, item, moved)
	answer.Load = s.load(req.Rank)
	answer.trial = alone
	return answer
}

// serve gets the request a slot and runs it, again after a preemption.
func (s *scheduler) serve(ctx context.Context, req Request, holder model.HostID, item admission.Item, moved bool) Response {
	var waiter *pending
	var r *run
	var code result.Code
	if req.FromRegion == s.region {
		if !s.waits.enter() {
			return refusal(req, result.QueueFull, "too many requests wait on this host")
		}
		waiter, code = s.enqueue(time.Now(), item, moved)
		if code != result.Served {
			s.waits.leave()
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
			s.waits.leave()
			if r == nil {
				return notStarted(req, code, preempted)
			}
		}
		s.metrics.ObserveQueueTime(req.Service, req.Rank, time.Since(queued))
		if !item.Exclusive && s.guard.standing(req, time.Now()) != quarantine.Clear {
			// The request became a suspect while it waited.
			s.finish(time.Now(), r, result.NoCapacity)
			return notStarted(req, result.NoCapacity, preempted)
		}
		answer, again := s.execute(ctx, req, r)
		if again == nil {
			return answer
		}
		s.waits.enterAgain()
		waiter, preempted = again, true
	}
}

// notStarted answers a request that got no slot. After a preemption it has
// run in part, so the answer does not say that it did not run.
func notStarted(req Request, code result.Code, preempted bool) Response {
	if preempted {
		return refusal(req, result.DeadlineAfterDispatch, "preempted, then "+code.String())
	}
	return refusal(req, code, "")
}

// await waits for a slot. It returns no run, and the reason, if the request
// left the queue instead.
func (s *scheduler) await(ctx context.Context, waiter *pending) (*run, result.Code) {
	deadline := time.NewTimer(time.Until(waiter.item.Deadline))
	defer deadline.Stop()
	select {
	case r := <-waiter.started:
		return r, result.Served
	case code := <-waiter.gone:
		return nil, code
	case <-ctx.Done():
	case <-deadline.C:
	}
	if r := s.leave(time.Now(), waiter); r != nil {
		return r, result.Served
	}
	return nil, result.DeadlineBeforeRun
}

// execute runs the request on its server. A preempted run returns a new
// pending instead of an answer.
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
	}, s.answerTimeout())
	again := s.finish(time.Now(), r, got.Code)
	if got.Draining {
		s.announced(time.Now(), r.server, r.since)
	}
	return Response{
		RequestID:     req.ID,
		Code:          got.Code,
		Detail:        got.Detail,
		Body:          got.Body,
		ContentType:   got.ContentType,
		BackendStatus: got.Status,
		Hops:          []string{string(r.server)},
		ranAlone:      r.item.Exclusive,
	}, again
}

func (s *scheduler) answerTimeout() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.service.AnswerTimeout
}
