package host

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/inventory"
	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
)

// localLatency is that of messages within a region.
const localLatency = 2 * time.Millisecond

// fleetNetwork carries messages between the hosts of a fleet.
type fleetNetwork struct {
	mu    sync.Mutex
	hosts map[string]*Host
	// isolated hosts exchange no messages. Others lose a share of the datagrams.
	isolated map[string]bool
	loss     float64
	// cutOff is a region whose hosts reach no other region.
	cutOff string
	// remote is the latency of messages between regions.
	remote time.Duration
}

func newFleetNetwork(remote time.Duration) *fleetNetwork {
	return &fleetNetwork{hosts: make(map[string]*Host), isolated: make(map[string]bool), remote: remote}
}

// run runs what a host does with the store and its peers.
func (n *fleetNetwork) run(ctx context.Context, running *sync.WaitGroup, h *Host) {
	var socket net.PacketConn = fleetSocket{network: n, host: h}
	h.heartbeatSocket.Store(&socket)
	n.mu.Lock()
	n.hosts[h.Settings.Listen.Peers] = h
	n.mu.Unlock()
	running.Go(func() { h.reader.Run(ctx) })
	running.Go(func() { h.runHeartbeats(ctx, socket) })
	running.Go(func() { n.runPuller(ctx, h) })
}

// path returns the host at an address if messages reach it, and their latency.
func (n *fleetNetwork) path(from *Host, to string) (*Host, time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	target := n.hosts[to]
	latency := localLatency
	if target != nil && target.Settings.Region != from.Settings.Region {
		latency = n.remote
	}
	if target != nil && target.Settings.Region != from.Settings.Region && (target.Settings.Region == n.cutOff || from.Settings.Region == n.cutOff) {
		return nil, latency
	}
	if target == nil || n.isolated[from.Settings.ID] || n.isolated[target.Settings.ID] {
		return nil, latency
	}
	return target, latency
}

// fleetSocket is the socket for the heartbeats of one host.
type fleetSocket struct {
	net.PacketConn
	network *fleetNetwork
	host    *Host
}

func (s fleetSocket) WriteTo(datagram []byte, to net.Addr) (int, error) {
	target, latency := s.network.path(s.host, to.String())
	s.network.mu.Lock()
	loss := s.network.loss
	s.network.mu.Unlock()
	if target != nil && rand.Float64() >= loss {
		copied := slices.Clone(datagram)
		time.AfterFunc(latency+rand.N(localLatency), func() { target.receiveDatagram(copied) })
	}
	return len(datagram), nil
}

// runPuller does what pullNewer does, in memory.
func (n *fleetNetwork) runPuller(ctx context.Context, h *Host) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.pullWake:
		case <-timer.C:
		}
		due, next := h.duePulls(time.Now())
		for address, pulls := range due {
			n.pull(h, address, pulls)
		}
		timer.Reset(next)
	}
}

func (n *fleetNetwork) pull(h *Host, address string, pulls []duePull) {
	target, latency := n.path(h, address)
	if target == nil {
		time.Sleep(pullTimeout)
		for _, p := range pulls {
			h.tryNextPeer(p.collection, p.peer)
		}
		return
	}
	time.Sleep(2 * latency)
	reply, remote := &wirepb.SnapshotReply{}, make(map[inventory.Collection]bool)
	for _, p := range pulls {
		remote[p.collection] = p.peer.remote
		reply.Collections = append(reply.Collections, snapshotToWire(uint32(p.collection), target.reader.Snapshot(p.collection)))
	}
	time.Sleep(latency)
	h.applySnapshots(reply, address, remote)
}
