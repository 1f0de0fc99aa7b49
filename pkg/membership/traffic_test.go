package membership_test

import (
	"fmt"
	"testing"

	"github.com/wisteriacrank/wisteriacrank/pkg/membership"
)

const (
	// controlLimit is the limit of a host's control traffic in bytes per second,
	// from the requirements.
	controlLimit = 5000
	// sessionBytes is the estimated size of a probe's overhead: handshake, yamux
	// frames and the headers of 10 segments on TCP and IPv4.
	sessionBytes = 700
)

// Guards against probes that grow with the number of members beyond the limit of
// a host. Every member sends one probe and answers one per interval on average.
func TestProbesStayUnderTheControlLimit(t *testing.T) {
	const intervals = 100
	for _, n := range []int{250, 6100} {
		t.Run(fmt.Sprintf("members=%d", n), func(t *testing.T) {
			m, now := view(n), newFleet(0, membership.DefaultConfig()).now
			interval := membership.DefaultConfig().ProbeInterval
			end := now.Add(intervals * interval)
			incoming := membership.Message{From: record(1, now), Digest: m.Digest()}
			sent := 0
			for now.Before(end) {
				now = now.Add(tickInterval)
				for _, a := range m.Tick(now) {
					if p, ok := a.(membership.SendProbe); ok {
						sent += encodedBytes(p.Message) + sessionBytes/2
						m.ProbeAnswered(now, p.Number, membership.Message{From: p.To, Digest: m.Digest()})
						m.Received(now, incoming)
						sent += encodedBytes(m.Reply(incoming)) + sessionBytes/2
					}
				}
			}
			perSecond := sent / int((intervals * interval).Seconds())
			t.Logf("%d B/s sent, of which %d estimated", perSecond, int(sessionBytes/interval.Seconds()))
			if perSecond == 0 || perSecond > controlLimit {
				t.Errorf("%d B/s sent, want above 0 and at most %d", perSecond, controlLimit)
			}
		})
	}
}
