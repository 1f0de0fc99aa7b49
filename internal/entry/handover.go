package entry

import (
	"context"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/localstate"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
	"github.com/wisteriacrank/wisteriacrank/pkg/quarantine"
	"github.com/wisteriacrank/wisteriacrank/pkg/rendezvous"
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
	case result.Quarantined, result.DeadlineBefore, result.BodyTooLarge, result.BadRequest,
		result.UnknownService, result.UnknownRank, result.RequestIDReused:
		return stop
	default:
		return tryOthers
	}
}

// handOver sends the request to the dispatchers in order until one answers.
func (d *Daemon) handOver(ctx context.Context, req Request, view *localstate.View) Answer {
	if refused := checkDocument(req, view); refused != nil {
		return refusal(req, refused.Code, refused.Detail)
	}
	budget := d.requests.budgets.of(req.Service)
	budget.FirstAttempt(time.Now())
	queue := d.candidates(view, req)
	again := len(queue)
	answer := refusal(req, result.NoServer, "no dispatcher for "+string(req.Service))
	var unknown *Answer
	for len(queue) > 0 && ctx.Err() == nil {
		if !time.Now().Before(req.Deadline) {
			answer = refusal(req, result.DeadlineBefore, "deadline passed at the owner")
			break
		}
		d.step(stepHandOver, req)
		host := queue[0]
		queue = queue[1:]
		answer = d.passOnInTime(ctx, req, host)
		if answer.Code.Class() == result.ClassUnknown {
			lost := answer
			unknown = &lost
		}
		what := after(req, answer.Code)
		if what == stop || what == retry && !budget.Allow(time.Now()) {
			break
		}
		if what == retry {
			req.Attempt++
		}
		if what != tryOthers && again > 0 {
			again--
			queue = append(queue, host)
		}
	}
	return outcome(answer, unknown)
}

// passOnInTime checks the deadline once more: the process may have been paused
// since the last check.
func (d *Daemon) passOnInTime(ctx context.Context, req Request, host model.HostRecord) Answer {
	if !time.Now().Before(req.Deadline) {
		return refusal(req, result.DeadlineBefore, "deadline passed at the owner")
	}
	return d.passOn(ctx, req, host)
}

// outcome is the last answer, unless an earlier attempt may have run and the
// last one did not: then the request may have run.
func outcome(last Answer, unknown *Answer) Answer {
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

// candidates returns the dispatchers in the order in which they are asked: the
// own region first, and inside a region by the request ID, which spreads the
// requests. A suspect goes only to the host that tries it alone.
func (d *Daemon) candidates(view *localstate.View, req Request) []model.HostRecord {
	own := d.settings.Host.Region
	suspect := d.dispatcher.guard.standing(req, time.Now()) == quarantine.Suspect
	var order []model.HostRecord
	for _, region := range regionOrder(view, own) {
		hosts := dispatchers(view, req.Service, region)
		if suspect && len(hosts) > 0 {
			host, _ := view.Host(trialHost(view, region, req))
			return []model.HostRecord{host}
		}
		order = append(order, spread(hosts, req.ID)...)
	}
	return order
}

func spread(hosts []model.HostRecord, id string) []model.HostRecord {
	byName := make(map[string]model.HostRecord, len(hosts))
	names := make([]string, 0, len(hosts))
	for _, h := range hosts {
		byName[string(h.Host)] = h
		names = append(names, string(h.Host))
	}
	ordered := make([]model.HostRecord, 0, len(hosts))
	for _, name := range rendezvous.Rank(id, names) {
		ordered = append(ordered, byName[name])
	}
	return ordered
}

// regionOrder returns the own region, then the others in document order.
func regionOrder(view *localstate.View, own model.Region) []model.Region {
	order := []model.Region{own}
	for _, r := range view.Document.Regions {
		if r.Name != own {
			order = append(order, r.Name)
		}
	}
	return order
}
