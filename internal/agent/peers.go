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
	// probeTimeout is below that of the membership package, so that a late
	// answer is reported before it judges.
	probeTimeout = 350 * time.Millisecond
	// exchangeTimeout bounds pushes, pulls and full exchanges, which can carry
	// a whole document.
	exchangeTimeout = 2 * time.Second
	// lateSession is longer than a dial and a greeting can take.
	lateSession = 5 * time.Second
)

var errNoAddress = errors.New("host has no known address")

// outbox holds messages that the decision packages want sent.
type outbox struct {
	members []membership.Action
	replica []configreplica.Action
	shared  []sharedPush
	// pullShared is the host to get the shared state from.
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

// background runs a call when there is room for it.
func (a *Agent) background(ctx context.Context, call func()) {
	go func() {
		select {
		case <-ctx.Done():
			return
		case a.calls <- struct{}{}:
		}
		defer func() { <-a.calls }()
		call()
	}()
}

// callOnce calls a peer on a session of its own. Kept sessions to all members
// would cost a keepalive per member and second.
func (a *Agent) callOnce(ctx context.Context, address string, timeout time.Duration, env *wirepb.Envelope) (*wirepb.Envelope, error) {
	if address == "" {
		return nil, errNoAddress
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	client := wire.NewQuietClient(a.identity, a.settings.Limits.MaxFrameBytes)
	client.ConnectWith(a.open)
	defer client.Close()
	answer, err := client.Call(ctx, address, env)
	if err != nil {
		// A session that opens after the call was given up is closed too.
		time.AfterFunc(lateSession, client.Close)
	}
	return answer, err
}

func (a *Agent) address(host model.HostID) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	record, _ := a.members.Record(host)
	return record.AgentAddress
}

// probeEnvelope needs the lock.
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

// probe sends a membership message and takes the reply.
func (a *Agent) probe(ctx context.Context, address string, timeout time.Duration, m membership.Message, take func(time.Time, membership.Message) []membership.Action) error {
	a.mu.Lock()
	env := a.probeEnvelope(m)
	a.mu.Unlock()
	answer, err := a.callOnce(ctx, address, timeout, env)
	if err != nil {
		return err
	}
	reply := answer.GetProbeReply()
	now := time.Now()
	a.mu.Lock()
	message := messageFromWire(reply.GetRecords(), reply.GetDigest(), false)
	out := outbox{members: take(now, message)}
	a.hearPeer(now, message.From, reply.GetGeneration(), reply.GetInForce(), reply.GetSharedVersion(), &out)
	a.mu.Unlock()
	a.perform(ctx, out)
	return nil
}

// hearPeer takes the versions that a probe or its reply carried.
func (a *Agent) hearPeer(now time.Time, peer model.HostRecord, generation, inForce, shared uint64, out *outbox) {
	a.inForce[peer.Host] = heardGeneration{generation: model.Generation(inForce), at: now}
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
		alive := a.askIndirect(ctx, action)
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

func (a *Agent) askIndirect(ctx context.Context, p membership.SendIndirectProbe) bool {
	a.count(counterIndirectProbes, 1)
	env := &wirepb.Envelope{Body: &wirepb.Envelope_Probe{Probe: &wirepb.Probe{Target: string(p.Target.Host)}}}
	answer, err := a.callOnce(ctx, p.Via.AgentAddress, 2*probeTimeout, env)
	return err == nil && answer.GetProbeReply().GetAlive()
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

// sendFeed calls a child in a feed tree.
func (a *Agent) sendFeed(ctx context.Context, to model.HostID, env *wirepb.Envelope) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	address := a.address(to)
	if address == "" {
		return errNoAddress
	}
	_, err := a.feed.Call(ctx, address, env)
	return err
}

func (a *Agent) sendPull(ctx context.Context, p configreplica.Pull) {
	a.count(counterPulls, 1)
	env := &wirepb.Envelope{Body: &wirepb.Envelope_ConfigPull{ConfigPull: &wirepb.ConfigPull{HaveGeneration: uint64(p.Have)}}}
	answer, err := a.callOnce(ctx, a.address(p.From), exchangeTimeout, env)
	a.mu.Lock()
	var out outbox
	if err != nil {
		a.replica.PullFailed()
	} else {
		delta := deltaFromWire(answer.GetConfigPullReply().GetDelta())
		now := time.Now()
		out.replica = a.replica.Pulled(now, p.From, delta)
		a.observeConfig(now, fromPull, p.From)
	}
	a.mu.Unlock()
	a.perform(ctx, out)
}
