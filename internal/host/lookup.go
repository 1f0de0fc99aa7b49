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

// maxLookupAddresses bounds the addresses in a lookup response.
const maxLookupAddresses = 64

// serveLookup returns to a caller the hosts to use.
func (h *Host) serveLookup(_ context.Context, req *callers.Request) (resp callers.Response) {
	// The response after a panic.
	resp = emptyResponse(http.StatusInternalServerError)
	defer h.Log.RecoverPanic("lookup")
	lookup, ok := h.Protocol.DecodeLookup(req.Request)
	if !ok {
		return emptyResponse(http.StatusNotFound)
	}
	addresses := h.entryAddresses(lookup)
	if len(addresses) == 0 {
		return notRunResponse(notReadyRetryAfter)
	}
	resp, err := h.Protocol.EncodeLookup(addresses, min(lookupTTL, h.bounds().MaxLookupTTL))
	if err != nil {
		h.Log.Emit(events.RequestRefused, events.Reason(err))
		return emptyResponse(http.StatusInternalServerError)
	}
	h.Metrics.Add("lookups", 1)
	return resp
}

// entryAddresses returns the entry hosts of the caller's region, or those of
// the other regions while it has none.
func (h *Host) entryAddresses(lookup Lookup) []string {
	storeLost := h.reader.StoreLost()
	h.rosterMu.Lock()
	defer h.rosterMu.Unlock()
	now := time.Now()
	h.roster.SetState(h.state(), storeLost)
	addresses := h.regionAddresses(now, lookup.Region)
	if len(addresses) > 0 {
		return addresses
	}
	for _, region := range h.otherRegions(lookup.Region) {
		addresses = append(addresses, h.regionAddresses(now, region)...)
	}
	return addresses[:min(len(addresses), maxLookupAddresses)]
}

func (h *Host) regionAddresses(now time.Time, region string) []string {
	var addresses []string
	for _, entry := range h.roster.EntriesFor(now, region, h.slotsPerRegion()) {
		addresses = append(addresses, entry.CallerAddress)
	}
	return addresses
}

func (h *Host) otherRegions(excluded string) []string {
	var regions []string
	for _, region := range h.Settings.RegionOf {
		if region != excluded && !slices.Contains(regions, region) {
			regions = append(regions, region)
		}
	}
	slices.SortFunc(regions, strings.Compare)
	return regions
}

// slotsPerRegion returns the number of server slots whose requests the entry
// hosts of a region forward. It does not depend on where the servers are,
// because callers are spread over all regions.
func (h *Host) slotsPerRegion() int {
	return int(h.slots.Load()) / max(h.regionCount(), 1)
}

// serveReadiness reports to the platform whether this host accepts requests.
func (h *Host) serveReadiness(_ context.Context, req *callers.Request) callers.Response {
	if !h.Protocol.IsReadinessCheck(req.Request) {
		return emptyResponse(http.StatusNotFound)
	}
	if h.stopping.Load() || h.configVersion() == 0 {
		return emptyResponse(http.StatusServiceUnavailable)
	}
	return emptyResponse(http.StatusOK)
}
