package entry

import (
	"sync"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/model"
	"github.com/wisteriacrank/wisteriacrank/pkg/retrybudget"
)

// retryBudget limits the retries of one service. It is safe for concurrent use.
type retryBudget interface {
	// FirstAttempt counts a request.
	FirstAttempt(now time.Time)
	// Allow reports whether a retry may be sent, and if so, counts it.
	Allow(now time.Time) bool
}

// lockedBudget makes a budget of pkg/retrybudget safe for concurrent use.
type lockedBudget struct {
	mu     sync.Mutex
	budget *retrybudget.Budget
}

func newLockedBudget() retryBudget { return &lockedBudget{budget: retrybudget.New()} }

func (b *lockedBudget) FirstAttempt(time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.FirstAttempt()
}

func (b *lockedBudget) Allow(time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Retry()
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

// forService returns the budget of a service, which must be in the document:
// unknown names that callers send must not grow the map.
func (r *retryBudgets) forService(service model.Service) retryBudget {
	r.mu.Lock()
	defer r.mu.Unlock()
	budget := r.byService[service]
	if budget == nil {
		budget = r.newBudget()
		r.byService[service] = budget
	}
	return budget
}
