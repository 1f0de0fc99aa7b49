package host

import (
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/inventory"
)

// publishGauges registers the values that are read when metrics are scraped.
func (h *Host) publishGauges() {
	h.Metrics.Gauge("config_version", func() any { return h.configVersion() })
	h.Metrics.Gauge("servers", func() any { return len(h.reader.View().Servers) })
	h.Metrics.Gauge("caller_connections", func() any { return h.entry.Connections() })
	h.Metrics.Gauge("caller_requests_refused", func() any { return h.entry.Refused() })
	for _, c := range inventory.WatchedCollections {
		h.Metrics.Gauge(c.String()+"_age_seconds", func() any { return h.reader.Age(c).Seconds() })
	}
	h.Metrics.Gauge("retries_left", func() any { return h.retriesLeft(time.Now()) })
	h.Metrics.Gauge("retry_slack", func() any { return h.retryBound(time.Now()).Slack })
	h.Metrics.Gauge("store_lost", func() any { return h.reader.StoreLost() })
	h.Metrics.Gauge("store_calls", func() any {
		made, failed := h.reader.Calls()
		return map[string]int64{"made": made, "failed": failed}
	})
	h.Metrics.Gauge("store_era", func() any { return h.reader.Era() })
	h.Metrics.Gauge("store_eras", func() any {
		changes, unstated := h.reader.EraCounts()
		return map[string]int{"changes": changes, "unstated": unstated}
	})
	h.Metrics.Gauge("crashing_requests", func() any {
		suspected, convicted := h.crashes.counts(time.Now())
		return map[string]int{"suspected": suspected, "convicted": convicted}
	})
	h.Metrics.Gauge("load", func() any {
		h.mu.Lock()
		defer h.mu.Unlock()
		return map[string]int{"waiting": h.scheduler.Waiting(), "running": h.scheduler.Running()}
	})
}

// retriesLeft returns the number of retries that the budget of each service
// still allows.
func (h *Host) retriesLeft(now time.Time) map[string]int {
	bound := h.retryBound(now)
	h.mu.Lock()
	defer h.mu.Unlock()
	left := make(map[string]int, len(h.retries))
	for service, budget := range h.retries {
		budget.SetBound(bound)
		left[service] = budget.Left(now)
	}
	return left
}
