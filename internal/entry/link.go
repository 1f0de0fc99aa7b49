package entry

import (
	"context"
	"sync"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/localstate"
	"github.com/wisteriacrank/wisteriacrank/pkg/linkbudget"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// messageOverheadBytes accounts for the headers and framing of one message.
const messageOverheadBytes = 512

// linkLimiter limits the bytes that this host sends to other regions. It is safe
// for concurrent use.
type linkLimiter struct {
	region model.Region

	mu     sync.Mutex
	budget *linkbudget.Budget
}

func newLinkLimiter(region model.Region, maxBodyBytes int64) *linkLimiter {
	return &linkLimiter{region: region, budget: linkbudget.New(int(maxBodyBytes) + messageOverheadBytes)}
}

// update applies the link limits of a view.
func (l *linkLimiter) update(view *localstate.View) {
	if view.Document == nil {
		return
	}
	liveHosts := 0
	for _, h := range view.Hosts {
		if h.Region == l.region && h.State != model.HostDead && h.State != model.HostLeft {
			liveHosts++
		}
	}
	regionSpec, _ := view.Document.Region(l.region)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for _, other := range view.Document.Regions {
		if link, ok := view.Document.Link(l.region, other.Name); ok {
			direction := linkbudget.Direction{From: l.region, To: other.Name}
			l.budget.SetLink(now, direction, link.BytesPerSecond, regionSpec.EntryHosts, liveHosts)
		}
	}
}

// wait takes the bytes of a message to another region from the budget of the
// link, and waits for them if necessary. It reports false if ctx ends first or if
// they are not available before the deadline.
func (l *linkLimiter) wait(ctx context.Context, to model.Region, bodyBytes int, deadline time.Time) bool {
	direction := linkbudget.Direction{From: l.region, To: to}
	size := bodyBytes + messageOverheadBytes
	for {
		delay, ok := l.take(direction, size)
		if ok {
			return true
		}
		if delay <= 0 || time.Now().Add(delay).After(deadline) {
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(delay):
		}
	}
}

// take takes the bytes, or returns how long to wait for them. A delay of zero
// means that the message can never be sent.
func (l *linkLimiter) take(direction linkbudget.Direction, size int) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.budget.Take(now, direction, size) {
		return 0, true
	}
	delay, ok := l.budget.Delay(now, direction, size)
	if !ok {
		return 0, false
	}
	return max(delay, time.Millisecond), false
}
