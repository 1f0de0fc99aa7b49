package steering

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/document"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

var start = time.Unix(1_800_000_000, 0)

// fixture has a document with the regions lis, opo and fnc and /24 blocks that are
// all declared for lis, and hosts in two failure domains per region.
type fixture struct {
	builder *Builder
	in      Input
	now     time.Time
}

func newFixture(blocks, hostsPerRegion int) *fixture {
	doc := &document.Document{Environment: document.Environment{
		CacheTime: 10 * time.Second, MoveCap: 0.1, MoveInterval: 10 * time.Second,
	}}
	f := &fixture{builder: NewBuilder(), now: start, in: Input{Generation: 7, Document: doc}}
	for _, name := range []model.Region{"lis", "opo", "fnc"} {
		doc.Regions = append(doc.Regions, document.Region{Name: name, Weight: 1})
		doc.Servers = append(doc.Servers, document.Server{Region: name, Slots: 100})
		for i := range hostsPerRegion {
			id := fmt.Sprintf("%s-%d", name, i)
			f.in.Hosts = append(f.in.Hosts, model.HostRecord{
				Host: model.HostID(id), Region: name, CallerAddress: id + ":80", State: model.HostReady, EntryIncarnation: 5,
				FailureDomain: model.FailureDomain(fmt.Sprintf("%s-%c", name, 'a'+i%2)),
			})
		}
	}
	doc.Services = []document.Service{{Name: "passdesk"}}
	for i := range blocks {
		doc.Blocks = append(doc.Blocks, document.Block{Prefix: blockAt(i), Region: "lis"})
	}
	return f
}

func blockAt(i int) netip.Prefix {
	return netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(i >> 8), byte(i), 0}), 24)
}

func (f *fixture) build() *Table { return f.builder.Build(f.in, f.now) }

// after advances the time and builds a table.
func (f *fixture) after(d time.Duration) *Table {
	f.now = f.now.Add(d)
	return f.build()
}

// setState changes the state of the hosts that match.
func (f *fixture) setState(state model.HostState, match func(model.HostRecord) bool) {
	hosts := append([]model.HostRecord(nil), f.in.Hosts...)
	for i := range hosts {
		if match(hosts[i]) {
			hosts[i].State = state
		}
	}
	f.in.Hosts = hosts
}

// measure sets the measurements of a block to one latency per region, in the order
// of the document.
func (f *fixture) measure(block netip.Prefix, millis ...int) {
	f.in.Measurements = nil
	for i, ms := range millis {
		f.in.Measurements = append(f.in.Measurements, Measurement{
			Block: block, Region: f.in.Document.Regions[i].Name, Latency: time.Duration(ms) * time.Millisecond, MeasuredAt: f.now,
		})
	}
}

func inRegion(name model.Region) func(model.HostRecord) bool {
	return func(h model.HostRecord) bool { return h.Region == name }
}

func firstRegion(t *Table, block netip.Prefix) model.Region {
	r := t.Lookup(block)
	return r.Host(0).Region
}

// homes counts the blocks per home region.
func homes(t *Table, blocks int) map[model.Region]int {
	count := make(map[model.Region]int)
	for i := range blocks {
		r := t.Lookup(blockAt(i))
		count[r.HomeRegion()]++
	}
	return count
}

// Guards against a lookup that returns a shorter block than the longest match, or
// a neighbour of the queried block: compares with a linear search over nested
// blocks.
func TestLookupFindsLongestPrefix(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	var prefixes []netip.Prefix
	for range 2000 {
		if p := randomPrefix(rng); p.Addr().As16()[0] != 0xfe {
			prefixes = append(prefixes, p)
		}
	}
	index := newBlockIndex(prefixes)
	found := 0
	for range 20000 {
		query := randomPrefix(rng)
		want := netip.Prefix{}
		for _, p := range prefixes {
			if p.Bits() <= query.Bits() && p.Contains(query.Addr()) && (!want.IsValid() || p.Bits() > want.Bits()) {
				want = p
			}
		}
		got := netip.Prefix{}
		if i := index.find(query); i != noBlock {
			got = index.prefixes[i]
			found++
		}
		if got != want {
			t.Fatalf("query %s found %s, want %s", query, got, want)
		}
	}
	if found == 0 || found == 20000 {
		t.Errorf("%d of 20000 queries found a block; the test needs both outcomes", found)
	}
}

func randomPrefix(rng *rand.Rand) netip.Prefix {
	if rng.Intn(2) == 0 {
		var a [16]byte
		a[0], a[1], a[7], a[8] = 0xfd+byte(rng.Intn(3)), byte(rng.Intn(4)), byte(rng.Intn(256)), byte(rng.Intn(256))
		return netip.PrefixFrom(netip.AddrFrom16(a), 8+rng.Intn(121)).Masked()
	}
	a := [4]byte{byte(255 - 2*rng.Intn(3)), byte(rng.Intn(256)), byte(rng.Intn(256)), byte(rng.Intn(256))}
	return netip.PrefixFrom(netip.AddrFrom4(a), 8+rng.Intn(25)).Masked()
}

// Guards against responses that are not valid JSON, and against an owner token
// with a stale issue time.
func TestResponseIsValidJSON(t *testing.T) {
	f := newFixture(10, 4)
	r := f.build().Lookup(blockAt(3))
	var got struct {
		Generation   uint64
		CacheSeconds int    `json:"cache_seconds"`
		HomeRegion   string `json:"home_region"`
		Owner        string
		Hosts        []hostJSON
	}
	text := r.AppendJSON(nil, start.Add(3*time.Second))
	if err := json.Unmarshal(text, &got); err != nil {
		t.Fatalf("%v in %s", err, text)
	}
	if got.Generation != 7 || got.CacheSeconds != 10 || got.HomeRegion != "lis" || len(got.Hosts) != 8 {
		t.Errorf("response %s", text)
	}
	first := got.Hosts[0]
	if want := fmt.Sprintf("%s.5.1800000003", first.Host); first.Owner != want || got.Owner != want {
		t.Errorf("owner tokens %q and %q, want %q", first.Owner, got.Owner, want)
	}
	if first.Address != first.Host+":80" || first.Region != "lis" || first.Incarnation != 5 {
		t.Errorf("first host %+v", first)
	}
}

// Guards against allocations, which would burden the garbage collector at
// millions of lookups per second.
func TestLookupDoesNotAllocate(t *testing.T) {
	f := newFixture(2000, 20)
	table := f.build()
	buf := make([]byte, 0, 8<<10)
	block := blockAt(77)
	undeclared := netip.MustParsePrefix("192.0.2.0/24")
	allocs := testing.AllocsPerRun(1000, func() {
		r := table.Lookup(block)
		buf = r.AppendJSON(buf[:0], start)
		other := table.Lookup(undeclared)
		buf = other.AppendJSON(buf[:0], start)
		if !table.HasService("passdesk") {
			t.Fatal("service is missing")
		}
	})
	if allocs != 0 {
		t.Errorf("%v allocations per lookup", allocs)
	}
}

// Guards against a response with hosts that are not ready while others are, and
// against a response whose first two hosts share a failure domain.
func TestOnlyReadyHostsOfTwoFailureDomains(t *testing.T) {
	for _, state := range []model.HostState{model.HostStarting, model.HostStopping, model.HostSuspect, model.HostDead, model.HostLeft} {
		f := newFixture(500, 6)
		f.build()
		f.setState(state, func(h model.HostRecord) bool { return h.Host == "lis-0" || h.Host == "lis-3" })
		table := f.after(time.Second)
		for i := range 500 {
			r := table.Lookup(blockAt(i))
			if r.Len() != 8 {
				t.Fatalf("%d hosts, want 8", r.Len())
			}
			for k := range r.Len() {
				if id := r.Host(k).ID; id == "lis-0" || id == "lis-3" {
					t.Fatalf("%s host %s is at position %d", state, id, k)
				}
			}
			if r.Host(0).FailureDomain == r.Host(1).FailureDomain {
				t.Fatalf("block %d: hosts %v and %v share a failure domain", i, r.Host(0), r.Host(1))
			}
		}
	}
}

// Guards against an empty response when no host is ready, and against hosts of a
// lower preference level beside those of a higher one.
func TestSuspectHostsOnlyWithoutReadyOnes(t *testing.T) {
	f := newFixture(50, 4)
	f.setState(model.HostDead, func(model.HostRecord) bool { return true })
	f.setState(model.HostSuspect, func(h model.HostRecord) bool { return h.Host == "opo-1" })
	f.setState(model.HostStopping, func(h model.HostRecord) bool { return h.Host == "opo-2" })
	r := f.build().Lookup(blockAt(1))
	if r.Len() != 1 || r.Host(0).ID != "opo-1" {
		t.Errorf("%d hosts, first %v, want opo-1 only", r.Len(), r.Host(0))
	}
	f.setState(model.HostReady, func(h model.HostRecord) bool { return h.Host == "fnc-1" })
	r = f.after(time.Second).Lookup(blockAt(1))
	if r.Len() != 1 || r.Host(0).ID != "fnc-1" {
		t.Errorf("%d hosts, first %v, want fnc-1 only", r.Len(), r.Host(0))
	}
}

// Guards against a host that is first in all responses, and against one host that
// receives the whole load of a stopped one.
func TestLoadSpreadsOverHosts(t *testing.T) {
	const blocks, hosts = 20000, 10
	f := newFixture(blocks, hosts)
	f.builder.HostWeights = map[model.HostID]float64{"lis-1": 0.5}
	firstShares := func(table *Table) map[model.HostID]float64 {
		count := make(map[model.HostID]float64)
		for i := range blocks {
			r := table.Lookup(blockAt(i))
			count[r.Host(0).ID] += 1 / (blocks / 9.5)
		}
		return count
	}
	before := firstShares(f.build())
	for id, share := range before {
		want := 1.0
		if id == "lis-1" {
			want = 0.5
		}
		if share < 0.9*want || share > 1.1*want {
			t.Errorf("host %s is first for %.2f times the blocks of a host of weight 1, want %.1f", id, share, want)
		}
	}
	f.setState(model.HostDead, func(h model.HostRecord) bool { return h.Host == "lis-0" })
	for id, share := range firstShares(f.after(time.Second)) {
		if share > before[id]+0.55 {
			t.Errorf("host %s is first for %.2f, then %.2f times the blocks of a host of weight 1", id, before[id], share)
		}
	}
}

// Guards against a full rebuild when one host changes.
func TestHostChangeReusesOtherRegions(t *testing.T) {
	f := newFixture(100, 4)
	one := f.build()
	f.setState(model.HostStopping, func(h model.HostRecord) bool { return h.Host == "opo-1" })
	two := f.after(time.Second)
	if &one.blocks[0] != &two.blocks[0] || one.index != two.index || one.regions[0] != two.regions[0] || one.regions[2] != two.regions[2] {
		t.Error("the blocks or the hosts of other regions were rebuilt")
	}
	if one.regions[1] == two.regions[1] {
		t.Error("the hosts of the changed region were not rebuilt")
	}
}

// Guards against a pass over all blocks for a document change that affects
// neither regions nor blocks, and against responses that miss such a change.
func TestOtherDocumentChangesShareBlocks(t *testing.T) {
	f := newFixture(100, 4)
	one := f.build()
	edited := *f.in.Document
	edited.Blocks = append([]document.Block(nil), edited.Blocks...)
	edited.Environment.CacheTime = 3 * time.Second
	edited.Services = append(edited.Services, document.Service{Name: "logvault"})
	f.in.Document, f.in.Generation = &edited, 8
	two := f.after(time.Second)
	if &one.blocks[0] != &two.blocks[0] || one.index != two.index || one.regions[0] != two.regions[0] {
		t.Error("blocks or hosts were rebuilt")
	}
	r := two.Lookup(blockAt(1))
	text := string(r.AppendJSON(nil, start))
	if !two.HasService("logvault") || !strings.HasPrefix(text, `{"generation":8,"cache_seconds":3,`) {
		t.Errorf("the change is not in the response %s", text)
	}
}

// Guards against an order that follows a single outlier or the noise between
// regions at similar distance.
func TestOrderIgnoresNoise(t *testing.T) {
	f := newFixture(2, 4)
	f.in.Document.Environment.MoveCap = 1
	block := blockAt(0)
	f.measure(block, 10, 12, 40)
	f.build()
	f.measure(blockAt(1), 1, 2, 40)
	f.build()
	rng := rand.New(rand.NewSource(2))
	for i := range 200 {
		f.measure(block, 10+rng.Intn(3), 9+rng.Intn(4), 40)
		if i%5 == 0 {
			f.measure(block, 500, 12, 1)
		}
		first := f.in.Measurements
		f.measure(blockAt(1), 1+rng.Intn(2), 1+rng.Intn(2), 40)
		f.in.Measurements = append(f.in.Measurements, first...)
		f.after(10 * time.Second)
		for k := range 2 {
			if got := f.builder.blocks.states[k].measured.samples[0].region; got != 0 {
				t.Fatalf("measurement %d of block %d: nearest region has index %d, want 0", i, k, got)
			}
		}
	}
	for range 20 {
		f.measure(block, 40, 12, 60)
		f.after(10 * time.Second)
	}
	if got := f.after(time.Second).Lookup(block); got.HomeRegion() != "opo" {
		t.Errorf("home region %s after a lasting change, want opo", got.HomeRegion())
	}
}

// Guards against an order that returns to the document's at once when
// measurements stop, and against all blocks returning in one step.
func TestOrderIsHeldThenDecays(t *testing.T) {
	const blocks = 1000
	f := newFixture(blocks, 4)
	f.in.Document.Environment.MoveCap = 1
	for i := range blocks {
		for r, ms := range []int{40, 10, 60} {
			f.in.Measurements = append(f.in.Measurements, Measurement{
				Block: blockAt(i), Region: f.in.Document.Regions[r].Name, Latency: time.Duration(ms) * time.Millisecond, MeasuredAt: start,
			})
		}
	}
	if got := homes(f.build(), blocks)["opo"]; got != blocks {
		t.Fatalf("%d blocks have the nearest region as home, want %d", got, blocks)
	}
	f.in.Measurements = nil
	previous, largest := blocks, 0
	for second := 5; second <= 420; second += 5 {
		got := homes(f.after(5*time.Second), blocks)["opo"]
		if second <= 60 && got != blocks {
			t.Fatalf("%d blocks keep the nearest region after %d s, want all", got, second)
		}
		largest = max(largest, previous-got)
		previous = got
	}
	if previous != 0 {
		t.Errorf("%d blocks keep the nearest region after the decay", previous)
	}
	if largest > blocks/10 {
		t.Errorf("%d of %d blocks changed their home region within 5 s", largest, blocks)
	}
}
