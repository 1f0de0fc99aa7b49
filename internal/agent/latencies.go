package agent

import (
	"cmp"
	"encoding/binary"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wisteriacrank/wisteriacrank/internal/platform"
	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
)

const (
	// minLatencyChange is the relative change above which a measurement is forwarded.
	minLatencyChange = 0.1
	// tenthsPerMilli is the resolution of forwarded measurements: 0.1 ms.
	tenthsPerMilli = 10
	// stoppedAfter is the time behind the newest measurement after which one counts
	// as stopped. Only stopped measurements are sent with their own ages; all others
	// share a single one.
	stoppedAfter = 30 * time.Second
	// maxRemoved bounds the removed measurements that are recorded for later
	// differences.
	maxRemoved = 16384
)

// latencyKey identifies one measurement.
type latencyKey struct {
	block  netip.Prefix
	region string
}

// latencyEntry is one measurement.
type latencyEntry struct {
	// name is the text of the block that is sent to local daemons.
	name string
	// tenths is the latency in units of 0.1 ms.
	tenths uint32
	// stopped is the time of the last measurement if updates have stopped, zero
	// otherwise.
	stopped time.Time
	// version is the version of the shared state that last changed the entry.
	version uint64
}

// latencyUpdate is a change of one table entry.
type latencyUpdate struct {
	key    latencyKey
	entry  latencyEntry
	remove bool
	// weight orders the changes: those with the greatest weight are forwarded
	// first.
	weight float64
}

// latencyTable holds the measurements that a region reads from the platform. Two
// tables with the same version and digest are equal.
type latencyTable struct {
	entries map[latencyKey]latencyEntry
	removed map[latencyKey]uint64
	// floor is the lowest base version for which removed is complete.
	floor  uint64
	digest uint64
	// oldestActive is the time of the oldest measurement that has not stopped.
	oldestActive time.Time
	// lastRead holds the names and keys of the last read in its order. Reads usually
	// list the same blocks in the same order, whose keys needn't be parsed again.
	lastRead []latencyName
}

// latencyName is the platform's name of a measurement and its parsed key.
type latencyName struct {
	block, region string
	key           latencyKey
	text          string
	valid         bool
}

func newLatencyTable() *latencyTable {
	return &latencyTable{entries: make(map[latencyKey]latencyEntry), removed: make(map[latencyKey]uint64)}
}

// compare returns the changes of a read that are large enough to forward, those
// with the greatest weight first, and stores the time of its measurements. It
// skips blocks that can't be parsed as a prefix.
func (t *latencyTable) compare(now time.Time, read []platform.Latency) []latencyUpdate {
	newest := newestOf(read)
	oldestActive := newest
	var changes []latencyUpdate
	matched := 0
	t.lastRead = slices.Grow(t.lastRead[:min(len(t.lastRead), len(read))], len(read))
	for i, l := range read {
		name := t.nameAt(i, l)
		if !name.valid {
			continue
		}
		entry := latencyEntry{name: name.text, tenths: tenths(l.Millis)}
		if newest.Sub(l.Measured) > stoppedAfter {
			// Ages are forwarded in seconds.
			entry.stopped = l.Measured.Truncate(time.Second)
		} else if l.Measured.Before(oldestActive) {
			oldestActive = l.Measured
		}
		old, existed := t.entries[name.key]
		if existed {
			matched++
		}
		if weight := changeWeight(old, existed, entry); weight > minLatencyChange {
			changes = append(changes, latencyUpdate{key: name.key, entry: entry, weight: weight})
		}
	}
	if matched < len(t.entries) {
		changes = append(changes, t.removals()...)
	}
	t.oldestActive = oldestActive
	slices.SortFunc(changes, compareChanges)
	return changes
}

// nameAt returns name and key of the measurement at position i of a read.
func (t *latencyTable) nameAt(i int, l platform.Latency) latencyName {
	if i < len(t.lastRead) && t.lastRead[i].block == l.Block && t.lastRead[i].region == l.Region {
		return t.lastRead[i]
	}
	name := latencyName{block: l.Block, region: l.Region}
	if block, err := netip.ParsePrefix(l.Block); err == nil {
		block = block.Masked()
		name.key, name.text, name.valid = latencyKey{block, l.Region}, block.String(), true
	}
	if i < len(t.lastRead) {
		t.lastRead[i] = name
	} else {
		t.lastRead = append(t.lastRead, name)
	}
	return name
}

// removals returns the removals of the entries that the last read lacks.
func (t *latencyTable) removals() []latencyUpdate {
	present := make(map[latencyKey]bool, len(t.lastRead))
	for _, name := range t.lastRead {
		present[name.key] = name.valid
	}
	var changes []latencyUpdate
	for key := range t.entries {
		if !present[key] {
			changes = append(changes, latencyUpdate{key: key, remove: true, weight: math.Inf(1)})
		}
	}
	return changes
}

func newestOf(read []platform.Latency) time.Time {
	var newest time.Time
	for _, l := range read {
		if l.Measured.After(newest) {
			newest = l.Measured
		}
	}
	return newest
}

func tenths(millis float64) uint32 { return uint32(math.Round(max(0, millis) * tenthsPerMilli)) }

// changeWeight returns the relative change of the latency, or infinity if an
// entry is new, stops or resumes.
func changeWeight(old latencyEntry, known bool, entry latencyEntry) float64 {
	if !known || old.stopped.IsZero() != entry.stopped.IsZero() {
		return math.Inf(1)
	}
	return math.Abs(float64(entry.tenths)-float64(old.tenths)) / max(1, float64(old.tenths))
}

func compareChanges(a, b latencyUpdate) int {
	return cmp.Or(
		cmp.Compare(b.weight, a.weight),
		a.key.block.Addr().Compare(b.key.block.Addr()),
		cmp.Compare(a.key.block.Bits(), b.key.block.Bits()),
		cmp.Compare(a.key.region, b.key.region),
	)
}

// update applies changes to the table.
func (t *latencyTable) update(version uint64, changes []latencyUpdate) {
	for _, c := range changes {
		if c.remove {
			t.remove(version, c.key)
			continue
		}
		c.entry.version = version
		t.put(c.key, c.entry)
	}
	if len(t.removed) > maxRemoved {
		clear(t.removed)
		t.floor = version
	}
}

func (t *latencyTable) put(key latencyKey, entry latencyEntry) {
	if old, known := t.entries[key]; known {
		t.digest ^= hashLatency(key, old)
	}
	t.digest ^= hashLatency(key, entry)
	t.entries[key] = entry
	delete(t.removed, key)
}

func (t *latencyTable) remove(version uint64, key latencyKey) {
	if old, known := t.entries[key]; known {
		t.digest ^= hashLatency(key, old)
		delete(t.entries, key)
		t.removed[key] = version
	}
}

// hashLatency returns the hash of one entry. It omits the time of a stopped
// measurement, which two hosts may round differently.
func hashLatency(key latencyKey, entry latencyEntry) uint64 {
	address := key.block.Addr().As16()
	buf := append(make([]byte, 0, 64), address[:]...)
	buf = append(buf, byte(key.block.Bits()), byte(addressFamily(key.block)))
	buf = binary.LittleEndian.AppendUint32(buf, entry.tenths)
	if !entry.stopped.IsZero() {
		buf = append(buf, 1)
	}
	return xxhash.Sum64(append(buf, key.region...))
}

func addressFamily(p netip.Prefix) int {
	if p.Addr().Is4() {
		return 4
	}
	return 6
}

// measurements returns all entries and their ages for the local daemons.
func (t *latencyTable) measurements(now time.Time) []*wirepb.RegionLatency {
	values := make([]wirepb.RegionLatency, len(t.entries))
	list := make([]*wirepb.RegionLatency, 0, len(t.entries))
	for key, entry := range t.entries {
		l := &values[len(list)]
		l.Block, l.Region = entry.name, key.region
		l.Millis = float64(entry.tenths) / tenthsPerMilli
		l.AgeMillis = entry.age(now, t.oldestActive).Milliseconds()
		list = append(list, l)
	}
	return list
}

func (e latencyEntry) age(now, live time.Time) time.Duration {
	if e.stopped.IsZero() {
		return max(0, now.Sub(live))
	}
	return max(0, now.Sub(e.stopped))
}
