package entry

import (
	"sync"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/drain"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// lifecycle holds the state of this host. It is safe for concurrent use.
type lifecycle struct {
	// onAnnounce is called after a change of the state, without the mutex.
	onAnnounce func()

	mu     sync.Mutex
	host   *drain.Host
	exited chan struct{}
}

func newLifecycle() *lifecycle {
	return &lifecycle{host: drain.NewHost(stopGrace), exited: make(chan struct{})}
}

func (l *lifecycle) state() model.HostState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.host.State()
}

// begin admits a request. If it returns true, end must follow.
func (l *lifecycle) begin() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.host.Begin()
}

func (l *lifecycle) end() { l.apply((*drain.Host).End) }

func (l *lifecycle) configured(cacheTime time.Duration) {
	l.apply(func(h *drain.Host) []drain.Action { return h.Configured(cacheTime, time.Now()) })
}

func (l *lifecycle) stop() {
	l.apply(func(h *drain.Host) []drain.Action { return h.Stop(time.Now()) })
}

func (l *lifecycle) tick() {
	l.apply(func(h *drain.Host) []drain.Action { return h.Tick(time.Now()) })
}

// apply performs the actions of a transition. HandOver and Refuse need nothing
// here: the other hosts take over the servers when they receive the announced
// state, and begin refuses requests in that state.
func (l *lifecycle) apply(transition func(*drain.Host) []drain.Action) {
	l.mu.Lock()
	actions := transition(l.host)
	announce := false
	for _, action := range actions {
		switch action {
		case drain.Announce:
			announce = true
		case drain.Exit:
			close(l.exited)
		}
	}
	l.mu.Unlock()
	if announce && l.onAnnounce != nil {
		l.onAnnounce()
	}
}
