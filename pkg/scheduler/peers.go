package scheduler

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// ServerUse is the use that one host makes of one server. Hosts of a region
// that serve requests exchange it, so that they agree which server holds an
// object and none treats a server as idle that another keeps busy.
type ServerUse struct {
	Server  string
	Running int
	// Held has the hashes of objects that the server has come to hold.
	Held []uint64
}

type peerUse struct {
	running int
	at      time.Time
}

// maxReported bounds the objects per server in one report.
const maxReported = 64

func keyHash(key string) uint64 { return xxhash.Sum64String(key) }

// Report returns the servers whose use has changed since the last report and,
// if all is set, every server with running requests.
func (s *Scheduler) Report(all bool) []ServerUse {
	var uses []ServerUse
	for id, server := range s.servers {
		running := len(server.running)
		changed := running != server.reportedRunning || len(server.newlyHeld) > 0
		if !changed && !(all && running > 0) {
			continue
		}
		n := min(len(server.newlyHeld), maxReported)
		uses = append(uses, ServerUse{Server: id, Running: running, Held: server.newlyHeld[:n:n]})
		server.newlyHeld = server.newlyHeld[n:]
		server.reportedRunning = running
	}
	return uses
}

// PeerReported applies a report from another host.
func (s *Scheduler) PeerReported(now time.Time, peer string, uses []ServerUse) []Verdict {
	for _, use := range uses {
		server := s.servers[use.Server]
		if server == nil {
			continue
		}
		if use.Running == 0 {
			delete(server.peers, peer)
		} else {
			server.peers[peer] = peerUse{running: use.Running, at: now}
		}
		for _, hash := range use.Held {
			server.recordHeldHash(now, hash)
		}
	}
	return s.Tick(now)
}
