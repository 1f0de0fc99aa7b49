package admission

import "time"

const (
	// IdleShare is the share of slot time that may stay idle for urgent work
	// while other work waits. The design requires a slot use of 95%.
	IdleShare = 0.045
	// reserveDuration is how long a slot is reserved for more urgent work after an
	// urgent run has ended. It covers the usual gap between two urgent requests of
	// a dispatcher.
	reserveDuration = 30 * time.Millisecond
	// idleBurst is the slot time per slot that may stay idle at once.
	idleBurst = 50 * time.Millisecond
)

// reserve keeps one slot free for reserveDuration after an urgent run has ended,
// within a budget of idle slot time. The next urgent request then needs no
// preemption.
type reserve struct {
	at    time.Time
	left  time.Duration
	until time.Time
	rank  *rankQueue
}

// advance adds the budget earned since the last call and subtracts the time
// that the slot was reserved and idle.
func (v *reserve) advance(now time.Time, slots, idle int) {
	elapsed := now.Sub(v.at)
	if elapsed <= 0 {
		return
	}
	v.left += time.Duration(IdleShare * float64(elapsed) * float64(slots))
	v.left = min(v.left, time.Duration(slots)*idleBurst)
	if idle > 0 && v.at.Before(v.until) {
		v.left -= min(elapsed, v.until.Sub(v.at))
	}
	v.at = now
}

// idleSlots returns the number of slots without a run.
func (q *Queue) idleSlots() int {
	running := 0
	for _, r := range q.ranks {
		running += r.usage.running
	}
	return max(0, q.slots-running)
}

// startReserve reserves a slot for the rank whose run has ended, if the rank is
// below its guaranteed share.
func (q *Queue) startReserve(now time.Time, r *rankQueue) {
	q.reserve.advance(now, q.slots, q.idleSlots())
	if q.belowGuarantee(now, r) {
		q.reserve.until, q.reserve.rank = now.Add(reserveDuration), r
	}
}

// isReserved reports whether the last free slot is reserved for a rank that is
// more urgent than r.
func (q *Queue) isReserved(now time.Time, r *rankQueue) bool {
	v := &q.reserve
	v.advance(now, q.slots, q.idleSlots())
	return v.rank != nil && r.spec.Priority > v.rank.spec.Priority && now.Before(v.until) && v.left > 0 && q.idleSlots() <= 1
}
