package agent

import (
	"context"
	"errors"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/wire"
	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
	"github.com/wisteriacrank/wisteriacrank/pkg/configreplica"
	"github.com/wisteriacrank/wisteriacrank/pkg/membership"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

const (
	// probeTimeout is below the probe timeout of pkg/membership, so that a missed
	// probe is reported before that timeout is over.
	probeTimeout = 350 * time.Millisecond
	// exchangeTimeout bounds pushes, pulls and full exchanges of records. Pushes and
	// pulls can carry a whole document.
	exchangeTimeout = 2 * time.Second
	// lateSessionDelay is the time after a failed call at which a session that
	// opened late is closed. It is longer than a dial and a greeting can take.
	lateSessionDelay = 5 * time.Second
)

var errNoAddress = errors.New("host has no known address")

// outbox holds messages to send to other agents.
type outbox struct {
	members []membership.Action
	replica []configreplica.Action
	shared  []sharedPush
	// pullShared is the host to pull the shared state from, or empty.
	pullShared model.HostID
}

// perform sends the messages in the background.
func (a *Agent) perform(ctx context.Context, out outbox) {
	for _, action := range out.members {
		a.background(ctx, func() { a.performMember(ctx, action) })
	}
	for _, action := range out.replica {
		a.background(ctx, func() { a.performReplica(ctx, action) })
	}
	for _, push := range out.shared {
		a.background(ctx, func() { a.sendShared(ctx, push) })
	}
	if out.pullShared != "" {
		a.background(ctx, func() { a.pullSharedFrom(ctx, out.pullShared) })
	}
}

// background runs a call in a new goroutine once one of maxCalls slots is free.
func (a *Agent) background(ctx context.Context, call func()) {
	go func() {
		select {
		case <-ctx.Done():
			return
		case a.callSlots <- struct{}{}:
		}
		defer func() { <-a.callSlots }()
		call()
	}()
}

// callOnce calls a peer on a new session. Open sessions to all members would cost
// one keepalive per member and second.
func (a *Agent) callOnce(ctx context.Context, address string, timeout time.Duration, env *wirepb.Envelope) (*wirepb.Envelope, error) {
	if address == "" {
		return nil, errNoAddress
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	client := wire.NewQuietClient(a.identity, a.settings.Limits.MaxFrameBytes)
	client.ConnectWith(a.dialCounted)
	defer client.Close()
	reply, err := client.Call(ctx, address, env)
	if err != nil {
		// A session that opens after the call has timed out is closed too.
		time.AfterFunc(lateSessionDelay, client.Close)
	}
	return reply, err
}

func (a *Agent) address(host model.HostID) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	record, _ := a.members.Record(host)
	return record.AgentAddress
}

// probeEnvelope returns the message of a probe. a.mu must be held.
func (a *Agent) probeEnvelope(m membership.Message) *wirepb.Envelope {
	return &wirepb.Envelope{Body: &wirepb.Envelope_Probe{Probe: &wirepb.Probe{
		Generation:    uint64(a.replica.Advertised()),
		Records:       recordsToWire(m),
		WantAll:       m.WantAll,
		InForce:       uint64(a.localInForce(time.Now())),
		Digest:        m.Digest,
		SharedVersion: a.shared.version,
	}}}
}

// probe sends a membership message and passes the reply to receive.
func (a *Agent) probe(ctx context.Context, address string, timeout time.Duration, m membership.Message, receive func(time.Time, membership.Message) []membership.Action) error {
	a.mu.Lock()
	env := a.probeEnvelope(m)
	a.mu.Unlock()
	reply, err := a.callOnce(ctx, address, timeout, env)
	if err != nil {
		return err
	}
	probeReply := reply.GetProbeReply()
	now := time.Now()
	a.mu.Lock()
	message := messageFromWire(probeReply.GetRecords(), probeReply.GetDigest(), false)
	out := outbox{members: receive(now, message)}
	a.recordPeerVersions(now, message.From, probeReply.GetGeneration(), probeReply.GetInForce(), probeReply.GetSharedVersion(), &out)
	a.mu.Unlock()
	a.perform(ctx, out)
	return nil
}

// recordPeerVersions handles the versions that a probe or its reply carried. It
// adds the resulting pulls to out. a.mu must be held.
func (a *Agent) recordPeerVersions(now time.Time, peer model.HostRecord, generation, inForce, shared uint64, out *outbox) {
	a.inForce[peer.Host] = reportedGeneration{generation: model.Generation(inForce), at: now}
	out.replica = append(out.replica, a.replica.PeerGeneration(now, peer.Host, model.Generation(generation))...)
	if peer.Region == a.settings.Host.Region && shared > a.shared.version {
		out.pullShared = peer.Host
	}
}

func (a *Agent) performMember(ctx context.Context, action membership.Action) {
	switch action := action.(type) {
	case membership.SendProbe:
		a.sendProbe(ctx, action)
	case membership.SendIndirectProbe:
		alive := a.probeIndirectly(ctx, action)
		a.mu.Lock()
		a.members.IndirectAnswered(time.Now(), action.Number, alive)
		a.mu.Unlock()
	case membership.SendRecords:
		_ = a.probe(ctx, action.To.AgentAddress, exchangeTimeout, action.Message, a.members.Received)
	case membership.SendFullExchange:
		_ = a.probe(ctx, action.To.AgentAddress, exchangeTimeout, action.Message, a.members.Received)
	}
}

func (a *Agent) sendProbe(ctx context.Context, p membership.SendProbe) {
	a.probesStarted.Add(1)
	a.count(counterProbes, 1)
	err := a.probe(ctx, p.To.AgentAddress, probeTimeout, p.Message, func(now time.Time, m membership.Message) []membership.Action {
		return a.members.ProbeAnswered(now, p.Number, m)
	})
	if err == nil {
		return
	}
	a.count(counterProbesMissed, 1)
	a.mu.Lock()
	out := outbox{members: a.members.ProbeMissed(time.Now(), p.Number)}
	a.mu.Unlock()
	a.perform(ctx, out)
}

func (a *Agent) probeIndirectly(ctx context.Context, p membership.SendIndirectProbe) bool {
	a.count(counterIndirectProbes, 1)
	env := &wirepb.Envelope{Body: &wirepb.Envelope_Probe{Probe: &wirepb.Probe{Target: string(p.Target.Host)}}}
	reply, err := a.callOnce(ctx, p.Via.AgentAddress, 2*probeTimeout, env)
	return err == nil && reply.GetProbeReply().GetAlive()
}

func (a *Agent) performReplica(ctx context.Context, action configreplica.Action) {
	switch action := action.(type) {
	case configreplica.Push:
		a.sendPush(ctx, action)
	case configreplica.Pull:
		a.sendPull(ctx, action)
	}
}

func (a *Agent) sendPush(ctx context.Context, p configreplica.Push) {
	a.count(counterPushes, 1)
	env := &wirepb.Envelope{Body: &wirepb.Envelope_ConfigPush{ConfigPush: deltaToWire(p.Delta, p.Subtree)}}
	if a.sendFeed(ctx, p.To, env) == nil {
		return
	}
	a.mu.Lock()
	out := outbox{replica: a.replica.PushFailed(p)}
	a.mu.Unlock()
	a.perform(ctx, out)
}

// sendFeed sends a message to a child in a feed tree.
func (a *Agent) sendFeed(ctx context.Context, to model.HostID, env *wirepb.Envelope) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	address := a.address(to)
	if address == "" {
		return errNoAddress
	}
	_, err := a.feedClient.Call(ctx, address, env)
	return err
}

func (a *Agent) sendPull(ctx context.Context, p configreplica.Pull) {
	a.count(counterPulls, 1)
	env := &wirepb.Envelope{Body: &wirepb.Envelope_ConfigPull{ConfigPull: &wirepb.ConfigPull{HaveGeneration: uint64(p.Have)}}}
	reply, err := a.callOnce(ctx, a.address(p.From), exchangeTimeout, env)
	a.mu.Lock()
	var out outbox
	if err != nil {
		a.replica.PullFailed()
	} else {
		delta := deltaFromWire(reply.GetConfigPullReply().GetDelta())
		now := time.Now()
		out.replica = a.replica.Pulled(now, p.From, delta)
		a.observeConfig(now, fromPull, p.From)
	}
	a.mu.Unlock()
	a.perform(ctx, out)
}
