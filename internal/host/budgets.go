package host

import (
	"slices"

	"github.com/wisteriacrank/wisteriacrank/pkg/fleet"
	"github.com/wisteriacrank/wisteriacrank/pkg/retrybudget"
)

// hostShare divides the slack of the retry budget between the hosts that may
// carry requests at the same time: more than the entry hosts, because callers
// keep a look-up for seconds after the choice has changed.
const hostShare = 20

// retryBudget is the budget of one service.
type retryBudget = retrybudget.Window

// retryBudgetOf returns the budget of a service.
func (h *Host) retryBudgetOf(service string) *retryBudget {
	h.mu.Lock()
	defer h.mu.Unlock()
	budget := h.retries[service]
	if budget == nil {
		bounds := h.bounds()
		budget = retrybudget.NewWindow(bounds.RetryWindow, bounds.RetryRatio*retrybudget.WindowSafety, bounds.RetrySlack*retrybudget.WindowSafety/hostShare)
		h.retries[service] = budget
	}
	return budget
}

// splitter deals the requests of a route to its services by their weights.
type splitter struct {
	parts []fleet.Part
	owed  []float64
	host  *Host
}

// splitOf returns the splitter of a route. Other weights start a new one.
func (h *Host) splitOf(route *fleet.Route) *splitter {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.splits[route.Name]
	if s == nil || !slices.Equal(s.parts, route.Parts) {
		s = &splitter{parts: route.Parts, owed: make([]float64, len(route.Parts)), host: h}
		h.splits[route.Name] = s
	}
	return s
}

// next returns the service that is owed most.
func (s *splitter) next() string {
	if len(s.parts) == 1 {
		return s.parts[0].Service
	}
	s.host.mu.Lock()
	defer s.host.mu.Unlock()
	sum, best := 0.0, 0
	for i, part := range s.parts {
		sum += part.Weight
		s.owed[i] += part.Weight
		if s.owed[i] > s.owed[best] {
			best = i
		}
	}
	s.owed[best] -= sum
	return s.parts[best].Service
}
