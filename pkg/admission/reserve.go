package admission

import "time"

const (
	// IdleShare is the share of slot time that may stay idle for urgent work
	// while other work waits. The design asks for a slot use of 95%.
	IdleShare = 0.045
	// holdTime is how long a slot is kept for more urgent work after an urgent
	// run has ended. It covers the usual gap between two urgent requests of a
	// dispatcher.
	holdTime = 30 * time.Millisecond
	// idleBurst is the slot time per slot that may stay idle at once.
	idleBurst = 50 * time.Millisecond
)

// reserve keeps one slot free for a moment after an urgent run has ended,
// within a budget. The next urgent request then needs no preemption.
type reserve struct {
	at    time.Time
	left  time.Duration
	until time.Time
	rank  *rankQueue
}

// advance earns budget, and spends it while the slot is kept.
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

// idle returns the slots that no run holds.
func (q *Queue) idle() int {
	running := 0
	for _, r := range q.ranks {
		running += r.usage.running
	}
	return max(0, q.slots-running)
}

// keep starts to keep a slot for the rank whose run has ended.
func (q *Queue) keep(now time.Time, r *rankQueue) {
	q.reserve.advance(now, q.slots, q.idle())
	if q.belowGuarantee(now, r) {
		q.reserve.until, q.reserve.rank = now.Add(holdTime), r
	}
}

// kept reports whether the last free slot is kept for a rank that is more
// urgent than r.
func (q *Queue) kept(now time.Time, r *rankQueue) bool {
	v := &q.reserve
	v.advance(now, q.slots, q.idle())
	return v.rank != nil && r.spec.Priority > v.rank.spec.Priority && now.Before(v.until) && v.left > 0 && q.idle() <= 1
}
