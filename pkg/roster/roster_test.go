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

// fewSlots need the least number of entry hosts.
const fewSlots = 1

func beat(id, region, domain string) Heartbeat {
	return Heartbeat{ID: id, Incarnation: 1, Region: region, Domain: domain, PeerAddress: "p-" + id, CallerAddress: "c-" + id, Capacity: 1, State: Ready}
}

func newRoster(self Heartbeat, seeds ...string) *Roster {
	return New(self, seeds, rand.New(rand.NewPCG(1, 2)))
}

// fleet returns the beats of n hosts in each of two domains of two regions.
func fleet(n int) []Heartbeat {
	var beats []Heartbeat
	for _, region := range []string{"west", "east"} {
		for _, domain := range []string{"a", "b"} {
			for i := range n {
				beats = append(beats, beat(fmt.Sprintf("%s-%s-%d", region, domain, i), region, region+"-"+domain))
			}
		}
	}
	return beats
}

// network delivers the heartbeats of all hosts at once, except to and from
// those that are down.
type network struct {
	hosts map[string]*Roster
	down  map[string]bool
}

func newNetwork(beats []Heartbeat, seeds ...string) *network {
	n := &network{hosts: make(map[string]*Roster), down: make(map[string]bool)}
	for _, b := range beats {
		n.hosts[b.PeerAddress] = newRoster(b, seeds...)
	}
	return n
}

// addresses are in a fixed order, so that a run repeats.
func (n *network) addresses() []string { return slices.Sorted(maps.Keys(n.hosts)) }

// run lets time pass in steps of the heartbeat interval.
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
	said := from.Self()
	if !m.Full {
		said = Heartbeat{ID: said.ID, Incarnation: said.Incarnation, State: said.State, StoreLost: said.StoreLost, Standby: said.Standby}
	}
	for _, to := range m.To {
		receiver := n.hosts[to]
		if receiver == nil || n.down[to] {
			continue
		}
		receiver.Receive(now, said, 0)
		for _, other := range m.Forwarded {
			receiver.Receive(now, other.Heartbeat, other.Age)
		}
	}
}

func names(beats []Heartbeat) map[string]bool {
	set := make(map[string]bool)
	for _, b := range beats {
		set[b.ID] = true
	}
	return set
}

// Guards against hosts that do not find each other, choose different entry
// hosts, or put them into one failure domain.
func TestHostsAgreeOnTheEntryHosts(t *testing.T) {
	n := newNetwork(fleet(4), "p-west-a-0")
	now := n.run(start, 8*time.Second)
	var want map[string]bool
	for _, host := range n.hosts {
		near := 0
		for _, b := range host.Live(now) {
			if b.Region == host.Self().Region {
				near++
			}
		}
		if near != 8 {
			t.Errorf("%s knows %d hosts of its region", host.Self().ID, near)
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

// Guards against look-ups that go on naming a host that was killed: 7 s after
// its end no answer may do so.
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
		t.Error("a host that fell silent 2 s ago is an entry host of its region")
	}
	now = n.run(now, 5*time.Second)
	for _, host := range n.hosts {
		if !n.down[host.Self().PeerAddress] && names(host.Entries(now, "west", 6))[killed.ID] {
			t.Errorf("%s names a host that was killed 7 s ago", host.Self().ID)
		}
	}
}

// Guards against a host that is used while it starts or leaves.
func TestOnlyReadyHostsAreEntries(t *testing.T) {
	r := newRoster(beat("me", "west", "a"))
	for id, state := range map[string]State{"starting": Starting, "leaving": Leaving} {
		b := beat(id, "west", "b")
		b.State = state
		r.Receive(start, b, 0)
	}
	if got := r.Entries(start, "west", 5); len(got) != 1 || got[0].ID != "me" {
		t.Errorf("entries %+v", got)
	}
	r.SetState(Leaving, false)
	if got := r.Entries(start, "west", 5); len(got) != 0 {
		t.Errorf("entries %+v of a fleet that leaves", got)
	}
}

// Guards against old news that replace those of a later start, and against
// beats without addresses that create a member.
func TestOlderBeatsChangeNothing(t *testing.T) {
	r := newRoster(beat("me", "west", "a"))
	r.Receive(start, Heartbeat{ID: "other", Incarnation: 2, State: Ready}, 0)
	if len(r.Live(start)) != 1 {
		t.Error("a beat without addresses made a member")
	}
	now := beat("other", "west", "b")
	now.Incarnation = 2
	r.Receive(start, now, 0)
	r.Receive(start.Add(time.Second), beat("other", "west", "b"), 0)
	r.Receive(start, Heartbeat{ID: "other", Incarnation: 1, State: Leaving}, 0)
	got, _ := r.Peer("other")
	if got.Incarnation != 2 || got.State != Ready {
		t.Errorf("%+v after older beats", got)
	}
}

// Guards against a region that hears nothing of the store because its readers
// cannot reach it, and against all hosts that read it.
func TestReadersAreReplacedWhileTheStoreTurnsThemAway(t *testing.T) {
	n := newNetwork(fleet(4), "p-west-a-0")
	now := n.run(start, 8*time.Second)
	count := func() (reading []string) {
		for address, host := range n.hosts {
			if host.Self().Region == "west" && host.IsReader(now) {
				reading = append(reading, address)
			}
		}
		return reading
	}
	first := count()
	if len(first) != 2 {
		t.Fatalf("%d readers", len(first))
	}
	for _, address := range first {
		n.hosts[address].SetState(Ready, true)
	}
	now = n.run(now, 2*time.Second)
	replaced := count()
	if len(replaced) != 6 {
		t.Errorf("%d hosts read while two are turned away, want these and four more", len(replaced))
	}
	for _, host := range n.hosts {
		if host.Self().Region == "west" && !host.ReadersLostStore(now) {
			t.Errorf("%s does not know that the first readers lost the store", host.Self().ID)
		}
	}
}

// Guards against a change that is due before the readers of a region, which have
// just died, are replaced, and before a host that is cut off from all others reads
// for itself.
func TestSilentReadersAreReplacedBeforeAChangeIsDue(t *testing.T) {
	const (
		configBound = 2 * time.Second
		// takeOver is the time for the step in which hosts look at their role, for
		// a probe and a call to the store, and a push.
		takeOver = 500 * time.Millisecond
	)
	for _, perDomain := range []int{3, 4, 20} {
		for _, cut := range []string{"readers", "all others"} {
			n := newNetwork(fleet(perDomain), "p-west-a-0")
			now := n.run(start, 8*time.Second)
			// They fall silent right after a heartbeat.
			silentAt := now.Add(-HeartbeatInterval)
			observer := n.hosts["p-west-a-0"]
			for address, host := range n.hosts {
				if observer.IsReader(now) && host.Self().Region == "west" && !host.IsReader(now) {
					observer = host
				}
				n.down[address] = cut == "all others" || host.Self().Region == "west" && host.IsReader(now)
			}
			n.down[observer.Self().PeerAddress] = false
			n.run(now, configBound-takeOver-HeartbeatInterval)
			now = silentAt.Add(configBound - takeOver)
			reads := false
			for address, host := range n.hosts {
				reads = reads || !n.down[address] && host.Self().Region == "west" && host.IsReader(now)
			}
			if !reads {
				t.Errorf("%d hosts a region, %s silent: none reads the store in time", 2*perDomain, cut)
			}
		}
	}
}

// Guards against replacements that are turned away one after the other while a
// change is due: both readers and three more hosts of a region lose the store.
func TestSecondRoundOfReadersReachesTheStore(t *testing.T) {
	for _, perDomain := range []int{3, 4, 20} {
		n := newNetwork(fleet(perDomain), "p-west-a-0")
		now := n.run(start, 8*time.Second)
		near := slices.DeleteFunc(n.hosts["p-west-a-0"].Live(now), func(b Heartbeat) bool { return b.Region != "west" })
		turnedAway := names(spread("west/store", near, 5))
		served := false
		for range 2 {
			for _, host := range n.hosts {
				if self := host.Self(); self.Region == "west" && host.IsReader(now) {
					host.SetState(Ready, turnedAway[self.ID])
					served = served || !turnedAway[self.ID]
				}
			}
			now = n.run(now, 4*HeartbeatInterval)
		}
		if !served {
			t.Errorf("%d hosts a region: the store serves none of two rounds of readers", 2*perDomain)
		}
	}
}

// Guards against heartbeats that grow with the fleet: only a few hosts speak to
// other regions, and few beats carry introductions.
func TestBeatsStaySmall(t *testing.T) {
	n := newNetwork(fleet(4), "p-west-a-0")
	now := n.run(start, 8*time.Second)
	const intervals = 24
	remote, introduced := 0, 0
	for range intervals {
		for _, host := range n.hosts {
			for _, m := range host.Heartbeats(now, fewSlots) {
				if len(m.Forwarded) > maxIntroduced {
					t.Fatalf("%d hosts in one heartbeat", len(m.Forwarded))
				}
				for _, to := range m.To {
					if n.hosts[to].Self().Region != host.Self().Region {
						remote++
					}
				}
				if m.Full {
					introduced++
				}
				n.deliver(now, host, m)
			}
		}
		now = now.Add(HeartbeatInterval)
	}
	// Two delegates of each of two regions send one of three beats; each host
	// of the east may send one of eight to the seed.
	if limit := 4*intervals/remoteEvery + 8*intervals/introduceEvery; remote > limit {
		t.Errorf("%d heartbeats between regions, want %d at most", remote, limit)
	}
	if limit := 16*intervals/introduceEvery + 4*intervals/remoteEvery; introduced > limit {
		t.Errorf("%d whole heartbeats, want %d at most", introduced, limit)
	}
}

// Guards against a region that nobody tells of news, and against messages that
// grow with the number of regions.
func TestEachRegionIsToldByAsManyOthers(t *testing.T) {
	for _, regions := range []int{2, 3, 4, 25} {
		told := make(map[string]int)
		for from := range regions {
			r := newRoster(beat("me", fmt.Sprintf("region-%02d", from), "a"))
			for to := range regions {
				for i := range 3 {
					r.Receive(start, beat(fmt.Sprintf("h-%02d-%d", to, i), fmt.Sprintf("region-%02d", to), "a"), 0)
				}
			}
			addresses := r.Delegates(start)
			if want := delegates * min(toldRegions, regions-1); len(addresses) != want {
				t.Errorf("%d regions: one tells %d hosts, want %d", regions, len(addresses), want)
			}
			for _, a := range addresses {
				told[a[:len("p-h-00")]]++
			}
		}
		for region, n := range told {
			if want := delegates * min(toldRegions, regions-1); n != want {
				t.Errorf("%d regions: %s is told %d times, want %d", regions, region, n, want)
			}
		}
		if len(told) != regions {
			t.Errorf("%d of %d regions are told", len(told), regions)
		}
	}
}

// Guards against small hosts that get as many requests as large ones, because
// callers choose among the entry hosts at random.
func TestLargeHostsAreEntriesFirst(t *testing.T) {
	r := newRoster(beat("observer", "east", "e"))
	hear := func(id, domain string, capacity int) {
		b := beat(id, "west", domain)
		b.Capacity = capacity
		r.Receive(start, b, 0)
	}
	for i := range 20 {
		hear(fmt.Sprintf("small-%d", i), string(rune('a'+i%2)), 5)
	}
	if got := r.EntriesFor(start, "west", 60); len(got) != 12 {
		t.Errorf("%d small hosts for 60 slots, want 12", len(got))
	}
	for i := range 4 {
		hear(fmt.Sprintf("large-%d", i), string(rune('a'+i%2)), 30)
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

// Guards against heartbeats that grow with the square of the region, and
// against hosts that stand by and disagree on the entry hosts, also after all
// hosts that they listened to have ended.
func TestLargeRegionBeatsLittleAndAgrees(t *testing.T) {
	const each = 20
	n := newNetwork(fleet(each), "p-west-a-0", "p-east-a-0")
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
	agree("at rest", "west", "east")
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
	// Of each region two entry hosts and two readers beat to 39 hosts, the
	// others to these in one of three intervals; a tenth for other regions.
	perInterval := 2 * (4*(2*each-1) + 2*each*4/standbyEvery)
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
			t.Errorf("%s ended 4 s ago and is an entry host", entry.ID)
		}
	}
	now = n.run(now, 6*time.Second)
	agree("later", "west", "east")
}
