package entry

import "sync/atomic"

// waitLimit bounds the requests that wait on this host, in the queues of all
// services and for capacity of other regions. It is safe for concurrent use.
type waitLimit struct {
	limit   int64
	waiting atomic.Int64
}

func newWaitLimit(limit int) *waitLimit { return &waitLimit{limit: int64(limit)} }

// enter counts a request that begins to wait, unless the limit is reached.
// leave must follow a true result.
func (w *waitLimit) enter() bool {
	if w.waiting.Add(1) > w.limit {
		w.waiting.Add(-1)
		return false
	}
	return true
}

// enterAgain counts a request that the limit admitted before, such as a
// preempted one. leave must follow.
func (w *waitLimit) enterAgain() { w.waiting.Add(1) }

func (w *waitLimit) leave() { w.waiting.Add(-1) }
