package admission

import (
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// runTimeWeight is the weight of the newest run in the mean run time.
const runTimeWeight = 0.1

// minExpectedShare bounds the expected wait of a rank that has no guaranteed
// share while other ranks use every slot.
const minExpectedShare = 0.01

// runTime is the moving mean of how long a rank's runs occupy a slot.
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
// queued ahead of it divided by the slots that the rank can expect.
func (q *Queue) ExpectedWait(now time.Time, rank model.Rank) time.Duration {
	r := q.byName[rank]
	if r == nil || q.slots <= 0 {
		return 0
	}
	work := float64(len(r.waiting)) * float64(r.runTime.mean)
	return time.Duration(work / (float64(q.slots) * q.expectedShare(now, r)))
}

// expectedShare returns the share of slots that a rank can expect: its
// guarantee or, if larger, the share that more urgent ranks and the guarantees
// of the other ranks leave.
func (q *Queue) expectedShare(now time.Time, r *rankQueue) float64 {
	remaining := 1.0
	for _, other := range q.ranks {
		if other == r {
			continue
		}
		used := other.usage.share(now, q.slots)
		if other.spec.Priority > r.spec.Priority {
			used = min(used, other.spec.GuaranteedShare)
		}
		remaining -= used
	}
	return max(remaining, r.spec.GuaranteedShare, minExpectedShare)
}
