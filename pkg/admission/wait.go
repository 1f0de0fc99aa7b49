package admission

import (
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// runTimeWeight is the weight of the newest run in the mean run time.
const runTimeWeight = 0.1

// leastShare bounds the expected wait of a rank that has no guaranteed share
// while others use every slot.
const leastShare = 0.01

// runTime is the moving mean of how long a rank's runs hold a slot.
type runTime struct {
	mean time.Duration
}

func (t *runTime) add(d time.Duration) {
	if t.mean == 0 {
		t.mean = d
		return
	}
	t.mean += time.Duration(runTimeWeight * float64(d-t.mean))
}

// ExpectedWait estimates how long a new item of the rank would wait: the work
// queued before it, at the rate that the rank can count on.
func (q *Queue) ExpectedWait(now time.Time, rank model.Rank) time.Duration {
	r := q.byName[rank]
	if r == nil || q.slots <= 0 {
		return 0
	}
	work := float64(len(r.waiting)) * float64(r.runTime.mean)
	return time.Duration(work / (float64(q.slots) * q.expectedShare(now, r)))
}

// expectedShare is the share of slots that a rank can count on: its guarantee,
// or what more urgent ranks and the guarantees of the others leave over.
func (q *Queue) expectedShare(now time.Time, r *rankQueue) float64 {
	left := 1.0
	for _, other := range q.ranks {
		if other == r {
			continue
		}
		used := other.usage.share(now, q.slots)
		if other.spec.Priority > r.spec.Priority {
			used = min(used, other.spec.GuaranteedShare)
		}
		left -= used
	}
	return max(left, r.spec.GuaranteedShare, leastShare)
}
