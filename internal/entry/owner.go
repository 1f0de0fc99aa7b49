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

// own handles a request as its owner.
func (d *Daemon) own(ctx context.Context, req Request) Answer {
	view := d.watcher.Current()
	if view == nil || view.Document == nil {
		return refusal(req, result.NotReady, "no configuration yet")
	}
	if _, ok := view.Document.Service(req.Service); !ok {
		return refusal(req, result.UnknownService, string(req.Service))
	}
	if _, ok := view.Document.Rank(req.Rank); !ok {
		return refusal(req, result.UnknownRank, string(req.Rank))
	}
	if !req.Idempotent {
		token, _, err := model.ParseRequestID(req.ID)
		if err != nil {
			return refusal(req, result.OwnerRequired, err.Error())
		}
		if token.Host != d.settings.Host.ID || token.Incarnation != d.incarnation {
			return d.forwardToOwner(ctx, req, token, view)
		}
	}
	return d.route(ctx, req, view)
}

func (d *Daemon) forwardToOwner(ctx context.Context, req Request, token model.OwnerToken, view *localstate.View) Answer {
	host, ok := view.Host(token.Host)
	if !ok || host.EntryIncarnation != token.Incarnation {
		return Answer{RequestID: req.ID, Code: result.OwnerGone, Detail: "owner is gone"}
	}
	return d.passOn(ctx, req, host, wirepb.Stage_STAGE_OWNER)
}

// passOn hands the request to one host, which may be this one.
func (d *Daemon) passOn(ctx context.Context, req Request, host model.HostRecord, stage wirepb.Stage) Answer {
	if host.Host == d.settings.Host.ID && stage == wirepb.Stage_STAGE_DISPATCH {
		answer := d.dispatcher.dispatch(ctx, req, d.settings.Host.ID)
		answer.Hops = append([]string{string(d.settings.Host.ID)}, answer.Hops...)
		return answer
	}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	env := &wirepb.Envelope{Body: &wirepb.Envelope_ForwardRequest{
		ForwardRequest: requestToWire(req, stage, time.Now()),
	}}
	reply, err := d.peers.Call(ctx, host.PeerAddress, env)
	if err != nil {
		return d.callFailed(req, err)
	}
	answer := answerFromWire(req, reply.GetForwardReply())
	answer.Hops = append([]string{string(d.settings.Host.ID)}, answer.Hops...)
	return answer
}

func (d *Daemon) callFailed(req Request, err error) Answer {
	var coded *result.Error
	var lost *wire.CallError
	switch {
	case errors.As(err, &lost) && !lost.Sent:
		return refusal(req, result.ConnectFailed, err.Error())
	case errors.As(err, &coded):
		return refusal(req, coded.Code, coded.Detail)
	case !time.Now().Before(req.Deadline):
		return refusal(req, result.DeadlineAfter, err.Error())
	default:
		return refusal(req, result.ConnectionLost, err.Error())
	}
}

// Handle implements wire.Handler.
func (d *Daemon) Handle(ctx context.Context, peer *wirepb.Hello, env *wirepb.Envelope, stream *wire.Stream) {
	holder := model.HostID(peer.Host)
	var reply *wirepb.Envelope
	switch body := env.Body.(type) {
	case *wirepb.Envelope_ForwardRequest:
		reply = d.handleForward(ctx, holder, body.ForwardRequest)
	case *wirepb.Envelope_GrantRequest:
		reply = d.dispatcher.issueGrant(holder, body.GrantRequest)
	case *wirepb.Envelope_GrantReturn:
		reply = d.dispatcher.takeBackGrant(holder, body.GrantReturn)
	default:
		reply = wire.FailureEnvelope(result.UnknownMessage, "entry hosts do not take this message")
	}
	_ = stream.Send(reply)
}

// handleForward serves a request that another entry host passed on.
func (d *Daemon) handleForward(ctx context.Context, holder model.HostID, forward *wirepb.ForwardRequest) *wirepb.Envelope {
	req := requestFromWire(forward, time.Now())
	answer := refusal(req, result.Stopping, "the host is shutting down")
	if !d.lifecycle.begin() {
		return &wirepb.Envelope{Body: &wirepb.Envelope_ForwardReply{ForwardReply: answerToWire(answer)}}
	}
	defer d.lifecycle.end()
	if forward.Stage == wirepb.Stage_STAGE_OWNER {
		answer = d.ownForwarded(ctx, req)
	} else {
		answer = d.dispatcher.dispatch(ctx, req, holder)
		answer.Hops = append([]string{string(d.settings.Host.ID)}, answer.Hops...)
	}
	if req.FromRegion != d.settings.Host.Region {
		// The request ran, so the reply is sent even when the link's budget
		// does not allow it before the deadline.
		d.links.wait(ctx, req.FromRegion, len(answer.Body), req.Deadline)
	}
	return &wirepb.Envelope{Body: &wirepb.Envelope_ForwardReply{ForwardReply: answerToWire(answer)}}
}

// ownForwarded handles a request that another host received. It is never
// forwarded again, so two hosts with different views cannot pass it around.
func (d *Daemon) ownForwarded(ctx context.Context, req Request) Answer {
	token, _, err := model.ParseRequestID(req.ID)
	if err != nil || token.Host != d.settings.Host.ID || token.Incarnation != d.incarnation {
		return Answer{RequestID: req.ID, Code: result.OwnerGone, Detail: "another incarnation owned the request"}
	}
	return d.own(ctx, req)
}
