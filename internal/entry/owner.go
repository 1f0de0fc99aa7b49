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

// requestState is the state that the daemon keeps about requests.
type requestState struct {
	owned   *ownerRecords
	stored  *storedResponses
	budgets *retryBudgets
	// onStep is set only by tests, before the daemon serves.
	onStep func(requestStep, Request)
}

func newRequestState() *requestState {
	return &requestState{
		owned:   newOwnerRecords(),
		stored:  newStoredResponses(),
		budgets: newRetryBudgets(newLockedBudget),
	}
}

// handleAsOwner handles a request that a caller sent to this host. A
// non-idempotent one is forwarded if its ID names another owner.
func (d *Daemon) handleAsOwner(ctx context.Context, req Request) Response {
	view := d.watcher.Current()
	if view == nil {
		view = &localstate.View{}
	}
	if req.Idempotent {
		return d.forwardToDispatchers(ctx, req, view)
	}
	token, _, err := model.ParseRequestID(req.ID)
	if err != nil {
		return refusal(req, result.OwnerRequired, err.Error())
	}
	if !d.isOwner(token) {
		return d.forwardToOwner(ctx, req, token, view)
	}
	return d.handleNonIdempotent(ctx, req, token, view)
}

func (d *Daemon) isOwner(token model.OwnerToken) bool {
	return token.Host == d.settings.Host.ID && token.Incarnation == d.incarnation
}

// handleForwardedAsOwner handles a request that another host forwarded to this
// host as its owner. It never forwards it to another owner, so two hosts with
// different views cannot forward it to each other forever.
func (d *Daemon) handleForwardedAsOwner(ctx context.Context, req Request) Response {
	token, _, err := model.ParseRequestID(req.ID)
	if err != nil || req.Idempotent || !d.isOwner(token) {
		return refusal(req, result.OwnerGone, "the request is owned by another incarnation")
	}
	return d.handleAsOwner(ctx, req)
}

// forwardToOwner sends a non-idempotent request to the incarnation that its ID
// names. Without a response of the owner the request may have run, because of
// this arrival or of an earlier one at another host, so it is never reported as
// not run.
func (d *Daemon) forwardToOwner(ctx context.Context, req Request, token model.OwnerToken, view *localstate.View) Response {
	response := refusal(req, result.OwnerGone, "the view has no live owner of this incarnation")
	// If the incarnation in the view is lower than in the token, the view is
	// outdated, and the owner itself decides.
	if host, ok := view.Host(token.Host); ok && host.EntryIncarnation <= token.Incarnation && acceptsCalls(host) {
		response = d.callOwner(ctx, req, host)
	}
	switch response.Code {
	case result.OwnerGone, result.OwnerUnreachable:
		if recalled, ok := d.recall(ctx, req, view); ok {
			return asReplay(recalled)
		}
	}
	return response
}

func (d *Daemon) callOwner(ctx context.Context, req Request, host model.HostRecord) Response {
	response, err := d.call(ctx, req, host, wirepb.Stage_STAGE_OWNER)
	switch {
	case err == nil:
		return response
	case !time.Now().Before(req.Deadline):
		return refusal(req, result.DeadlineAfterDispatch, err.Error())
	default:
		return refusal(req, result.OwnerUnreachable, err.Error())
	}
}

// call sends the request to another host and checks that the reply is complete
// and belongs to the request.
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
	response := responseFromWire(req, reply.GetForwardReply())
	response.Hops = append([]string{string(d.settings.Host.ID)}, response.Hops...)
	return response, nil
}

// sendToDispatcher sends the request to one dispatcher, which may be this host.
func (d *Daemon) sendToDispatcher(ctx context.Context, req Request, host model.HostRecord) Response {
	if host.Host == d.settings.Host.ID {
		return d.dispatchHere(ctx, req, d.settings.Host.ID)
	}
	response, err := d.call(ctx, req, host, wirepb.Stage_STAGE_DISPATCH)
	if err != nil {
		return failedCallResponse(req, err)
	}
	return response
}

// failedCallResponse returns the response for a failed call to a dispatcher: the
// request did not run if it was not sent or if the peer refused its frame.
func failedCallResponse(req Request, err error) Response {
	var refused *result.Error
	var callErr *wire.CallError
	switch {
	case errors.As(err, &callErr) && !callErr.Sent:
		return refusal(req, result.ConnectFailed, err.Error())
	case callErr == nil && errors.As(err, &refused):
		return refusal(req, result.NotDispatcher, err.Error())
	case !time.Now().Before(req.Deadline):
		return refusal(req, result.DeadlineAfterDispatch, err.Error())
	default:
		return refusal(req, result.ConnectionLost, err.Error())
	}
}

// dispatchHere runs the request on a backend server of this host. owner is the
// host that sent it.
func (d *Daemon) dispatchHere(ctx context.Context, req Request, owner model.HostID) Response {
	response := d.dispatcher.dispatch(ctx, req, owner)
	response.Hops = append([]string{string(d.settings.Host.ID)}, response.Hops...)
	d.step(stepDispatched, req)
	d.afterRun(req, response)
	if response.trial {
		// The trial ends after its outcome is recorded: a copy that is admitted
		// before that could crash a third server.
		d.dispatcher.guard.endTrial(req)
	}
	d.requests.stored.store(req, response, time.Now())
	d.step(stepStored, req)
	return response
}

// Handle implements wire.Handler.
func (d *Daemon) Handle(ctx context.Context, peer *wirepb.Hello, env *wirepb.Envelope, stream *wire.Stream) {
	defer d.log.RecoverPanic("call of a host")
	sender := model.HostID(peer.Host)
	var reply *wirepb.Envelope
	switch body := env.Body.(type) {
	case *wirepb.Envelope_ForwardRequest:
		d.serveForward(ctx, sender, body.ForwardRequest, stream)
		return
	case *wirepb.Envelope_GrantRequest:
		reply = d.dispatcher.handleGrantRequest(sender, body.GrantRequest)
	case *wirepb.Envelope_GrantReturn:
		reply = d.dispatcher.handleGrantReturn(sender, body.GrantReturn)
	case *wirepb.Envelope_RecallRequest:
		reply = d.handleRecall(body.RecallRequest.RequestId)
	case *wirepb.Envelope_SuspectNotice:
		reply = d.handleNotice(body.SuspectNotice)
	default:
		reply = wire.FailureEnvelope(result.UnknownMessage, "entry hosts do not accept this message")
	}
	_ = stream.Send(reply)
}

// serveForward handles a request that another entry host forwarded, unless this
// host is shutting down. The request ends after its reply is sent, because the
// shutdown closes the sessions of other hosts.
func (d *Daemon) serveForward(ctx context.Context, sender model.HostID, forward *wirepb.ForwardRequest, stream *wire.Stream) {
	req, stage := requestFromWire(forward, time.Now()), forward.Stage
	if !d.lifecycle.begin() {
		sendReply(stream, stoppingResponse(req, stage))
		return
	}
	defer d.lifecycle.end()
	response := d.handleForward(ctx, sender, req, stage, stream)
	if req.FromRegion != d.settings.Host.Region {
		// The request ran, so the reply is sent even if the budget of the link
		// does not allow it before the deadline.
		d.links.wait(ctx, req.FromRegion, len(response.Body), req.Deadline)
	}
	sendReply(stream, response)
}

func sendReply(stream *wire.Stream, response Response) {
	_ = stream.Send(&wirepb.Envelope{Body: &wirepb.Envelope_ForwardReply{ForwardReply: responseToWire(response)}})
}

// stoppingResponse returns the response to a request that arrives after this host
// has stopped accepting requests. A non-idempotent one may be a resend of a
// request that ran, so the host as owner does not report it as not run.
func stoppingResponse(req Request, stage wirepb.Stage) Response {
	if req.Idempotent || stage == wirepb.Stage_STAGE_DISPATCH {
		return refusal(req, result.Stopping, "the host is shutting down")
	}
	return refusal(req, result.OwnerUnreachable, "the owner is shutting down")
}

// handleForward handles a forwarded request as owner or as dispatcher. Only an
// idempotent one is cancelled with the sender's call.
func (d *Daemon) handleForward(ctx context.Context, sender model.HostID, req Request, stage wirepb.Stage, stream *wire.Stream) Response {
	if !req.Idempotent {
		ctx = context.WithoutCancel(ctx)
	} else {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(ctx)
		defer cancel()
		go func() {
			// The sender sends nothing more, so this returns when it cancels the
			// call or its connection ends.
			_, _ = stream.Receive()
			cancel()
		}()
	}
	if stage == wirepb.Stage_STAGE_OWNER {
		return d.handleForwardedAsOwner(ctx, req)
	}
	return d.dispatchHere(ctx, req, sender)
}
