package quarantine

import "time"

// lossWindow is the longest time between the loss of a request's connection and
// the proof that its server crashed. It takes 1.2 s to close the connection to
// an unresponsive server, and 1.2 s more until a new one is refused or times out.
const lossWindow = 3 * time.Second

// Losses finds the requests that a server ran when it crashed. A lost connection
// alone proves no crash, and the two may be detected in either order. Losses is
// not safe for concurrent use.
type Losses struct {
	lost    map[string][]loss
	crashed map[string]time.Time
}

type loss struct {
	hash Hash
	at   time.Time
}

// NewLosses returns an empty record.
func NewLosses() *Losses {
	return &Losses{lost: make(map[string][]loss), crashed: make(map[string]time.Time)}
}

// Lost records that the connection of a running request was lost. It reports
// whether the server is known to have crashed.
func (l *Losses) Lost(server string, h Hash, now time.Time) bool {
	if at, ok := l.crashed[server]; ok && now.Sub(at) < lossWindow {
		return true
	}
	l.forget(now)
	l.lost[server] = append(l.recent(server, now), loss{hash: h, at: now})
	return false
}

// Crashed records that a server crashed and returns the hashes of the requests
// that it ran.
func (l *Losses) Crashed(server string, now time.Time) []Hash {
	l.forget(now)
	l.crashed[server] = now
	var hashes []Hash
	for _, lost := range l.recent(server, now) {
		hashes = append(hashes, lost.hash)
	}
	delete(l.lost, server)
	return hashes
}

// recent returns the losses of a server within lossWindow.
func (l *Losses) recent(server string, now time.Time) []loss {
	all := l.lost[server]
	for len(all) > 0 && now.Sub(all[0].at) >= lossWindow {
		all = all[1:]
	}
	return all
}

// forget drops losses and crashes that are older than lossWindow.
func (l *Losses) forget(now time.Time) {
	for server, at := range l.crashed {
		if now.Sub(at) >= lossWindow {
			delete(l.crashed, server)
		}
	}
	for server := range l.lost {
		if len(l.recent(server, now)) == 0 {
			delete(l.lost, server)
		}
	}
}
