package entry

import (
	"context"
	"sync"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/localstate"
	"github.com/wisteriacrank/wisteriacrank/pkg/linkbudget"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// messageOverheadBytes covers headers and framing of one message.
const messageOverheadBytes = 512

// links bounds what this host sends to other regions. It is safe for
// concurrent use.
type links struct {
	region model.Region

	mu     sync.Mutex
	budget *linkbudget.Budget
}

func newLinks(region model.Region, maxBodyBytes int64) *links {
	return &links{region: region, budget: linkbudget.New(int(maxBodyBytes) + messageOverheadBytes)}
}

// update puts the limits of a view in force.
func (l *links) update(view *localstate.View) {
	if view.Document == nil {
		return
	}
	seen := 0
	for _, h := range view.Hosts {
		if h.Region == l.region && h.State != model.HostDead && h.State != model.HostLeft {
			seen++
		}
	}
	own, _ := view.Document.Region(l.region)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for _, other := range view.Document.Regions {
		if link, ok := view.Document.Link(l.region, other.Name); ok {
			direction := linkbudget.Direction{From: l.region, To: other.Name}
			l.budget.SetLink(now, direction, link.BytesPerSecond, own.EntryHosts, seen)
		}
	}
}

// wait takes the bytes of a message to another region, and waits for them if
// necessary. It reports false if they are not there before the deadline.
func (l *links) wait(ctx context.Context, to model.Region, bodyBytes int, deadline time.Time) bool {
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

// take uses the bytes, or returns how long to wait for them. No delay means
// that the message can never be sent.
func (l *links) take(direction linkbudget.Direction, size int) (time.Duration, bool) {
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
