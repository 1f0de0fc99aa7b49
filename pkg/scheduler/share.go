package scheduler

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// ServerUse is what one host has at one server. Hosts of a region that carry
// requests tell each other, so that they agree which server holds an object
// and none takes a server for idle that another keeps busy.
type ServerUse struct {
	Server  string
	Running int
	// Held are the hashes of objects that the server has come to hold.
	Held []uint64
}

type peerUse struct {
	running int
	at      time.Time
}

// maxReported bounds the objects of one report.
const maxReported = 64

func keyHash(key string) uint64 { return xxhash.Sum64String(key) }

// Report returns what has changed since the last report, and everything that
// runs if all is set.
func (s *Scheduler) Report(all bool) []ServerUse {
	var uses []ServerUse
	for id, server := range s.servers {
		running := len(server.running)
		changed := running != server.reported || len(server.gained) > 0
		if !changed && !(all && running > 0) {
			continue
		}
		n := min(len(server.gained), maxReported)
		uses = append(uses, ServerUse{Server: id, Running: running, Held: server.gained[:n:n]})
		server.gained = server.gained[n:]
		server.reported = running
	}
	return uses
}

// PeerReported takes a report of another host.
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
			server.holdHash(now, hash)
		}
	}
	return s.Tick(now)
}
