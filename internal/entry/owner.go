package entry

import (
	"context"
	"errors"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/localstate"
	"github.com/wisteriacrank/wisteriacrank/internal/wire"
	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

// requestState is what the daemon remembers of requests.
type requestState struct {
	owned   *ownerRecords
	kept    *keptAnswers
	budgets *retryBudgets
	// onStep is set by tests only, before the daemon serves.
	onStep func(requestStep, Request)
}

func newRequestState() *requestState {
	return &requestState{
		owned:   newOwnerRecords(),
		kept:    newKeptAnswers(),
		budgets: newRetryBudgets(newSharedBudget),
	}
}

// own handles a request that a caller sent to this host.
func (d *Daemon) own(ctx context.Context, req Request) Response {
	view := d.watcher.Current()
	if view == nil {
		view = &localstate.View{}
	}
	if req.Idempotent {
		return d.handOver(ctx, req, view)
	}
	token, _, err := model.ParseRequestID(req.ID)
	if err != nil {
		return refusal(req, result.OwnerRequired, err.Error())
	}
	if !d.isOwner(token) {
		return d.forwardToOwner(ctx, req, token, view)
	}
	return d.ownOnce(ctx, req, token, view)
}

func (d *Daemon) isOwner(token model.OwnerToken) bool {
	return token.Host == d.settings.Host.ID && token.Incarnation == d.incarnation
}

// ownForwarded handles a request that another host received. It is never
// forwarded again, so two hosts with different views cannot pass it around.
func (d *Daemon) ownForwarded(ctx context.Context, req Request) Response {
	token, _, err := model.ParseRequestID(req.ID)
	if err != nil || req.Idempotent || !d.isOwner(token) {
		return refusal(req, result.OwnerGone, "another incarnation owned the request")
	}
	return d.own(ctx, req)
}

// forwardToOwner sends a non-idempotent request to the incarnation that its ID
// names. Without an answer of the owner the request may have run, here or
// through an earlier arrival elsewhere, so it is never reported as not run.
func (d *Daemon) forwardToOwner(ctx context.Context, req Request, token model.OwnerToken, view *localstate.View) Response {
	answer := refusal(req, result.OwnerGone, "owner is gone")
	// A lower incarnation in the view than in the token means that the view
	// lags; the owner itself decides.
	if host, ok := view.Host(token.Host); ok && host.EntryIncarnation <= token.Incarnation && answersCalls(host) {
		answer = d.callOwner(ctx, req, host)
	}
	switch answer.Code {
	case result.OwnerGone, result.OwnerUnreachable:
		if recalled, ok := d.recall(ctx, req, view); ok {
			return asReplay(recalled)
		}
	}
	return answer
}

func (d *Daemon) callOwner(ctx context.Context, req Request, host model.HostRecord) Response {
	answer, err := d.call(ctx, req, host, wirepb.Stage_STAGE_OWNER)
	switch {
	case err == nil:
		return answer
	case !time.Now().Before(req.Deadline):
		return refusal(req, result.DeadlineAfterDispatch, err.Error())
	default:
		return refusal(req, result.OwnerUnreachable, err.Error())
	}
}

// call sends the request to another host and checks that the reply is whole
// and belongs to it.
func (d *Daemon) call(ctx context.Context, req Request, host model.HostRecord, stage wirepb.Stage) (Response, error) {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	env := &wirepb.Envelope{Body: &wirepb.Envelope_ForwardRequest{
		ForwardRequest: requestToWire(req, stage, time.Now()),
	}}
	reply, err := d.peers.Call(ctx, host.PeerAddress, env)
	if err != nil {
		return Response{}, err
	}
	answer := answerFromWire(req, reply.GetForwardReply())
	answer.Hops = append([]string{string(d.settings.Host.ID)}, answer.Hops...)
	return answer, nil
}

// passOn hands the request to one dispatcher, which may be this host.
func (d *Daemon) passOn(ctx context.Context, req Request, host model.HostRecord) Response {
	if host.Host == d.settings.Host.ID {
		return d.dispatchHere(ctx, req, d.settings.Host.ID)
	}
	answer, err := d.call(ctx, req, host, wirepb.Stage_STAGE_DISPATCH)
	if err != nil {
		return callFailed(req, err)
	}
	return answer
}

// callFailed decides what a failed call to a dispatcher proves: nothing ran if
// the request was not sent or if the peer refused its frame.
func callFailed(req Request, err error) Response {
	var refused *result.Error
	var lost *wire.CallError
	switch {
	case errors.As(err, &lost) && !lost.Sent:
		return refusal(req, result.ConnectFailed, err.Error())
	case lost == nil && errors.As(err, &refused):
		return refusal(req, result.NotDispatcher, err.Error())
	case !time.Now().Before(req.Deadline):
		return refusal(req, result.DeadlineAfterDispatch, err.Error())
	default:
		return refusal(req, result.ConnectionLost, err.Error())
	}
}

// dispatchHere runs the request on a backend server of this host. owner is the
// host that passed it on.
func (d *Daemon) dispatchHere(ctx context.Context, req Request, owner model.HostID) Response {
	answer := d.dispatcher.dispatch(ctx, req, owner)
	answer.Hops = append([]string{string(d.settings.Host.ID)}, answer.Hops...)
	d.step(stepDispatched, req)
	d.afterRun(req, answer)
	if answer.trial {
		// After the judgement: a copy that was admitted between the two would
		// crash a third server.
		d.dispatcher.guard.leave(req)
	}
	d.requests.kept.keep(req, answer, time.Now())
	d.step(stepKept, req)
	return answer
}

// Handle implements wire.Handler.
func (d *Daemon) Handle(ctx context.Context, peer *wirepb.Hello, env *wirepb.Envelope, stream *wire.Stream) {
	sender := model.HostID(peer.Host)
	var reply *wirepb.Envelope
	switch body := env.Body.(type) {
	case *wirepb.Envelope_ForwardRequest:
		answer := d.serveForward(ctx, sender, body.ForwardRequest, stream)
		reply = &wirepb.Envelope{Body: &wirepb.Envelope_ForwardReply{ForwardReply: answerToWire(answer)}}
	case *wirepb.Envelope_GrantRequest:
		reply = d.dispatcher.issueGrant(sender, body.GrantRequest)
	case *wirepb.Envelope_GrantReturn:
		reply = d.dispatcher.takeBackGrant(sender, body.GrantReturn)
	case *wirepb.Envelope_RecallRequest:
		reply = d.recallReply(body.RecallRequest.RequestId)
	case *wirepb.Envelope_SuspectNotice:
		reply = d.noticeReply(body.SuspectNotice)
	default:
		reply = wire.FailureEnvelope(result.UnknownMessage, "entry hosts do not take this message")
	}
	_ = stream.Send(reply)
}

// serveForward handles a request that another entry host passed on, unless
// this host is shutting down.
func (d *Daemon) serveForward(ctx context.Context, sender model.HostID, forward *wirepb.ForwardRequest, stream *wire.Stream) Response {
	req, stage := requestFromWire(forward, time.Now()), forward.Stage
	if !d.lifecycle.begin() {
		return stoppingAnswer(req, stage)
	}
	defer d.lifecycle.end()
	answer := d.handleForward(ctx, sender, req, stage, stream)
	if req.FromRegion != d.settings.Host.Region {
		// The request ran, so the reply is sent even when the link's budget does
		// not allow it before the deadline.
		d.links.wait(ctx, req.FromRegion, len(answer.Body), req.Deadline)
	}
	return answer
}

// stoppingAnswer answers a request that arrives after this host stopped
// accepting. A non-idempotent one may be a resend of a request that ran, so as
// an owner the host does not say that it did not run.
func stoppingAnswer(req Request, stage wirepb.Stage) Response {
	if req.Idempotent || stage == wirepb.Stage_STAGE_DISPATCH {
		return refusal(req, result.Stopping, "the host is shutting down")
	}
	return refusal(req, result.OwnerUnreachable, "the owner is shutting down")
}

func (d *Daemon) handleForward(ctx context.Context, sender model.HostID, req Request, stage wirepb.Stage, stream *wire.Stream) Response {
	if !req.Idempotent {
		ctx = context.WithoutCancel(ctx)
	} else {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(ctx)
		defer cancel()
		go func() {
			// The sender sends nothing more, so this returns when it gives up.
			_, _ = stream.Receive()
			cancel()
		}()
	}
	if stage == wirepb.Stage_STAGE_OWNER {
		return d.ownForwarded(ctx, req)
	}
	return d.dispatchHere(ctx, req, sender)
}
