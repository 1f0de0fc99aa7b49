package entry

import (
	"context"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/events"
	"github.com/wisteriacrank/wisteriacrank/internal/localstate"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

// next is what the owner does after an answer of a dispatcher.
type next int

const (
	stop next = iota
	// tryOthers goes on to the remaining dispatchers.
	tryOthers
	// tryAll also asks the same dispatcher once more, at the end: it has other
	// backend servers.
	tryAll
	// retry is tryAll for an attempt that reached a backend server, which the
	// budget limits.
	retry
)

// after decides from the answer what may follow. Non-idempotent work goes on
// only after an explicit not run.
func after(req Request, code result.Code) next {
	switch {
	case code.Class() == result.ClassUnknown && req.Idempotent:
		return retry
	case code.Class() != result.ClassNotRun:
		return stop
	}
	switch code {
	case result.ServerShed:
		return retry
	case result.ConnectFailed:
		return tryAll
	case result.Quarantined, result.DeadlineBeforeRun, result.BodyTooLarge, result.BadRequest,
		result.UnknownService, result.UnknownRank, result.RequestIDReused:
		return stop
	default:
		return tryOthers
	}
}

// handOver sends the request to the candidates in order until one answers, and
// begins again while it may wait for capacity.
func (d *Daemon) handOver(ctx context.Context, req Request, view *localstate.View) Response {
	if refused := checkDocument(req, view); refused != nil {
		return refusal(req, refused.Code, refused.Detail)
	}
	budget := d.requests.budgets.of(req.Service)
	budget.FirstAttempt(time.Now())
	wait := minCapacityWait
	for {
		answer := d.handOverOnce(ctx, &req, view, budget)
		if !d.mayWait(view, req, answer.Code) || time.Now().Add(wait).After(req.Deadline) {
			return answer
		}
		d.step(stepWait, req)
		if !d.pause(ctx, wait) {
			return answer
		}
		wait = min(2*wait, maxCapacityWait)
		view = d.watcher.Current()
	}
}

// pause waits, unless too many requests wait on this host or ctx ends.
func (d *Daemon) pause(ctx context.Context, wait time.Duration) bool {
	if !d.dispatcher.waits.enter() {
		return false
	}
	defer d.dispatcher.waits.leave()
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}

// handOverOnce tries the candidates until one answers or none is left.
func (d *Daemon) handOverOnce(ctx context.Context, req *Request, view *localstate.View, budget retryBudget) Response {
	queue := d.candidates(view, *req)
	again := len(queue)
	answer := refusal(*req, result.NoServer, "no dispatcher for "+string(req.Service))
	var unknown *Response
	for len(queue) > 0 && ctx.Err() == nil {
		if !time.Now().Before(req.Deadline) {
			answer = refusal(*req, result.DeadlineBeforeRun, "deadline passed at the owner")
			break
		}
		d.step(stepHandOver, *req)
		chosen := queue[0]
		queue = queue[1:]
		answer = d.try(ctx, *req, chosen)
		if answer.Code.Class() == result.ClassUnknown {
			lost := answer
			unknown = &lost
		}
		what := after(*req, answer.Code)
		if what == stop {
			break
		}
		if what == retry && !budget.Allow(time.Now()) {
			d.log.Emit(events.RetryBudgetSpent, events.Service(req.Service))
			break
		}
		if what == retry {
			req.Attempt++
		}
		if what != tryOthers && again > 0 {
			again--
			queue = append(queue, chosen)
		}
	}
	return outcome(answer, unknown)
}

// outcome is the last answer, unless an earlier attempt may have run and the
// last one did not: then the request may have run.
func outcome(last Response, unknown *Response) Response {
	if unknown != nil && last.Code.Class() == result.ClassNotRun {
		return *unknown
	}
	return last
}

func checkDocument(req Request, view *localstate.View) *result.Error {
	if view.Document == nil {
		return result.Errorf(result.NotReady, "no configuration yet")
	}
	service, ok := view.Document.Service(req.Service)
	if !ok {
		return result.Errorf(result.UnknownService, "%q", req.Service)
	}
	if _, ok := view.Document.Rank(req.Rank); !ok {
		return result.Errorf(result.UnknownRank, "%q", req.Rank)
	}
	if service.MaxBodyBytes > 0 && int64(len(req.Body)) > service.MaxBodyBytes {
		return result.Errorf(result.BodyTooLarge, "limit of %s is %d bytes", req.Service, service.MaxBodyBytes)
	}
	return nil
}
