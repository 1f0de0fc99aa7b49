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

// servePeers exchanges heartbeats and answers peers until ctx ends.
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
	h.beatSocket.Store(&socket)
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
	go h.beat(ctx, socket)
	go h.pullNewer(ctx)
	return h.receiveBeats(socket)
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

// beat sends heartbeats until ctx ends.
func (h *Host) beat(ctx context.Context, socket net.PacketConn) {
	tick := time.NewTicker(roster.HeartbeatInterval)
	defer tick.Stop()
	for {
		h.sendBeats(socket)
		h.logPeers(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (h *Host) sendBeats(socket net.PacketConn) {
	now := time.Now()
	storeLost := h.reader.StoreLost()
	h.rosterMu.Lock()
	h.roster.SetState(h.state(), storeLost)
	self := h.roster.Self()
	messages := h.roster.Heartbeats(now, h.slotsPerRegion())
	h.rosterMu.Unlock()
	h.watchReaders(now)
	for _, m := range messages {
		beat := &wirepb.Heartbeat{Self: beatToWire(self, 0), Collections: h.collectionStates(), Suspects: h.crashes.notices(now)}
		for _, other := range m.Forwarded {
			beat.Others = append(beat.Others, beatToWire(other.Heartbeat, other.Age))
		}
		if !m.Full {
			slim(beat.Self)
		}
		h.sendTo(socket, beat, m.To)
	}
}

// slim leaves out what does not change.
func slim(b *wirepb.HostBeat) {
	b.Region, b.FailureDomain, b.PeerAddress, b.CallerAddress = "", "", "", ""
	b.Capacity = 0
}

func (h *Host) sendTo(socket net.PacketConn, beat *wirepb.Heartbeat, targets []string) {
	encoded, err := proto.Marshal(beat)
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
		// A lost heartbeat is what the timeouts are for.
		_, _ = socket.WriteTo(encoded, address)
	}
}

// announce tells peers at once that the state has changed.
func (h *Host) announce() {
	if socket := h.beatSocket.Load(); socket != nil {
		h.sendBeats(*socket)
	}
}

func (h *Host) receiveBeats(socket net.PacketConn) error {
	buffer := make([]byte, 64<<10)
	for {
		n, _, err := socket.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// An unreachable peer is reported on the socket; it is no fault of it.
			continue
		}
		var message wirepb.Heartbeat
		if err := proto.Unmarshal(buffer[:n], &message); err != nil {
			h.Metrics.Add("invalid_input", 1)
			continue
		}
		h.heard(&message)
	}
}

func (h *Host) heard(message *wirepb.Heartbeat) {
	now := time.Now()
	said := beatFromWire(message.GetSelf())
	h.rosterMu.Lock()
	before, _ := h.roster.Peer(said.ID)
	h.roster.Receive(now, said, 0)
	for _, other := range message.GetOthers() {
		h.roster.Receive(now, beatFromWire(other), time.Duration(other.GetAgeMillis())*time.Millisecond)
	}
	h.rosterMu.Unlock()
	for _, notice := range message.GetSuspects() {
		h.crashes.heard(notice, now)
	}
	if before.StoreLost != said.StoreLost {
		h.watchReaders(now)
	}
	h.heardOfStore(now, message)
}

func (h *Host) state() roster.State {
	switch {
	case h.stops.Load():
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

func beatToWire(b roster.Heartbeat, age time.Duration) *wirepb.HostBeat {
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

func beatFromWire(b *wirepb.HostBeat) roster.Heartbeat {
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
