package host

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/callers"
	"github.com/wisteriacrank/wisteriacrank/internal/events"
)

// maxAddresses bounds a look-up answer.
const maxAddresses = 64

// serveLookup tells callers which hosts to use.
func (h *Host) serveLookup(_ context.Context, req *callers.Request) callers.Answer {
	lookup, ok := h.Protocol.DecodeLookup(req.Request)
	if !ok {
		return plain(http.StatusNotFound)
	}
	addresses := h.entryAddresses(lookup)
	if len(addresses) == 0 {
		return refusal(notReadyRetryAfter)
	}
	answer, err := h.Protocol.EncodeLookup(addresses, min(lookupTTL, h.bounds().MaxLookupTTL))
	if err != nil {
		h.Log.Emit(events.RequestRefused, events.Reason(err))
		return plain(http.StatusInternalServerError)
	}
	h.Metrics.Add("lookups", 1)
	return answer
}

// entryAddresses returns the entry hosts of the caller's region, or those of
// the other regions while it has none.
func (h *Host) entryAddresses(lookup Lookup) []string {
	storeLost := h.reader.StoreLost()
	h.rosterMu.Lock()
	defer h.rosterMu.Unlock()
	now := time.Now()
	h.roster.SetState(h.state(), storeLost)
	addresses := h.addressesOf(now, lookup.Region)
	if len(addresses) > 0 {
		return addresses
	}
	for _, region := range h.otherRegions(lookup.Region) {
		addresses = append(addresses, h.addressesOf(now, region)...)
	}
	return addresses[:min(len(addresses), maxAddresses)]
}

func (h *Host) addressesOf(now time.Time, region string) []string {
	var addresses []string
	for _, beat := range h.roster.EntriesFor(now, region, h.slotsPerRegion()) {
		addresses = append(addresses, beat.CallerAddress)
	}
	return addresses
}

func (h *Host) otherRegions(than string) []string {
	var regions []string
	for _, region := range h.Settings.RegionOf {
		if region != than && !slices.Contains(regions, region) {
			regions = append(regions, region)
		}
	}
	slices.SortFunc(regions, strings.Compare)
	return regions
}

// slotsPerRegion is the number of server slots for which the entry hosts of a
// region carry requests. Callers are spread over the regions, whatever servers
// these have.
func (h *Host) slotsPerRegion() int {
	return int(h.slots.Load()) / max(h.regionCount(), 1)
}

// serveReady tells the platform whether this host takes requests.
func (h *Host) serveReady(_ context.Context, req *callers.Request) callers.Answer {
	if !h.Protocol.IsReadinessCheck(req.Request) {
		return plain(http.StatusNotFound)
	}
	if h.stops.Load() || h.configVersion() == 0 {
		return plain(http.StatusServiceUnavailable)
	}
	return plain(http.StatusOK)
}
