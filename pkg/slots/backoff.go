package slots

import "time"

const (
	// firstBackoff is the interval after which the limit of a server that shed
	// once rises by one.
	firstBackoff = 250 * time.Millisecond
	// longestBackoff bounds the doubling of the interval after repeated sheds.
	longestBackoff = 4 * time.Second
)

// backoff lowers the limit of a server that sheds. The limit drops to the
// number of requests that the server was running, then rises by one per
// interval.
type backoff struct {
	active    bool
	baseLimit int
	since     time.Time
	interval  time.Duration
}

func (b *backoff) shed(now time.Time, running int) {
	switch {
	case !b.active:
		b.interval = firstBackoff
	case now.Sub(b.since) >= b.interval/2:
		// Sheds of requests that were sent at the same time count as one.
		b.interval = min(2*b.interval, longestBackoff)
	}
	b.active = true
	b.baseLimit = running
	b.since = now
}

func (b *backoff) limit(now time.Time, full int) int {
	if !b.active {
		return full
	}
	return min(full, b.baseLimit+int(now.Sub(b.since)/b.interval))
}

// completed ends the backoff if the server completes a run after the limit has
// risen for steps intervals.
func (b *backoff) completed(now time.Time) {
	const steps = 4
	if b.active && now.Sub(b.since) >= steps*b.interval {
		b.active = false
	}
}
