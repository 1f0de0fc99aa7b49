package agent

import (
	"context"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/wire"
	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
	"github.com/wisteriacrank/wisteriacrank/pkg/membership"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// Handle implements wire.Handler.
func (a *Agent) Handle(ctx context.Context, peer *wirepb.Hello, env *wirepb.Envelope, stream *wire.Stream) {
	switch body := env.Body.(type) {
	case *wirepb.Envelope_WatchState:
		a.serveWatch(ctx, stream)
	case *wirepb.Envelope_ReportLocal:
		a.acceptReport(time.Now(), peer.Role, body.ReportLocal)
		_ = stream.Send(&wirepb.Envelope{Body: &wirepb.Envelope_ReportLocalReply{ReportLocalReply: &wirepb.ReportLocalReply{}}})
	case *wirepb.Envelope_Probe:
		reply := a.replyToProbe(ctx, body.Probe)
		_ = stream.Send(&wirepb.Envelope{Body: &wirepb.Envelope_ProbeReply{ProbeReply: reply}})
	case *wirepb.Envelope_ConfigPush:
		reply := a.acceptPush(ctx, model.HostID(peer.Host), body.ConfigPush)
		_ = stream.Send(&wirepb.Envelope{Body: &wirepb.Envelope_ConfigPushReply{ConfigPushReply: reply}})
	case *wirepb.Envelope_ConfigPull:
		_ = stream.Send(&wirepb.Envelope{Body: &wirepb.Envelope_ConfigPullReply{ConfigPullReply: a.replyToPull(body.ConfigPull)}})
	case *wirepb.Envelope_StatusRequest:
		_ = stream.Send(&wirepb.Envelope{Body: &wirepb.Envelope_StatusReply{StatusReply: a.entryStatus(time.Now())}})
	case *wirepb.Envelope_SharedState:
		a.acceptSharedPush(ctx, model.HostID(peer.Host), body.SharedState)
		_ = stream.Send(&wirepb.Envelope{Body: &wirepb.Envelope_SharedStateReply{SharedStateReply: &wirepb.SharedStateReply{}}})
	case *wirepb.Envelope_SharedStatePull:
		_ = stream.Send(&wirepb.Envelope{Body: &wirepb.Envelope_SharedState{SharedState: a.sharedSince(body.SharedStatePull.HaveVersion)}})
	}
}

func (a *Agent) replyToProbe(ctx context.Context, p *wirepb.Probe) *wirepb.ProbeReply {
	if p.Target != "" {
		return &wirepb.ProbeReply{Alive: a.probeFor(ctx, model.HostID(p.Target))}
	}
	now := time.Now()
	message := messageFromWire(p.Records, p.Digest, p.WantAll)
	a.mu.Lock()
	defer a.mu.Unlock()
	var out outbox
	if message.From.Host != "" {
		out.members = a.members.Received(now, message)
		a.recordPeerVersions(now, message.From, p.Generation, p.InForce, p.SharedVersion, &out)
	}
	a.perform(ctx, out)
	reply := a.members.Reply(message)
	return &wirepb.ProbeReply{
		Alive:         true,
		Generation:    uint64(a.replica.Advertised()),
		Records:       recordsToWire(reply),
		InForce:       uint64(a.localInForce(now)),
		Digest:        reply.Digest,
		SharedVersion: a.shared.version,
	}
}

// probeFor probes target for another host and reports whether target replied.
func (a *Agent) probeFor(ctx context.Context, target model.HostID) bool {
	a.mu.Lock()
	record, known := a.members.Record(target)
	env := a.probeEnvelope(membership.Message{From: a.members.Self(), Digest: a.members.Digest()})
	a.mu.Unlock()
	if !known {
		return false
	}
	reply, err := a.callOnce(ctx, record.AgentAddress, probeTimeout, env)
	if err != nil {
		return false
	}
	records := reply.GetProbeReply().GetRecords()
	return len(records) > 0 && model.HostID(records[0].GetHost()) == target
}

func (a *Agent) acceptPush(ctx context.Context, from model.HostID, push *wirepb.ConfigPush) *wirepb.ConfigPushReply {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	applied, actions := a.replica.ReceivePush(now, from, deltaFromWire(push), hostsFromWire(push.Subtree))
	a.observeConfig(now, fromPush, from)
	a.publish(now)
	a.perform(ctx, outbox{replica: actions})
	return &wirepb.ConfigPushReply{Applied: applied, Generation: uint64(a.replica.Advertised())}
}

func (a *Agent) replyToPull(pull *wirepb.ConfigPull) *wirepb.ConfigPullReply {
	a.mu.Lock()
	defer a.mu.Unlock()
	delta := a.replica.PullReply(model.Generation(pull.HaveGeneration))
	return &wirepb.ConfigPullReply{Generation: uint64(delta.Generation), Delta: deltaToWire(delta, nil)}
}
