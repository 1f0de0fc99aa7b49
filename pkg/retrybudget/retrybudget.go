// Package retrybudget bounds an owner's retries to a share of its first
// attempts.
//
// A Budget is not safe for concurrent use.
package retrybudget

const (
	// Share is the number of retries per first attempt.
	Share = 0.1
	// Burst is the number of retries that are allowed without new first attempts.
	Burst = 3
)

// Budget is the retry budget of one service.
type Budget struct {
	tokens float64
}

// New returns a budget with a full burst.
func New() *Budget { return &Budget{tokens: Burst} }

// FirstAttempt counts a request that is sent for the first time.
func (b *Budget) FirstAttempt() {
	b.tokens = min(b.tokens+Share, Burst)
}

// Retry takes one retry from the budget and reports whether one was available.
func (b *Budget) Retry() bool {
	const epsilon = 1e-9 // absorbs rounding of repeated small additions
	if b.tokens+epsilon < 1 {
		return false
	}
	b.tokens--
	return true
}
