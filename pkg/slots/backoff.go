package slots

import "time"

const (
	// firstBackoff is how long a server is used less after it shed once.
	firstBackoff = 250 * time.Millisecond
	// longestBackoff bounds the doubling after repeated sheds.
	longestBackoff = 4 * time.Second
)

// backoff lowers the limit of a server that sheds. The limit drops to what the
// server was running, then rises by one for each backoff time that passes.
type backoff struct {
	active bool
	limitN int
	since  time.Time
	pause  time.Duration
}

func (b *backoff) shed(now time.Time, running int) {
	switch {
	case !b.active:
		b.pause = firstBackoff
	case now.Sub(b.since) >= b.pause/2:
		// Sheds of requests that were sent together count as one.
		b.pause = min(2*b.pause, longestBackoff)
	}
	b.active = true
	b.limitN = running
	b.since = now
}

func (b *backoff) limit(now time.Time, full int) int {
	if !b.active {
		return full
	}
	return min(full, b.limitN+int(now.Sub(b.since)/b.pause))
}

// served ends the backoff once the server has proved one full ramp.
func (b *backoff) served(now time.Time) {
	const steps = 4
	if b.active && now.Sub(b.since) >= steps*b.pause {
		b.active = false
	}
}
