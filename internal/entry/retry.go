package entry

import (
	"sync"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// retryBudget limits the retries of one service. It is safe for concurrent use.
type retryBudget interface {
	// FirstAttempt counts a request.
	FirstAttempt(now time.Time)
	// Allow reports whether a retry may be sent, and spends it.
	Allow(now time.Time) bool
}

const (
	// retryShare is the number of retries per first attempt.
	retryShare = 0.1
	// retryBurst allows retries while there have been few first attempts.
	retryBurst = 10
)

// shareBudget is a budget of retryShare with a burst of retryBurst.
type shareBudget struct {
	mu     sync.Mutex
	tokens float64
}

func newShareBudget() retryBudget { return &shareBudget{tokens: retryBurst} }

func (b *shareBudget) FirstAttempt(time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(retryBurst, b.tokens+retryShare)
}

func (b *shareBudget) Allow(time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// retryBudgets holds one budget per service. It is safe for concurrent use.
type retryBudgets struct {
	newBudget func() retryBudget

	mu        sync.Mutex
	byService map[model.Service]retryBudget
}

func newRetryBudgets(newBudget func() retryBudget) *retryBudgets {
	return &retryBudgets{newBudget: newBudget, byService: make(map[model.Service]retryBudget)}
}

// of returns the budget of a service, which must be in the document: names
// from callers must not grow the map.
func (r *retryBudgets) of(service model.Service) retryBudget {
	r.mu.Lock()
	defer r.mu.Unlock()
	budget := r.byService[service]
	if budget == nil {
		budget = r.newBudget()
		r.byService[service] = budget
	}
	return budget
}
