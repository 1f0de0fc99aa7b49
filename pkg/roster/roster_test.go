package roster

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// fewSlots is a number of server slots for which minEntries hosts are enough.
const fewSlots = 1

func newHeartbeat(id, region, domain string) Heartbeat {
	return Heartbeat{ID: id, Incarnation: 1, Region: region, Domain: domain, PeerAddress: "p-" + id, CallerAddress: "c-" + id, Capacity: 1, State: Ready}
}

func newRoster(self Heartbeat, seeds ...string) *Roster {
	return New(self, seeds, rand.New(rand.NewPCG(1, 2)))
}

// fleet returns the heartbeats of n hosts in each of two domains of two regions.
func fleet(n int) []Heartbeat {
	var hosts []Heartbeat
	for _, region := range []string{"west", "east"} {
		for _, domain := range []string{"a", "b"} {
			for i := range n {
				hosts = append(hosts, newHeartbeat(fmt.Sprintf("%s-%s-%d", region, domain, i), region, region+"-"+domain))
			}
		}
	}
	return hosts
}

// network delivers the heartbeats of all hosts at once, except to and from
// those that are down.
type network struct {
	hosts map[string]*Roster
	down  map[string]bool
}

func newNetwork(hosts []Heartbeat, seeds ...string) *network {
	n := &network{hosts: make(map[string]*Roster), down: make(map[string]bool)}
	for _, b := range hosts {
		n.hosts[b.PeerAddress] = newRoster(b, seeds...)
	}
	return n
}

// addresses returns the addresses in a fixed order, so that runs are repeatable.
func (n *network) addresses() []string { return slices.Sorted(maps.Keys(n.hosts)) }

// run advances the time in steps of the heartbeat interval.
func (n *network) run(from time.Time, d time.Duration) time.Time {
	now := from
	for ; now.Before(from.Add(d)); now = now.Add(HeartbeatInterval) {
		for _, address := range n.addresses() {
			host := n.hosts[address]
			if n.down[address] {
				continue
			}
			for _, m := range host.Heartbeats(now, fewSlots) {
				n.deliver(now, host, m)
			}
		}
	}
	return now
}

func (n *network) deliver(now time.Time, from *Roster, m Message) {
	heartbeat := from.Self()
	if !m.Full {
		heartbeat = Heartbeat{ID: heartbeat.ID, Incarnation: heartbeat.Incarnation, State: heartbeat.State, StoreLost: heartbeat.StoreLost, Standby: heartbeat.Standby}
	}
	for _, to := range m.To {
		receiver := n.hosts[to]
		if receiver == nil || n.down[to] {
			continue
		}
		receiver.Receive(now, heartbeat, 0)
		for _, other := range m.Forwarded {
			receiver.Receive(now, other.Heartbeat, other.Age)
		}
	}
}

func names(hosts []Heartbeat) map[string]bool {
	set := make(map[string]bool)
	for _, b := range hosts {
		set[b.ID] = true
	}
	return set
}

// Guards against hosts that do not discover each other, choose different entry
// hosts, or choose them all from one failure domain.
func TestHostsAgreeOnTheEntryHosts(t *testing.T) {
	n := newNetwork(fleet(4), "p-west-a-0")
	now := n.run(start, 8*time.Second)
	var want map[string]bool
	for _, host := range n.hosts {
		local := 0
		for _, b := range host.Live(now) {
			if b.Region == host.Self().Region {
				local++
			}
		}
		if local != 8 {
			t.Errorf("%s knows %d hosts of its region", host.Self().ID, local)
		}
		if host.Self().Region != "west" {
			continue
		}
		entries := host.Entries(now, "west", 2)
		if len(entries) != 2 || entries[0].Domain == entries[1].Domain {
			t.Fatalf("entries %+v", entries)
		}
		if want == nil {
			want = names(entries)
		}
		for _, e := range entries {
			if !want[e.ID] {
				t.Errorf("%s chooses %s", host.Self().ID, e.ID)
			}
		}
	}
}

// Guards against lookups that keep returning a killed host: none may do so 7 s
// after its end.
func TestKilledHostLeavesTheEntries(t *testing.T) {
	n := newNetwork(fleet(3), "p-west-a-0", "p-east-a-0")
	now := n.run(start, 8*time.Second)
	observer := n.hosts["p-west-a-1"]
	killed := observer.Entries(now, "west", 1)[0]
	if killed.ID == observer.Self().ID {
		observer = n.hosts["p-west-b-1"]
	}
	n.down[killed.PeerAddress] = true
	now = n.run(now, 2*time.Second)
	if names(observer.Entries(now, "west", 2))[killed.ID] {
		t.Error("a host that stopped sending 2 s ago is an entry host of its region")
	}
	now = n.run(now, 5*time.Second)
	for _, host := range n.hosts {
		if !n.down[host.Self().PeerAddress] && names(host.Entries(now, "west", 6))[killed.ID] {
			t.Errorf("%s returns a host that was killed 7 s ago", host.Self().ID)
		}
	}
}

// Guards against requests to a host that is starting or leaving.
func TestOnlyReadyHostsAreEntries(t *testing.T) {
	r := newRoster(newHeartbeat("me", "west", "a"))
	for id, state := range map[string]State{"starting": Starting, "leaving": Leaving} {
		b := newHeartbeat(id, "west", "b")
		b.State = state
		r.Receive(start, b, 0)
	}
	if got := r.Entries(start, "west", 5); len(got) != 1 || got[0].ID != "me" {
		t.Errorf("entries %+v", got)
	}
	r.SetState(Leaving, false)
	if got := r.Entries(start, "west", 5); len(got) != 0 {
		t.Errorf("entries %+v although no host is ready", got)
	}
}

// Guards against callers that are sent from one stopping host to the next.
func TestLeavingShareIsThatOfTheRegion(t *testing.T) {
	r := newRoster(newHeartbeat("self", "west", "west-a"))
	check := func(what string, now time.Time, want float64) {
		t.Helper()
		if got := r.LeavingShare(now); got != want {
			t.Errorf("%s: share %v, want %v", what, got, want)
		}
	}
	receive := func(id, region string, state State) {
		heartbeat := newHeartbeat(id, region, region+"-a")
		heartbeat.State = state
		r.Receive(start, heartbeat, 0)
	}
	receive("far", "east", Leaving)
	check("no other host of the region", start, 0)
	receive("ready", "west", Ready)
	receive("leaving", "west", Leaving)
	check("one of two leaves", start, 0.5)
	check("both have ended", start.Add(LocalTimeout), 0)
}

// Guards against old heartbeats that replace those of a later start, and against
// heartbeats without addresses that create a member.
func TestOlderHeartbeatsChangeNothing(t *testing.T) {
	r := newRoster(newHeartbeat("me", "west", "a"))
	r.Receive(start, Heartbeat{ID: "other", Incarnation: 2, State: Ready}, 0)
	if len(r.Live(start)) != 1 {
		t.Error("a heartbeat without addresses created a member")
	}
	current := newHeartbeat("other", "west", "b")
	current.Incarnation = 2
	r.Receive(start, current, 0)
	r.Receive(start.Add(time.Second), newHeartbeat("other", "west", "b"), 0)
	r.Receive(start, Heartbeat{ID: "other", Incarnation: 1, State: Leaving}, 0)
	got, _ := r.Peer("other")
	if got.Incarnation != 2 || got.State != Ready {
		t.Errorf("%+v after older heartbeats", got)
	}
}

// Guards against a region that learns nothing from the store because its readers
// cannot reach it, and against a store that all hosts read.
func TestReadersAreReplacedWhileTheStoreRefusesThem(t *testing.T) {
	n := newNetwork(fleet(4), "p-west-a-0")
	now := n.run(start, 8*time.Second)
	readers := func() (reading []string) {
		for address, host := range n.hosts {
			if host.Self().Region == "west" && host.IsReader(now) {
				reading = append(reading, address)
			}
		}
		return reading
	}
	first := readers()
	if len(first) != 2 {
		t.Fatalf("%d readers", len(first))
	}
	for _, address := range first {
		n.hosts[address].SetState(Ready, true)
	}
	now = n.run(now, 2*time.Second)
	replaced := readers()
	if len(replaced) != 6 {
		t.Errorf("%d hosts read the store while it refuses two, want these and four more", len(replaced))
	}
	for _, host := range n.hosts {
		if host.Self().Region == "west" && !host.ReadersLostStore(now) {
			t.Errorf("%s does not know that the first readers lost the store", host.Self().ID)
		}
	}
}

// Guards against a change that misses its deadline because readers of a region
// that have just died are not replaced in time, or because a host that is
// partitioned from all others does not read the store itself in time.
func TestSilentReadersAreReplacedBeforeAChangeIsDue(t *testing.T) {
	const (
		configBound = 2 * time.Second
		// readDelay is the time for the step in which hosts check their role, for a
		// probe and a call to the store, and for a push.
		readDelay = 500 * time.Millisecond
	)
	for _, perDomain := range []int{3, 4, 20} {
		for _, failed := range []string{"readers", "all others"} {
			n := newNetwork(fleet(perDomain), "p-west-a-0")
			now := n.run(start, 8*time.Second)
			// The hosts end right after a heartbeat.
			downAt := now.Add(-HeartbeatInterval)
			observer := n.hosts["p-west-a-0"]
			for address, host := range n.hosts {
				if observer.IsReader(now) && host.Self().Region == "west" && !host.IsReader(now) {
					observer = host
				}
				n.down[address] = failed == "all others" || host.Self().Region == "west" && host.IsReader(now)
			}
			n.down[observer.Self().PeerAddress] = false
			n.run(now, configBound-readDelay-HeartbeatInterval)
			now = downAt.Add(configBound - readDelay)
			reads := false
			for address, host := range n.hosts {
				reads = reads || !n.down[address] && host.Self().Region == "west" && host.IsReader(now)
			}
			if !reads {
				t.Errorf("%d hosts per region, %s down: none reads the store in time", 2*perDomain, failed)
			}
		}
	}
}

// Guards against a change that misses its deadline because the store refuses one
// replacement after the other: both readers and three more hosts of a region lose
// it.
func TestSecondRoundOfReadersReachesTheStore(t *testing.T) {
	for _, perDomain := range []int{3, 4, 20} {
		n := newNetwork(fleet(perDomain), "p-west-a-0")
		now := n.run(start, 8*time.Second)
		local := slices.DeleteFunc(n.hosts["p-west-a-0"].Live(now), func(b Heartbeat) bool { return b.Region != "west" })
		refused := names(selectSpread("west/store", local, 5))
		served := false
		for range 2 {
			for _, host := range n.hosts {
				if self := host.Self(); self.Region == "west" && host.IsReader(now) {
					host.SetState(Ready, refused[self.ID])
					served = served || !refused[self.ID]
				}
			}
			now = n.run(now, 4*HeartbeatInterval)
		}
		if !served {
			t.Errorf("%d hosts per region: the store serves none of two rounds of readers", 2*perDomain)
		}
	}
}

// Guards against heartbeats that grow with the fleet: only a few hosts send them
// to other regions, and only a few forward those of others.
func TestHeartbeatTrafficIsBounded(t *testing.T) {
	n := newNetwork(fleet(4), "p-west-a-0")
	now := n.run(start, 8*time.Second)
	const intervals = 24
	remote, full := 0, 0
	for range intervals {
		for _, host := range n.hosts {
			for _, m := range host.Heartbeats(now, fewSlots) {
				if len(m.Forwarded) > maxForwarded {
					t.Fatalf("%d hosts in one heartbeat", len(m.Forwarded))
				}
				for _, to := range m.To {
					if n.hosts[to].Self().Region != host.Self().Region {
						remote++
					}
				}
				if m.Full {
					full++
				}
				n.deliver(now, host, m)
			}
		}
		now = now.Add(HeartbeatInterval)
	}
	// Two delegates of each of two regions send one of three heartbeats; each
	// host of the east may send one of eight to the seed.
	if limit := 4*intervals/remoteIntervals + 8*intervals/forwardIntervals; remote > limit {
		t.Errorf("%d heartbeats between regions, want %d at most", remote, limit)
	}
	if limit := 16*intervals/forwardIntervals + 4*intervals/remoteIntervals; full > limit {
		t.Errorf("%d full heartbeats, want %d at most", full, limit)
	}
}

// Guards against a region that no other notifies of changes, and against messages
// that grow with the number of regions.
func TestEachRegionIsNotifiedByAsManyOthers(t *testing.T) {
	for _, regions := range []int{2, 3, 4, 25} {
		notifications := make(map[string]int)
		for from := range regions {
			r := newRoster(newHeartbeat("me", fmt.Sprintf("region-%02d", from), "a"))
			for to := range regions {
				for i := range 3 {
					r.Receive(start, newHeartbeat(fmt.Sprintf("h-%02d-%d", to, i), fmt.Sprintf("region-%02d", to), "a"), 0)
				}
			}
			addresses := r.Delegates(start)
			if want := delegatesPerRegion * min(notifiedRegions, regions-1); len(addresses) != want {
				t.Errorf("%d regions: one notifies %d hosts, want %d", regions, len(addresses), want)
			}
			for _, a := range addresses {
				notifications[a[:len("p-h-00")]]++
			}
		}
		for region, n := range notifications {
			if want := delegatesPerRegion * min(notifiedRegions, regions-1); n != want {
				t.Errorf("%d regions: %s is notified %d times, want %d", regions, region, n, want)
			}
		}
		if len(notifications) != regions {
			t.Errorf("%d of %d regions are notified", len(notifications), regions)
		}
	}
}

// Guards against small hosts that get as many requests as large ones because
// callers choose among the entry hosts at random.
func TestLargeHostsAreEntriesFirst(t *testing.T) {
	r := newRoster(newHeartbeat("observer", "east", "e"))
	receive := func(id, domain string, capacity int) {
		b := newHeartbeat(id, "west", domain)
		b.Capacity = capacity
		r.Receive(start, b, 0)
	}
	for i := range 20 {
		receive(fmt.Sprintf("small-%d", i), string(rune('a'+i%2)), 5)
	}
	if got := r.EntriesFor(start, "west", 60); len(got) != 12 {
		t.Errorf("%d small hosts for 60 slots, want 12", len(got))
	}
	for i := range 4 {
		receive(fmt.Sprintf("large-%d", i), string(rune('a'+i%2)), 30)
	}
	for slots, want := range map[int]int{1: 2, 60: 2, 61: 3, 120: 4} {
		got := r.EntriesFor(start, "west", slots)
		if len(got) != want {
			t.Errorf("%d entry hosts for %d slots, want %d", len(got), slots, want)
		}
		if got[0].Domain == got[1].Domain {
			t.Errorf("the first two entry hosts for %d slots are in one failure domain", slots)
		}
		for _, b := range got {
			if b.Capacity != 30 {
				t.Errorf("%s is an entry host for %d slots", b.ID, slots)
			}
		}
	}
	// Four large hosts carry 120 slots, all 24 hosts 120 as well.
	if got := r.EntriesFor(start, "west", 1000); len(got) != 4 {
		t.Errorf("%d entry hosts for more slots than any number can carry, want the 4 large ones", len(got))
	}
	if got := r.EntriesFor(start, "south", 10); len(got) != 0 {
		t.Errorf("%d entry hosts of a region without hosts", len(got))
	}
}

// Guards against heartbeats that grow with the square of the region, and against
// standby hosts that disagree on the entry hosts, also after all hosts from which
// they received heartbeats have ended.
func TestLargeRegionSendsFewHeartbeatsAndAgrees(t *testing.T) {
	const hostsPerDomain = 20
	n := newNetwork(fleet(hostsPerDomain), "p-west-a-0", "p-east-a-0")
	now := n.run(start, 12*time.Second)
	agree := func(what string, regions ...string) []Heartbeat {
		t.Helper()
		var want []Heartbeat
		for _, host := range n.hosts {
			if n.down[host.Self().PeerAddress] || !slices.Contains(regions, host.Self().Region) {
				continue
			}
			got := host.EntriesFor(now, "west", fewSlots)
			if want == nil {
				want = got
			}
			if len(got) != minEntries || !maps.Equal(names(got), names(want)) {
				t.Errorf("%s: %s chooses %v, another %v", what, host.Self().ID, names(got), names(want))
			}
		}
		return want
	}
	agree("without faults", "west", "east")
	const intervals = 24
	sent := 0
	for range intervals {
		for _, address := range n.addresses() {
			host := n.hosts[address]
			for _, m := range host.Heartbeats(now, fewSlots) {
				sent += len(m.To)
				n.deliver(now, host, m)
			}
		}
		now = now.Add(HeartbeatInterval)
	}
	// In each region two entry hosts and two readers send to 39 hosts, the others
	// to these four in one of three intervals; 10% more for other regions.
	perInterval := 2 * (4*(2*hostsPerDomain-1) + 2*hostsPerDomain*4/standbyIntervals)
	if limit := intervals * perInterval * 11 / 10; sent > limit {
		t.Errorf("%d heartbeats in %d intervals, want %d at most", sent, intervals, limit)
	}
	for _, host := range n.hosts {
		if host.Self().Region == "west" && !host.Self().Standby {
			n.down[host.Self().PeerAddress] = true
		}
	}
	now = n.run(now, 4*time.Second)
	for _, entry := range agree("after the loss of all active hosts", "west") {
		if n.down[entry.PeerAddress] {
			t.Errorf("%s is an entry host 4 s after its end", entry.ID)
		}
	}
	now = n.run(now, 6*time.Second)
	agree("later", "west", "east")
}
