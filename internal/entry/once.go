package entry

import (
	"context"
	"sync"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/localstate"
	"github.com/wisteriacrank/wisteriacrank/pkg/atmostonce"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

// ownerRecords is the owner's table of request IDs with the runs in progress.
// It is safe for concurrent use.
type ownerRecords struct {
	mu      sync.Mutex
	records *atmostonce.Records[Response]
	// runs holds the requests in progress; the channel closes when one ends.
	runs map[string]*ownedRun
}

type ownedRun struct {
	done   chan struct{}
	answer Response
}

func newOwnerRecords() *ownerRecords {
	return &ownerRecords{
		records: atmostonce.NewRecords[Response](atmostonce.DefaultLimits),
		runs:    make(map[string]*ownedRun),
	}
}

// arrive decides on an arrival. The run is set for Run and Join.
func (o *ownerRecords) arrive(req Request, token model.OwnerToken, now time.Time) (atmostonce.Decision[Response], *ownedRun) {
	hash := atmostonce.HashParts([]byte(req.Service), []byte(req.Path), req.Body)
	o.mu.Lock()
	defer o.mu.Unlock()
	decision := o.records.Arrive(req.ID, token.IssuedAt, hash, now)
	if decision.Action == atmostonce.Run {
		o.runs[req.ID] = &ownedRun{done: make(chan struct{})}
	}
	return decision, o.runs[req.ID]
}

// finish records the outcome and gives it to the arrivals that joined.
func (o *ownerRecords) finish(run *ownedRun, answer Response) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if answer.Code.Class() == result.ClassNotRun {
		o.records.NotRun(answer.RequestID)
	} else {
		o.records.Finish(answer.RequestID, answer, answerBytes(answer))
	}
	delete(o.runs, answer.RequestID)
	run.answer = answer
	close(run.done)
}

// replace puts a recalled answer in the place of an unknown outcome.
func (o *ownerRecords) replace(answer Response) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.records.Finish(answer.RequestID, answer, answerBytes(answer))
}

func answerBytes(a Response) int {
	size := len(a.Body) + len(a.Detail) + len(a.ContentType)
	for _, hop := range a.Hops {
		size += len(hop)
	}
	return size
}

// ownOnce handles a non-idempotent request whose ID names this incarnation.
// The records come before every other check: a request that ran must not be
// refused as not run because the document changed since.
func (d *Daemon) ownOnce(ctx context.Context, req Request, token model.OwnerToken, view *localstate.View) Response {
	decision, run := d.requests.owned.arrive(req, token, time.Now())
	switch decision.Action {
	case atmostonce.Run:
		return d.runOnce(ctx, req, run, view)
	case atmostonce.Join:
		return join(ctx, req, run)
	case atmostonce.Replay:
		return d.replay(ctx, req, decision.Outcome, view)
	default:
		return refusal(req, decision.Code, "by the owner's record of request IDs")
	}
}

// runOnce hands the request over. It completes also when the caller is gone,
// so that a resend gets the answer.
func (d *Daemon) runOnce(ctx context.Context, req Request, run *ownedRun, view *localstate.View) Response {
	answer := refusal(req, result.OwnerUnreachable, "the owner failed while it ran the request")
	defer func() { d.requests.owned.finish(run, answer) }()
	d.step(stepRecorded, req)
	answer = d.handOver(context.WithoutCancel(ctx), req, view)
	d.step(stepAnswered, req)
	return answer
}

// join waits for the run that an earlier arrival started.
func join(ctx context.Context, req Request, run *ownedRun) Response {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	select {
	case <-run.done:
		return asReplay(run.answer)
	case <-ctx.Done():
		return refusal(req, result.DeadlineAfterDispatch, "an earlier arrival is still running")
	}
}

// replay answers from the record. Where that is an unknown outcome, a
// dispatcher may have kept the answer.
func (d *Daemon) replay(ctx context.Context, req Request, outcome atmostonce.Outcome[Response], view *localstate.View) Response {
	if outcome.Stored && outcome.Response.Code.Class() == result.ClassServed {
		return asReplay(outcome.Response)
	}
	if recalled, ok := d.recall(ctx, req, view); ok {
		d.requests.owned.replace(recalled)
		return asReplay(recalled)
	}
	if !outcome.Stored {
		return refusal(req, result.AnswerNotKept, "the request ran; its answer was too large to keep")
	}
	return outcome.Response
}

func asReplay(a Response) Response {
	if a.Code == result.Served {
		a.Code = result.ServedReplay
	}
	return a
}
