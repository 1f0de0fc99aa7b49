package host

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wisteriacrank/wisteriacrank/internal/events"
	"github.com/wisteriacrank/wisteriacrank/internal/wire"
	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
	"github.com/wisteriacrank/wisteriacrank/pkg/roster"
)

// servePeers exchanges heartbeats and serves snapshots to peers until ctx ends.
func (h *Host) servePeers(ctx context.Context) error {
	socket, err := net.ListenPacket("udp4", h.Settings.Listen.Peers)
	if err != nil {
		return fmt.Errorf("listen for heartbeats: %w", err)
	}
	listener, err := net.Listen("tcp4", h.Settings.Listen.Peers)
	if err != nil {
		_ = socket.Close()
		return fmt.Errorf("listen for peers: %w", err)
	}
	h.heartbeatSocket.Store(&socket)
	stop := context.AfterFunc(ctx, func() {
		_ = socket.Close()
		_ = listener.Close()
	})
	defer stop()
	server := wire.NewServer(h.identity(), snapshotHandler{h}, wire.DefaultMaxFrameBytes, invalidInput{h})
	go func() {
		if err := server.Serve(ctx, listener); err != nil && ctx.Err() == nil {
			h.Log.Emit(events.PeerConnectionLost, events.Reason(err))
		}
	}()
	go h.runHeartbeats(ctx, socket)
	go h.pullNewer(ctx)
	return h.receiveHeartbeats(socket)
}

func (h *Host) identity() wire.Identity {
	return wire.Identity{
		Environment: "platform",
		Role:        wirepb.Role_ROLE_AGENT,
		Host:        model.HostID(h.Settings.ID),
		Incarnation: model.Incarnation(h.started.UnixMilli()),
	}
}

type invalidInput struct{ host *Host }

func (i invalidInput) InvalidInput(result.Code) { i.host.Metrics.Add("invalid_input", 1) }

// runHeartbeats sends heartbeats until ctx ends.
func (h *Host) runHeartbeats(ctx context.Context, socket net.PacketConn) {
	tick := time.NewTicker(roster.HeartbeatInterval)
	defer tick.Stop()
	for {
		h.sendHeartbeats(socket)
		h.logPeers(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (h *Host) sendHeartbeats(socket net.PacketConn) {
	defer h.Log.RecoverPanic("heartbeats")
	now := time.Now()
	self, messages := h.nextHeartbeats(now, h.reader.StoreLost())
	h.checkReaders(now)
	for _, m := range messages {
		heartbeat := &wirepb.Heartbeat{Self: heartbeatToWire(self, 0), Collections: h.collectionStates(), Suspects: h.crashes.notices(now)}
		for _, other := range m.Forwarded {
			heartbeat.Others = append(heartbeat.Others, heartbeatToWire(other.Heartbeat, other.Age))
		}
		if !m.Full {
			omitStaticFields(heartbeat.Self)
		}
		h.sendTo(socket, heartbeat, m.To)
	}
}

// nextHeartbeats returns this host's own heartbeat and the messages of one interval.
func (h *Host) nextHeartbeats(now time.Time, storeLost bool) (roster.Heartbeat, []roster.Message) {
	h.rosterMu.Lock()
	defer h.rosterMu.Unlock()
	h.roster.SetState(h.state(), storeLost)
	return h.roster.Self(), h.roster.Heartbeats(now, h.slotsPerRegion())
}

// omitStaticFields clears the fields that do not change while a host runs.
func omitStaticFields(b *wirepb.HostBeat) {
	b.Region, b.FailureDomain, b.PeerAddress, b.CallerAddress = "", "", "", ""
	b.Capacity = 0
}

func (h *Host) sendTo(socket net.PacketConn, heartbeat *wirepb.Heartbeat, targets []string) {
	encoded, err := proto.Marshal(heartbeat)
	if err != nil {
		h.Log.Emit(events.PeerConnectionLost, events.Reason(err))
		return
	}
	for _, target := range targets {
		address, err := net.ResolveUDPAddr("udp4", target)
		if err != nil {
			h.Log.Emit(events.PeerConnectionLost, events.Peer(target), events.Reason(err))
			continue
		}
		// A failed send is treated like a lost datagram, which the roster's
		// timeouts cover.
		_, _ = socket.WriteTo(encoded, address)
	}
}

// announce sends heartbeats at once after a change of the state.
func (h *Host) announce() {
	if socket := h.heartbeatSocket.Load(); socket != nil {
		h.sendHeartbeats(*socket)
	}
}

func (h *Host) receiveHeartbeats(socket net.PacketConn) error {
	buffer := make([]byte, 64<<10)
	for {
		n, _, err := socket.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// The socket also reports unreachable peers; it stays usable.
			continue
		}
		h.receiveDatagram(buffer[:n])
	}
}

func (h *Host) receiveDatagram(datagram []byte) {
	defer h.Log.RecoverPanic("heartbeat")
	var message wirepb.Heartbeat
	if err := proto.Unmarshal(datagram, &message); err != nil {
		h.Metrics.Add("invalid_input", 1)
		return
	}
	h.handleHeartbeat(&message)
}

// updateRoster merges the heartbeats in a message. It returns the sender's
// previous heartbeat.
func (h *Host) updateRoster(now time.Time, sender roster.Heartbeat, others []*wirepb.HostBeat) (before roster.Heartbeat) {
	h.rosterMu.Lock()
	defer h.rosterMu.Unlock()
	before, _ = h.roster.Peer(sender.ID)
	h.roster.Receive(now, sender, 0)
	for _, other := range others {
		h.roster.Receive(now, heartbeatFromWire(other), time.Duration(other.GetAgeMillis())*time.Millisecond)
	}
	return before
}

func (h *Host) handleHeartbeat(message *wirepb.Heartbeat) {
	now := time.Now()
	sender := heartbeatFromWire(message.GetSelf())
	before := h.updateRoster(now, sender, message.GetOthers())
	for _, notice := range message.GetSuspects() {
		h.crashes.applyNotice(notice, now)
	}
	if before.StoreLost != sender.StoreLost {
		h.checkReaders(now)
	}
	h.applyCollections(now, message)
}

func (h *Host) state() roster.State {
	switch {
	case h.stopping.Load():
		return roster.Leaving
	case h.configVersion() == 0:
		return roster.Starting
	default:
		return roster.Ready
	}
}

func (h *Host) configVersion() uint64 {
	if config := h.reader.View().Config; config != nil {
		return config.Version
	}
	return 0
}

func heartbeatToWire(b roster.Heartbeat, age time.Duration) *wirepb.HostBeat {
	return &wirepb.HostBeat{
		Id:            b.ID,
		Incarnation:   b.Incarnation,
		Region:        b.Region,
		FailureDomain: b.Domain,
		PeerAddress:   b.PeerAddress,
		CallerAddress: b.CallerAddress,
		State:         wirepb.BeatState(b.State + 1),
		StoreLost:     b.StoreLost,
		Capacity:      uint32(b.Capacity),
		Standby:       b.Standby,
		AgeMillis:     uint32(age.Milliseconds()),
	}
}

func heartbeatFromWire(b *wirepb.HostBeat) roster.Heartbeat {
	return roster.Heartbeat{
		ID:            b.GetId(),
		Incarnation:   b.GetIncarnation(),
		Region:        b.GetRegion(),
		Domain:        b.GetFailureDomain(),
		PeerAddress:   b.GetPeerAddress(),
		CallerAddress: b.GetCallerAddress(),
		Capacity:      int(b.GetCapacity()),
		Standby:       b.GetStandby(),
		State:         roster.State(b.GetState() - 1),
		StoreLost:     b.GetStoreLost(),
	}
}
