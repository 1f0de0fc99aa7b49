package roster

import (
	"testing"
	"time"
)

// restart starts the processes of the chosen hosts again, which know no other host then.
func (n *network) restart(chosen func(i int) bool) {
	for i, address := range n.addresses() {
		if chosen(i) {
			self := n.hosts[address].Self()
			self.Incarnation++
			n.hosts[address] = newRoster(self, "p-west-a-0", "p-east-a-0")
		}
	}
}

// unknownShare is the share that hosts may have in excess because they have just
// started and do not know all others.
const unknownShare = 0.1

// checkShares fails the test if the shares of the hosts of a domain exceed 1 together.
func (n *network) checkShares(t *testing.T, now time.Time, when string) {
	t.Helper()
	sums := make(map[string]float64)
	for _, h := range n.hosts {
		sums[h.Self().Domain] += h.DomainShare(now)
	}
	for domain, sum := range sums {
		if sum > 1+unknownShare {
			t.Errorf("%s: the shares of %d hosts of %s add up to %g", when, len(n.hosts)/len(sums), domain, sum)
		}
	}
}

// Guards against hosts whose shares of a common bound exceed it together.
func TestSharesOfADomainDoNotExceedIt(t *testing.T) {
	for _, hostsPerDomain := range []int{1, 4, 18, 33} {
		n := newNetwork(fleet(hostsPerDomain), "p-west-a-0", "p-east-a-0")
		now := n.run(start, 10*time.Second)
		n.checkShares(t, now, "after the start")
		for i, address := range n.addresses() {
			n.down[address] = i%2 == 0
		}
		now = n.run(now, 2*removeAfter)
		n.checkShares(t, now, "with half of the hosts isolated")
		n.restart(func(i int) bool { return i%4 == 0 })
		now = n.run(now, 10*time.Second)
		n.checkShares(t, now, "after restarts of isolated hosts")
		clear(n.down)
		now = n.run(now, 10*time.Second)
		n.checkShares(t, now, "after the isolation")
		n.restart(func(i int) bool { return i%3 == 0 })
		now = n.run(now, 10*time.Second)
		n.checkShares(t, now, "after restarts of other hosts")
	}
}

// Guards against hosts that start beside isolated ones and take the shares of these, too.
func TestSharesOfHostsThatStartBesideIsolatedOnesDoNotExceedIt(t *testing.T) {
	for _, hostsPerDomain := range []int{1, 4, 18, 33} {
		n := newNetwork(fleet(hostsPerDomain), "p-west-a-0", "p-east-a-0")
		now := n.run(start, 10*time.Second)
		for i, address := range n.addresses() {
			n.down[address] = i%2 == 0
		}
		now = n.run(now, 2*removeAfter)
		for turn := range 3 {
			n.restart(func(i int) bool { return i%2 == 1 && i/2%3 == turn })
			now = n.run(now, 10*time.Second)
			n.checkShares(t, now, "with half of the hosts isolated and others restarted")
		}
		clear(n.down)
		now = n.run(now, 10*time.Second)
		n.checkShares(t, now, "after the isolation")
	}
}

// Guards against a host without share: one that has no peers, and small fleets.
func TestSharesOfSmallFleetsAreUsable(t *testing.T) {
	if share := newRoster(newHeartbeat("only", "west", "a")).DomainShare(start); share < 1.0/minDomainHosts {
		t.Errorf("the only host has a share of %g", share)
	}
	n := newNetwork(fleet(1), "p-west-a-0")
	now := n.run(start, 10*time.Second)
	for _, h := range n.hosts {
		if share := h.DomainShare(now); share < 1.0/minDomainHosts {
			t.Errorf("%s, alone in its domain, has a share of %g", h.Self().ID, share)
		}
	}
}

// Guards against hosts that count others as unreachable because they left as planned, and against isolated hosts that count as half of the region.
func TestOnlyHostsThatDidNotLeaveCountAsUnreachable(t *testing.T) {
	for _, state := range []State{Ready, Leaving} {
		r := newRoster(newHeartbeat("self", "west", "a"), "seed")
		if r.ReachesHalfOfRegion(start) {
			t.Error("a host that has heard of no other reaches half of the region")
		}
		for _, id := range []string{"b", "c", "d"} {
			r.Receive(start, newHeartbeat(id, "west", "a"), 0)
			b := newHeartbeat(id, "west", "a")
			b.State = state
			r.Receive(start.Add(time.Millisecond), b, 0)
		}
		if got, want := r.ReachesHalfOfRegion(start.Add(LocalTimeout+time.Second)), state == Leaving; got != want {
			t.Errorf("with three hosts silent whose last state was %v, half of the region is reached: %v", state, got)
		}
	}
}
