package scheduler

import "time"

const (
	// looseFactor times the target latency of another job of the service makes a
	// target loose: the job can wait for a slot and still meet it.
	looseFactor = 2
	// reserveFor is how long a slot of each server is kept after the last job
	// with a tight target was submitted.
	reserveFor = 5 * time.Second
	// reservedSlots is the number of slots of a server that jobs with a loose
	// target leave free: such a job holds a slot for seconds, and one with a tight
	// target has to start within a fraction of a second.
	reservedSlots = 1
)

// reserved returns the number of slots of each server that the job leaves to
// jobs with a much tighter target.
func (svc *service) reserved(now time.Time, job *Job) int {
	for target, at := range svc.submitted {
		switch {
		case now.Sub(at) >= reserveFor:
			delete(svc.submitted, target)
		case target > 0 && job.Target >= looseFactor*target:
			return reservedSlots
		}
	}
	return 0
}
