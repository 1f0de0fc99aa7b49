package movecap

import "time"

// recentPeak tracks the highest number of requests in flight in the current and
// the previous interval. The limit follows it because the number in flight dips
// between two requests of a steady flow.
type recentPeak struct {
	start             time.Time
	current, previous int
}

// add records the number of requests in flight.
func (p *recentPeak) add(now time.Time, interval time.Duration, inFlight int) {
	p.roll(now, interval, inFlight)
	p.current = max(p.current, inFlight)
}

// value returns the highest number recorded in the last one to two intervals.
func (p *recentPeak) value(now time.Time, interval time.Duration) int {
	if now.Sub(p.start) >= 2*interval {
		return 0
	}
	if now.Sub(p.start) >= interval {
		return p.current
	}
	return max(p.current, p.previous)
}

// roll starts a new interval if the current one has ended.
func (p *recentPeak) roll(now time.Time, interval time.Duration, inFlight int) {
	elapsed := now.Sub(p.start)
	if elapsed < interval {
		return
	}
	p.previous = 0
	if elapsed < 2*interval {
		p.previous = p.current
	}
	p.current, p.start = inFlight, now
}
