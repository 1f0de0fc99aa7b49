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

// ownerRecords is the owner's table of request IDs with the requests in
// progress. It is safe for concurrent use.
type ownerRecords struct {
	mu      sync.Mutex
	records *atmostonce.Records[Response]
	// runs holds the requests in progress by request ID.
	runs map[string]*ownedRun
}

// ownedRun is a request in progress on its owner.
type ownedRun struct {
	// done is closed after response is set.
	done     chan struct{}
	response Response
}

func newOwnerRecords() *ownerRecords {
	return &ownerRecords{
		records: atmostonce.NewRecords[Response](atmostonce.DefaultLimits),
		runs:    make(map[string]*ownedRun),
	}
}

// arrive decides how to handle an arrival of a request. The run is set for
// atmostonce.Run and atmostonce.Join.
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

// finish records the outcome and passes it to the arrivals that joined the run.
func (o *ownerRecords) finish(run *ownedRun, response Response) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if response.Code.Class() == result.ClassNotRun {
		o.records.NotRun(response.RequestID)
	} else {
		o.records.Finish(response.RequestID, response, responseBytes(response))
	}
	delete(o.runs, response.RequestID)
	run.response = response
	close(run.done)
}

// replace replaces an unknown outcome by a recalled response.
func (o *ownerRecords) replace(response Response) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.records.Finish(response.RequestID, response, responseBytes(response))
}

// responseBytes returns the size of a response in the records.
func responseBytes(resp Response) int {
	size := len(resp.Body) + len(resp.Detail) + len(resp.ContentType)
	for _, hop := range resp.Hops {
		size += len(hop)
	}
	return size
}

// handleNonIdempotent handles a non-idempotent request whose ID names this
// incarnation. The records are checked first: a request that ran must not be
// refused as not run because the document has changed since.
func (d *Daemon) handleNonIdempotent(ctx context.Context, req Request, token model.OwnerToken, view *localstate.View) Response {
	decision, run := d.requests.owned.arrive(req, token, time.Now())
	switch decision.Action {
	case atmostonce.Run:
		return d.runOnce(ctx, req, run, view)
	case atmostonce.Join:
		return join(ctx, req, run)
	case atmostonce.Replay:
		return d.replay(ctx, req, decision.Outcome, view)
	default:
		return refusal(req, decision.Code, "rejected by the owner's record of request IDs")
	}
}

// runOnce forwards the request to a dispatcher. It completes even if the caller
// disconnects, so that a resend gets the response.
func (d *Daemon) runOnce(ctx context.Context, req Request, run *ownedRun, view *localstate.View) Response {
	response := refusal(req, result.OwnerUnreachable, "the owner failed while it processed the request")
	defer func() { d.requests.owned.finish(run, response) }()
	d.step(stepRecorded, req)
	response = d.forwardToDispatchers(context.WithoutCancel(ctx), req, view)
	d.step(stepResponseReceived, req)
	return response
}

// join waits for the run that an earlier arrival started.
func join(ctx context.Context, req Request, run *ownedRun) Response {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	select {
	case <-run.done:
		return asReplay(run.response)
	case <-ctx.Done():
		return refusal(req, result.DeadlineAfterDispatch, "an earlier arrival of the request is still running")
	}
}

// replay returns the recorded outcome. If that is unknown, a dispatcher may have
// stored the response.
func (d *Daemon) replay(ctx context.Context, req Request, outcome atmostonce.Outcome[Response], view *localstate.View) Response {
	if outcome.Stored && outcome.Response.Code.Class() == result.ClassServed {
		return asReplay(outcome.Response)
	}
	if recalled, ok := d.recall(ctx, req, view); ok {
		d.requests.owned.replace(recalled)
		return asReplay(recalled)
	}
	if !outcome.Stored {
		return refusal(req, result.AnswerNotKept, "the request ran; its response was too large to store")
	}
	return outcome.Response
}

// asReplay marks a served response as a replay.
func asReplay(resp Response) Response {
	if resp.Code == result.Served {
		resp.Code = result.ServedReplay
	}
	return resp
}
