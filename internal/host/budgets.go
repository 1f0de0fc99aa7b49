package host

import (
	"slices"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/fleet"
	"github.com/wisteriacrank/wisteriacrank/pkg/retrybudget"
)

// slackDivisor is the number of hosts between which the slack of the retry
// budget is divided: more than the entry hosts of one moment, because callers
// cache a lookup for seconds after the entry hosts have changed.
const slackDivisor = 20

// retryBudget is the budget of one service.
type retryBudget = retrybudget.Window

// retryBudgetOf returns the budget of a service, which it creates if needed.
func (h *Host) retryBudgetOf(service string) *retryBudget {
	h.mu.Lock()
	defer h.mu.Unlock()
	budget := h.retries[service]
	if budget == nil {
		bounds := h.bounds()
		budget = retrybudget.NewWindow(bounds.RetryWindow, bounds.RetryRatio*retrybudget.WindowSafety, bounds.RetrySlack*retrybudget.WindowSafety/slackDivisor)
		h.retries[service] = budget
	}
	return budget
}

// takeRetry takes one retry of a request for the service from the retry budget,
// and reports whether one was available.
func (h *Host) takeRetry(now time.Time, service string) bool {
	if !h.retryBudgetOf(service).Retry(now) {
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
