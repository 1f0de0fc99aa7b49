package bench

import (
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/admission"
	"github.com/wisteriacrank/wisteriacrank/pkg/document"
)

// Policy is a named way to queue requests and to choose dispatchers.
type Policy struct {
	Name string
	// FIFO uses one queue for all ranks.
	FIFO bool
	// RoundRobin uses the dispatchers in turn, instead of the one with the
	// fewest outstanding requests per slot.
	RoundRobin bool
	// Shares applies the guaranteed shares.
	Shares bool
	// Preempt cancels long runs for urgent work.
	Preempt bool
	// RankChoice compares dispatchers by the outstanding requests of the same
	// rank, instead of those of all ranks.
	RankChoice bool
	// Grants sends requests to other regions under capacity grants.
	Grants bool
	// MoveCap limits the requests that come from other regions.
	MoveCap bool
}

// Names of the policies.
const (
	policyFIFO    = "fifo-round-robin"
	policyLeast   = "least-outstanding"
	policyStrict  = "strict-priority"
	policyProduct = "product"
)

// Policies returns the three baselines and the product's policy.
func Policies() []Policy {
	return []Policy{
		{Name: policyFIFO, FIFO: true, RoundRobin: true},
		{Name: policyLeast, FIFO: true},
		{Name: policyStrict},
		Product(),
	}
}

// Product returns the product's policy.
func Product() Policy {
	return Policy{Name: policyProduct, Shares: true, Preempt: true, RankChoice: true, Grants: true, MoveCap: true}
}

// newQueue returns the queue of one dispatcher.
func (p Policy) newQueue(now time.Time, ranks []document.Rank) queue {
	if p.FIFO {
		return newFIFO(ranks)
	}
	if !p.Shares {
		ranks = append([]document.Rank(nil), ranks...)
		for i := range ranks {
			ranks[i].GuaranteedShare = 0
		}
	}
	return admission.New(now, ranks, 0)
}
