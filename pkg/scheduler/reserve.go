package scheduler

import "time"

const (
	// looseFactor is the ratio to the target latency of another job of the service
	// from which a target is loose: the job can wait for a slot and still meet it.
	looseFactor = 2
	// reserveDuration is how long a slot of each server is reserved after the last
	// job with a tight target was submitted.
	reserveDuration = 5 * time.Second
	// reservedSlots is the number of slots of a server that jobs with a loose
	// target leave free: such a job occupies a slot for seconds, and one with a
	// tight target has to start within a fraction of a second.
	reservedSlots = 1
)

// reserved returns the number of slots of each server that the job has to leave
// free for jobs with a much tighter target.
func (svc *service) reserved(now time.Time, job *Job) int {
	for target, at := range svc.lastSubmitted {
		switch {
		case now.Sub(at) >= reserveDuration:
			delete(svc.lastSubmitted, target)
		case target > 0 && job.Target >= looseFactor*target:
			return reservedSlots
		}
	}
	return 0
}
