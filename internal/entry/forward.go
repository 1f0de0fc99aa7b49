package entry

import (
	"context"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/events"
	"github.com/wisteriacrank/wisteriacrank/internal/localstate"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

// nextAction is what the owner does after the response of a dispatcher.
type nextAction int

const (
	stop nextAction = iota
	// tryOthers continues with the remaining candidates.
	tryOthers
	// tryAll also tries the same candidate again, after the others, because it
	// has other backend servers.
	tryAll
	// retry is tryAll for an attempt that reached a backend server. The retry
	// budget limits it.
	retry
)

// actionAfter returns what the owner does after a response with the code. It
// continues with a non-idempotent request only if the code says that the request
// did not run.
func actionAfter(req Request, code result.Code) nextAction {
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

// forwardToDispatchers sends the request to the candidates in order until one
// responds with a final outcome, and repeats this after a delay as long as the
// request may wait for capacity.
func (d *Daemon) forwardToDispatchers(ctx context.Context, req Request, view *localstate.View) Response {
	if refused := checkDocument(req, view); refused != nil {
		return refusal(req, refused.Code, refused.Detail)
	}
	budget := d.requests.budgets.forService(req.Service)
	budget.FirstAttempt(time.Now())
	wait := minCapacityWait
	for {
		response := d.tryCandidates(ctx, &req, view, budget)
		if !d.mayWait(view, req, response.Code) || time.Now().Add(wait).After(req.Deadline) {
			return response
		}
		d.step(stepWait, req)
		if !d.pause(ctx, wait) {
			return response
		}
		wait = min(2*wait, maxCapacityWait)
		view = d.watcher.Current()
	}
}

// pause waits, and reports whether it waited the whole time: it returns early if
// ctx ends, and at once if too many requests wait on this host.
func (d *Daemon) pause(ctx context.Context, wait time.Duration) bool {
	if !d.dispatcher.waits.tryAcquire() {
		return false
	}
	defer d.dispatcher.waits.release()
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}

// tryCandidates tries the candidates until one responds with a final outcome or
// none is left.
func (d *Daemon) tryCandidates(ctx context.Context, req *Request, view *localstate.View, budget retryBudget) Response {
	queue := d.candidates(view, *req)
	repeatsLeft := len(queue)
	response := refusal(*req, result.NoServer, "no dispatcher for "+string(req.Service))
	var unknown *Response
	for len(queue) > 0 && ctx.Err() == nil {
		if !time.Now().Before(req.Deadline) {
			response = refusal(*req, result.DeadlineBeforeRun, "deadline passed at the owner")
			break
		}
		d.step(stepForward, *req)
		chosen := queue[0]
		queue = queue[1:]
		response = d.tryCandidate(ctx, *req, chosen)
		if response.Code.Class() == result.ClassUnknown {
			saved := response
			unknown = &saved
		}
		action := actionAfter(*req, response.Code)
		if action == stop {
			break
		}
		if action == retry && !budget.Allow(time.Now()) {
			d.log.Emit(events.RetryBudgetSpent, events.Service(req.Service))
			break
		}
		if action == retry {
			req.Attempt++
		}
		if action != tryOthers && repeatsLeft > 0 {
			repeatsLeft--
			queue = append(queue, chosen)
		}
	}
	return outcome(response, unknown)
}

// outcome returns the last response, unless an earlier attempt may have run and
// the last one did not run: then it returns the unknown outcome.
func outcome(last Response, unknown *Response) Response {
	if unknown != nil && last.Code.Class() == result.ClassNotRun {
		return *unknown
	}
	return last
}

// checkDocument refuses a request whose service or rank is not in the document,
// or whose body exceeds the limit of the service.
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
