package host

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/events"
	"github.com/wisteriacrank/wisteriacrank/internal/inventory"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

const (
	// joinTimeout is the time after its start in which a host normally finds
	// peers through the seeds: three heartbeats and the replies to them.
	joinTimeout = 1500 * time.Millisecond
	// registerInterval is the interval between checks whether this host needs
	// an entry in the store. It doubles up to maxRegisterInterval after failed
	// calls and searches that find no peer.
	registerInterval    = 2 * time.Second
	maxRegisterInterval = 16 * time.Second
	// unregisterTimeout bounds the call that removes a stopping host's entry.
	unregisterTimeout = time.Second
)

// hostObject is this host's entry in the store.
type hostObject struct {
	PeerAddress string `json:"peer-address"`
	Incarnation uint64 `json:"incarnation"`
}

// registration is what this host knows about its entry in the store.
type registration struct {
	written bool
	// era is the store's era before the entry was written.
	era model.Era
}

// isDue reports whether the entry has to be written in this era of the store.
func (r *registration) isDue(era model.Era) bool { return !r.written || era > r.era }

// record records the outcome of a write that began in an era. An entry that could
// not be written again may still be there.
func (r *registration) record(era model.Era, written bool) {
	if written {
		r.written, r.era = true, era
	}
}

// register keeps an entry of this host in the store while it is an active host,
// so that hosts find each other when all seeds are stale. Calls to the store
// are priced, so standby hosts have no entry, and only a host without peers
// reads the entries. The entry is written again when the store has come back from
// an older copy, which may lack it; the hosts do so at different times of an
// interval. The entry is removed when ctx ends, in a call under the work context,
// which ends later.
func (h *Host) register(ctx, work context.Context) {
	var entry registration
	pause := joinTimeout
	for {
		select {
		case <-ctx.Done():
			if entry.written {
				h.unregister(work)
			}
			return
		case <-time.After(pause + rand.N(pause/4)):
		}
		alone, active := h.rosterStatus()
		done := !alone
		if era := h.reader.Era(); active && entry.isDue(era) {
			written := h.putEntry(ctx)
			entry.record(era, written)
			done = done && written
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

// rosterStatus reports whether this host has no other host in its view, and
// whether it is one of the active hosts of its region.
func (h *Host) rosterStatus() (alone, active bool) {
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

// unregister removes the entry of this host when it stops.
func (h *Host) unregister(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, unregisterTimeout)
	defer cancel()
	if err := h.Store.Delete(ctx, inventory.Hosts, h.Settings.ID); err != nil {
		h.Log.Emit(events.StoreCallFailed, events.Subject("hosts/"+h.Settings.ID), events.Reason(err))
	}
}

// findPeers adds the active hosts that have an entry in the store as seeds.
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

// peerAddresses returns the peer addresses in the entries of hosts. Entries
// that cannot be decoded are skipped.
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
