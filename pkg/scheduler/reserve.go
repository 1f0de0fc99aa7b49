package scheduler

import "time"

const (
	// patientTarget times the target latency of another job of the service is
	// what makes a job patient: it can wait for a slot and still meet its own.
	patientTarget = 2
	// hurriedFor is how long a slot of each server is kept for hurried jobs
	// after the last of them was submitted.
	hurriedFor = 5 * time.Second
	// reservedSlots is the number of slots of a server that patient jobs leave
	// free: a slot is held for seconds by such a job, and a hurried one has to
	// start within a fraction of a second.
	reservedSlots = 1
)

// reserved returns the number of slots of each server that the job leaves to
// jobs with a much shorter target latency.
func (svc *service) reserved(now time.Time, job *Job) int {
	for target, at := range svc.hurried {
		switch {
		case now.Sub(at) >= hurriedFor:
			delete(svc.hurried, target)
		case target > 0 && job.Target >= patientTarget*target:
			return reservedSlots
		}
	}
	return 0
}
