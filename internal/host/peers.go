package host

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wisteriacrank/wisteriacrank/internal/events"
	"github.com/wisteriacrank/wisteriacrank/internal/inventory"
	"github.com/wisteriacrank/wisteriacrank/internal/wire"
	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
	"github.com/wisteriacrank/wisteriacrank/pkg/roster"
)

const (
	// adoptInterval is the pause between questions to a peer with a newer
	// configuration.
	adoptInterval = time.Second
	// adoptTimeout bounds one question.
	adoptTimeout = 1500 * time.Millisecond
	// registerTries bounds the attempts to write this host's address to the
	// store; without it, hosts are found through the seeds.
	registerTries = 10
	registerPause = 2 * time.Second
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
	go h.adoptNewer(ctx)
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
	tick := time.NewTicker(roster.BeatInterval)
	defer tick.Stop()
	for {
		h.sendBeats(socket)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (h *Host) sendBeats(socket net.PacketConn) {
	now := time.Now()
	h.rosterMu.Lock()
	h.roster.SetState(h.state(), h.configVersion())
	targets := h.roster.Targets(now)
	message := &wirepb.Heartbeat{Self: beatToWire(h.roster.Self(), 0)}
	for _, other := range h.roster.Introductions(now) {
		message.Others = append(message.Others, beatToWire(other.Beat, other.Age))
	}
	h.rosterMu.Unlock()
	encoded, err := proto.Marshal(message)
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
	socket, err := net.ListenPacket("udp4", ":0")
	if err != nil {
		// The next heartbeat tells it.
		return
	}
	defer socket.Close()
	h.sendBeats(socket)
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
	h.rosterMu.Lock()
	defer h.rosterMu.Unlock()
	h.roster.Heard(now, beatFromWire(message.GetSelf()), 0)
	for _, other := range message.GetOthers() {
		h.roster.Heard(now, beatFromWire(other), time.Duration(other.GetAgeMillis())*time.Millisecond)
	}
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

func beatToWire(b roster.Beat, age time.Duration) *wirepb.HostBeat {
	return &wirepb.HostBeat{
		Id:            b.ID,
		Incarnation:   b.Incarnation,
		Region:        b.Region,
		FailureDomain: b.Domain,
		PeerAddress:   b.PeerAddress,
		CallerAddress: b.CallerAddress,
		State:         wirepb.BeatState(b.State + 1),
		ConfigVersion: b.ConfigVersion,
		AgeMillis:     uint32(age.Milliseconds()),
	}
}

func beatFromWire(b *wirepb.HostBeat) roster.Beat {
	return roster.Beat{
		ID:            b.GetId(),
		Incarnation:   b.GetIncarnation(),
		Region:        b.GetRegion(),
		Domain:        b.GetFailureDomain(),
		PeerAddress:   b.GetPeerAddress(),
		CallerAddress: b.GetCallerAddress(),
		State:         roster.State(b.GetState() - 1),
		ConfigVersion: b.GetConfigVersion(),
	}
}

// snapshotHandler answers peers that ask for the store's objects.
type snapshotHandler struct{ host *Host }

// Handle implements wire.Handler.
func (s snapshotHandler) Handle(_ context.Context, _ *wirepb.Hello, env *wirepb.Envelope, stream *wire.Stream) {
	if env.GetSnapshotPull() == nil {
		_ = stream.Send(wire.FailureEnvelope(result.UnknownMessage, "only snapshots are served"))
		return
	}
	reply := &wirepb.SnapshotReply{}
	for collection, objects := range s.host.reader.Snapshot() {
		for _, o := range objects {
			reply.Objects = append(reply.Objects, &wirepb.StoredObject{
				Collection: uint32(collection), Name: o.Name, Revision: o.Revision, Body: o.Body,
			})
		}
	}
	if err := stream.Send(&wirepb.Envelope{Body: &wirepb.Envelope_SnapshotReply{SnapshotReply: reply}}); err != nil {
		s.host.Log.Emit(events.PeerConnectionLost, events.Reason(err))
	}
}

// adoptNewer takes over what a peer holds while the store does not answer this
// host and the peer has a newer configuration.
func (h *Host) adoptNewer(ctx context.Context) {
	client := wire.NewQuietClient(h.identity(), wire.DefaultMaxFrameBytes)
	defer client.Close()
	tick := time.NewTicker(adoptInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			if peer, ok := h.newerPeer(now); ok && !h.reader.Reachable() {
				h.adopt(ctx, client, peer)
			}
		}
	}
}

func (h *Host) newerPeer(now time.Time) (roster.Beat, bool) {
	h.rosterMu.Lock()
	defer h.rosterMu.Unlock()
	best := roster.Beat{ConfigVersion: h.configVersion()}
	for _, beat := range h.roster.Live(now) {
		if beat.ConfigVersion > best.ConfigVersion {
			best = beat
		}
	}
	return best, best.ID != ""
}

func (h *Host) adopt(ctx context.Context, client *wire.Client, peer roster.Beat) {
	ctx, cancel := context.WithTimeout(ctx, adoptTimeout)
	defer cancel()
	pull := &wirepb.Envelope{Body: &wirepb.Envelope_SnapshotPull{SnapshotPull: &wirepb.SnapshotPull{}}}
	reply, err := client.Call(ctx, peer.PeerAddress, pull)
	if err != nil {
		h.Log.Emit(events.PeerConnectionLost, events.Peer(peer.PeerAddress), events.Reason(err))
		return
	}
	snapshot := make(map[inventory.Collection][]inventory.Object)
	for _, o := range reply.GetSnapshotReply().GetObjects() {
		c := inventory.Collection(o.GetCollection())
		snapshot[c] = append(snapshot[c], inventory.Object{Name: o.GetName(), Revision: o.GetRevision(), Body: o.GetBody()})
	}
	h.reader.Adopt(snapshot)
	h.Log.Emit(events.ConfigFromPeers, events.Generation(model.Generation(h.configVersion())), events.Count(len(reply.GetSnapshotReply().GetObjects())))
}

// hostObject is this host's entry in the store.
type hostObject struct {
	PeerAddress string `json:"peer-address"`
	Incarnation uint64 `json:"incarnation"`
}

// register writes this host's address to the store and reads those of others,
// so that hosts find each other when all seeds are stale.
func (h *Host) register(ctx context.Context) {
	self := hostObject{PeerAddress: h.Settings.Listen.Peers, Incarnation: uint64(h.started.UnixMilli())}
	for range registerTries {
		if h.tryRegister(ctx, self) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(registerPause):
		}
	}
}

func (h *Host) tryRegister(ctx context.Context, self hostObject) bool {
	if err := h.Store.Put(ctx, inventory.Hosts, h.Settings.ID, self); err != nil {
		h.Log.Emit(events.StoreCallFailed, events.Subject("hosts/"+h.Settings.ID), events.Reason(err))
		return false
	}
	listed, err := h.Store.List(ctx, inventory.Hosts)
	if err != nil {
		h.Log.Emit(events.StoreCallFailed, events.Subject("hosts"), events.Reason(err))
		return false
	}
	h.rosterMu.Lock()
	defer h.rosterMu.Unlock()
	h.roster.AddSeeds(peerAddresses(listed))
	return true
}
