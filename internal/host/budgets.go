package host

import (
	"slices"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/fleet"
	"github.com/wisteriacrank/wisteriacrank/pkg/retrybudget"
)

// retryBudgetOf returns the budget of a service, which it creates if needed.
func (h *Host) retryBudgetOf(service string, now time.Time) *retrybudget.Window {
	h.mu.Lock()
	defer h.mu.Unlock()
	budget := h.retries[service]
	if budget == nil {
		budget = retrybudget.NewWindow(h.retryBound(now))
		h.retries[service] = budget
	}
	return budget
}

// retryBound returns this host's part of the bound on the retries of all hosts.
func (h *Host) retryBound(now time.Time) retrybudget.Bound {
	bounds := h.bounds()
	all := retrybudget.Bound{Span: bounds.RetryWindow, Ratio: bounds.RetryRatio, Slack: bounds.RetrySlack}
	return all.ForHost(h.slackShare(now))
}

// slackShare returns this host's share of the slack of the retry bound. Each failure
// domain has an equal part, which its hosts divide. A process has none until it has
// heard of others for a window: it does not know all hosts yet, and the process before
// it may have used the share.
func (h *Host) slackShare(now time.Time) float64 {
	h.rosterMu.Lock()
	defer h.rosterMu.Unlock()
	if !h.roster.HasKnownOthersFor(now, h.bounds().RetryWindow) {
		return 0
	}
	return h.roster.DomainShare(now) / float64(len(h.Settings.RegionOf))
}

// takeRetry takes one retry of a request for the service from the retry budget,
// and reports whether one was available.
func (h *Host) takeRetry(now time.Time, service string) bool {
	budget := h.retryBudgetOf(service, now)
	budget.SetBound(h.retryBound(now))
	if !budget.Retry(now) {
		return false
	}
	h.Metrics.Add("retries_granted", 1)
	return true
}

// splitter distributes the requests of a route over its services by weight.
type splitter struct {
	parts []fleet.Part
	// deficit is the number of requests, times the sum of the weights, that
	// each service is behind its share.
	deficit []float64
	host    *Host
}

// splitterOf returns the splitter of a route. A change of the weights starts a
// new one.
func (h *Host) splitterOf(route *fleet.Route) *splitter {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.splitters[route.Name]
	if s == nil || !slices.Equal(s.parts, route.Parts) {
		s = &splitter{parts: route.Parts, deficit: make([]float64, len(route.Parts)), host: h}
		h.splitters[route.Name] = s
	}
	return s
}

// next returns the service with the largest deficit.
func (s *splitter) next() string {
	if len(s.parts) == 1 {
		return s.parts[0].Service
	}
	s.host.mu.Lock()
	defer s.host.mu.Unlock()
	sum, best := 0.0, 0
	for i, part := range s.parts {
		sum += part.Weight
		s.deficit[i] += part.Weight
		if s.deficit[i] > s.deficit[best] {
			best = i
		}
	}
	s.deficit[best] -= sum
	return s.parts[best].Service
}
