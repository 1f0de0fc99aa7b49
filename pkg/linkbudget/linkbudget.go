// Package linkbudget bounds the bytes that a host sends over a link between
// two regions. Every host uses an equal part of the link's limit, so the hosts
// need no coordination; unused parts are not lent.
//
// A Budget is not safe for concurrent use.
package linkbudget

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// burstTime is the time whose byte budget a host may send at once.
const burstTime = 50 * time.Millisecond

// Direction is one direction of a link.
type Direction struct {
	From, To model.Region
}

// Budget holds one host's token buckets.
type Budget struct {
	// maxMessage is the size of the largest message in bytes; a bucket with a
	// smaller burst could never send it.
	maxMessage int
	buckets    map[Direction]*rate.Limiter
}

// New returns a budget without links. maxMessage is the size of the largest
// message in bytes.
func New(maxMessage int) *Budget {
	return &Budget{maxMessage: maxMessage, buckets: make(map[Direction]*rate.Limiter)}
}

// SetLink sets the limit of one direction in bytes per second. The host's part
// is the limit divided by the number of entry hosts of the sending region: those
// configured in the document or those live in its view, whichever are more.
func (b *Budget) SetLink(now time.Time, d Direction, limit float64, configured, live int) {
	share := rate.Limit(limit / float64(max(configured, live, 1)))
	burst := max(b.maxMessage, int(float64(share)*burstTime.Seconds()))
	bucket := b.buckets[d]
	if bucket == nil {
		b.buckets[d] = rate.NewLimiter(share, burst)
		return
	}
	bucket.SetLimitAt(now, share)
	bucket.SetBurstAt(now, burst)
}

// Take takes bytes from the budget of a direction, or reports false if too few
// are left. A direction without a link has no budget.
func (b *Budget) Take(now time.Time, d Direction, bytes int) bool {
	bucket := b.buckets[d]
	return bucket != nil && bucket.AllowN(now, bytes)
}

// Delay returns how long a message has to wait until the budget covers its
// bytes. A false result means that the direction has no link or the message is
// too large.
func (b *Budget) Delay(now time.Time, d Direction, bytes int) (time.Duration, bool) {
	bucket := b.buckets[d]
	if bucket == nil || bytes > bucket.Burst() {
		return 0, false
	}
	missing := float64(bytes) - bucket.TokensAt(now)
	if missing <= 0 {
		return 0, true
	}
	return time.Duration(missing / float64(bucket.Limit()) * float64(time.Second)), true
}
