package scheduler

import "time"

const (
	// maxQuiet bounds the time for which a server may ask for no requests, so that
	// a wrong value does not take it out of use.
	maxQuiet = 30 * time.Second
)

// quiet is the time in which a server gets no requests because it has asked for
// none.
type quiet struct{ until time.Time }

func (q *quiet) applies(now time.Time) bool { return now.Before(q.until) }

// extend lengthens the quiet time; it is never shortened by a later refusal.
func (q *quiet) extend(until time.Time) {
	if until.After(q.until) {
		q.until = until
	}
}

// SetQuiet records that a server has asked for no requests for this long, and
// returns the time that is kept.
func (s *Scheduler) SetQuiet(now time.Time, id string, d time.Duration) time.Duration {
	server := s.servers[id]
	if server == nil || d <= 0 {
		return 0
	}
	kept := min(d, maxQuiet)
	server.quiet.extend(now.Add(kept))
	return kept
}

// Close ends new requests to a server until its entry is applied again.
func (s *Scheduler) Close(id string) {
	if server := s.servers[id]; server != nil {
		server.Closed = true
	}
}

// retryAfterNoServer returns the delay after which a caller should retry a job for
// which no server is usable: if servers only want quiet, when the first of them may
// be used again.
func (s *Scheduler) retryAfterNoServer(now time.Time, svc *service, job *Job) time.Duration {
	first := time.Duration(0)
	for id, member := range svc.members {
		server := s.servers[id]
		if server == nil || server.down || server.Closed || !server.quiet.applies(now) || !job.Object.AllowsRegion(member.Region) {
			continue
		}
		if left := server.quiet.until.Sub(now); first == 0 || left < first {
			first = left
		}
	}
	if first == 0 {
		return noServerRetryAfter
	}
	return max(first, MinRetryAfter)
}
