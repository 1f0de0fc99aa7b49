package movecap

import "time"

// recentPeak is the highest use in the current and the previous interval. The
// limit follows it, because use dips between two requests of a steady flow.
type recentPeak struct {
	start             time.Time
	current, previous int
}

func (p *recentPeak) add(now time.Time, interval time.Duration, use int) {
	p.roll(now, interval, use)
	p.current = max(p.current, use)
}

func (p *recentPeak) value(now time.Time, interval time.Duration) int {
	if now.Sub(p.start) >= 2*interval {
		return 0
	}
	if now.Sub(p.start) >= interval {
		return p.current
	}
	return max(p.current, p.previous)
}

func (p *recentPeak) roll(now time.Time, interval time.Duration, use int) {
	elapsed := now.Sub(p.start)
	if elapsed < interval {
		return
	}
	p.previous = 0
	if elapsed < 2*interval {
		p.previous = p.current
	}
	p.current, p.start = use, now
}
