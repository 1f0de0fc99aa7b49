package host

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/events"
	"github.com/wisteriacrank/wisteriacrank/internal/inventory"
)

const (
	// joinTime is how long after its start a host expects to have found peers
	// through the seeds: three heartbeats and their answers.
	joinTime = 1500 * time.Millisecond
	// registerInterval is how often a host looks whether it is to be found in
	// the store. Failed calls and searches that find nobody double it up to
	// maxRegisterInterval.
	registerInterval    = 2 * time.Second
	maxRegisterInterval = 16 * time.Second
	// leaveTimeout bounds the call that removes a stopping host's entry.
	leaveTimeout = time.Second
)

// hostObject is this host's entry in the store.
type hostObject struct {
	PeerAddress string `json:"peer-address"`
	Incarnation uint64 `json:"incarnation"`
}

// register keeps the addresses of the active hosts in the store, so that hosts
// find each other when all seeds are stale. Calls are priced, so hosts that
// stand by have no entry, and the entries are read only by a host without peers.
// The entry is removed when ctx ends, while work goes on.
func (h *Host) register(ctx, work context.Context) {
	registered := false
	pause := joinTime
	for {
		select {
		case <-ctx.Done():
			if registered {
				h.unregister(work)
			}
			return
		case <-time.After(pause + rand.N(pause/4)):
		}
		alone, active := h.standing()
		done := !alone
		if !registered && active {
			registered = h.putEntry(ctx)
			done = done && registered
		}
		if alone {
			h.findPeers(ctx)
		}
		pause = min(2*max(pause, registerInterval/2), maxRegisterInterval)
		if done {
			pause = registerInterval
		}
	}
}

// standing reports whether this host knows no others, and whether it is one of
// the active hosts of its region.
func (h *Host) standing() (alone, active bool) {
	h.rosterMu.Lock()
	defer h.rosterMu.Unlock()
	return h.roster.IsAlone(), h.roster.IsActive(time.Now(), h.slotsPerRegion())
}

func (h *Host) putEntry(ctx context.Context) bool {
	self := hostObject{PeerAddress: h.Settings.Listen.Peers, Incarnation: uint64(h.started.UnixMilli())}
	err := h.Store.Put(ctx, inventory.Hosts, h.Settings.ID, self)
	if err != nil {
		h.Log.Emit(events.StoreCallFailed, events.Subject("hosts/"+h.Settings.ID), events.Reason(err))
	}
	return err == nil
}

// unregister removes the entry of a host that stops.
func (h *Host) unregister(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := h.Store.Delete(ctx, inventory.Hosts, h.Settings.ID); err != nil {
		h.Log.Emit(events.StoreCallFailed, events.Subject("hosts/"+h.Settings.ID), events.Reason(err))
	}
}

// findPeers reads the addresses of the active hosts.
func (h *Host) findPeers(ctx context.Context) {
	listed, err := h.Store.ListStale(ctx, inventory.Hosts)
	if err != nil {
		h.Log.Emit(events.StoreCallFailed, events.Subject("hosts"), events.Reason(err))
		return
	}
	h.rosterMu.Lock()
	defer h.rosterMu.Unlock()
	h.roster.AddSeeds(peerAddresses(listed))
}

// peerAddresses reads the entries of hosts; those that cannot be read are left out.
func peerAddresses(listed inventory.Batch) []string {
	var addresses []string
	for _, o := range listed.Objects {
		var entry hostObject
		if err := json.Unmarshal(o.Body, &entry); err == nil && entry.PeerAddress != "" {
			addresses = append(addresses, entry.PeerAddress)
		}
	}
	return addresses
}
