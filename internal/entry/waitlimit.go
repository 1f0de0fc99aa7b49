package entry

import "sync/atomic"

// waitLimit bounds the number of requests that wait on this host, in the queues
// of all services and for capacity in other regions. It is safe for concurrent
// use.
type waitLimit struct {
	limit   int64
	waiting atomic.Int64
}

func newWaitLimit(limit int) *waitLimit { return &waitLimit{limit: int64(limit)} }

// tryAcquire counts a request that begins to wait, unless the limit is reached.
// If it returns true, release must follow.
func (w *waitLimit) tryAcquire() bool {
	if w.waiting.Add(1) > w.limit {
		w.waiting.Add(-1)
		return false
	}
	return true
}

// acquire counts a request that the limit has admitted before, such as a
// preempted one. release must follow.
func (w *waitLimit) acquire() { w.waiting.Add(1) }

func (w *waitLimit) release() { w.waiting.Add(-1) }
