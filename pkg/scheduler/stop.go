package scheduler

import (
	"slices"
	"time"
)

const (
	// recentRuns is the number of completed runs of a class whose longest bounds the
	// next one: an estimate of the mean would cut off every slow run.
	recentRuns = 64
	// stopFactor is the least ratio of the longest expected run to its estimate: a
	// class may have completed few runs, or a server may be slow.
	stopFactor = 3
)

// runHistory has the durations of the latest completed runs of a class.
type runHistory struct {
	took []time.Duration
	next int
}

func (h *runHistory) add(took time.Duration) {
	if len(h.took) < recentRuns {
		h.took = append(h.took, took)
		return
	}
	h.took[h.next] = took
	h.next = (h.next + 1) % recentRuns
}

// longest returns the longest of the runs. There has to be one.
func (h *runHistory) longest() time.Duration {
	return slices.Max(h.took)
}

// Stop sets the time at which the host stops. From now on a job starts only if even
// a slow run completes before, and is refused at once otherwise: its caller has the
// time to use another host. A request that arrives after lateFrom starts only if its
// deadline comes before the stop: few do, and an estimate may be wrong. Stop returns
// verdicts on jobs that wait.
func (s *Scheduler) Stop(now, lateFrom, at time.Time) []Verdict {
	s.stopAt, s.lateFrom = at, lateFrom
	return s.Tick(now)
}

// completesBeforeStop reports whether a run on the server of the option completes
// before the host stops, even if it is slow. A job whose deadline comes first loses
// nothing by the stop, and one that may have run gains nothing by a refusal. Of a
// class that has completed no run nothing is known.
func (s *Scheduler) completesBeforeStop(now time.Time, job *Job, o option) bool {
	if s.stopAt.IsZero() || job.MayHaveRun || !job.Deadline.After(s.stopAt) {
		return true
	}
	history := &s.class(job).history
	if job.Received.After(s.lateFrom) || len(history.took) == 0 {
		return false
	}
	run := max(history.longest(), stopFactor*(o.longest-o.wait))
	return !now.Add(o.wait + run).After(s.stopAt)
}
