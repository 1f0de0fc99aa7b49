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
	// latencyChange is the relative change of a measurement that is passed on.
	latencyChange = 0.1
	// tenthsPerMilli is the resolution of passed on measurements.
	tenthsPerMilli = 10
	// stoppedAfter is how far a measurement is behind the newest one when it
	// counts as stopped. Only stopped ones carry an age of their own, so that
	// the age of the others costs one number.
	stoppedAfter = 30 * time.Second
	// maxRemoved bounds the removed measurements that are remembered.
	maxRemoved = 16384
)

// latencyKey names one measurement.
type latencyKey struct {
	block  netip.Prefix
	region string
}

// latencyEntry is one measurement.
type latencyEntry struct {
	// name is the block as local daemons get it.
	name   string
	tenths uint32
	// stopped is the time of the measurement if it is no longer taken.
	stopped time.Time
	// version is the one that last changed the entry here.
	version uint64
}

// latencyChanged is a difference between a read and the table.
type latencyChanged struct {
	key    latencyKey
	entry  latencyEntry
	remove bool
	// weight orders the changes: the greatest ones are passed on first.
	weight float64
}

// latencyTable holds the measurements of a region's platform. Two tables of
// the same version and digest are equal.
type latencyTable struct {
	entries map[latencyKey]latencyEntry
	removed map[latencyKey]uint64
	// floor is the lowest version whose differences are still known.
	floor  uint64
	digest uint64
	// live is the time of the oldest measurement that has not stopped.
	live time.Time
	// read are the names of the last read and their keys. Reads list the same
	// blocks in the same order as a rule, which saves parsing them.
	read []latencyName
}

// latencyName is a measurement as the platform names it.
type latencyName struct {
	block, region string
	key           latencyKey
	text          string
	valid         bool
}

func newLatencyTable() *latencyTable {
	return &latencyTable{entries: make(map[latencyKey]latencyEntry), removed: make(map[latencyKey]uint64)}
}

// compare returns the differences of a read, greatest first, and takes the
// time of its measurements. A block that is no prefix is left out.
func (t *latencyTable) compare(now time.Time, read []platform.Latency) []latencyChanged {
	newest := newestOf(read)
	live := newest
	var changes []latencyChanged
	known := 0
	t.read = slices.Grow(t.read[:min(len(t.read), len(read))], len(read))
	for i, l := range read {
		name := t.name(i, l)
		if !name.valid {
			continue
		}
		entry := latencyEntry{name: name.text, tenths: tenths(l.Millis)}
		if newest.Sub(l.Measured) > stoppedAfter {
			// Ages are passed on in seconds.
			entry.stopped = l.Measured.Truncate(time.Second)
		} else if l.Measured.Before(live) {
			live = l.Measured
		}
		old, held := t.entries[name.key]
		if held {
			known++
		}
		if weight := changeWeight(old, held, entry); weight > latencyChange {
			changes = append(changes, latencyChanged{key: name.key, entry: entry, weight: weight})
		}
	}
	if known < len(t.entries) {
		changes = append(changes, t.missing()...)
	}
	t.live = live
	slices.SortFunc(changes, compareChanges)
	return changes
}

// name returns the key of the measurement at a place of the read.
func (t *latencyTable) name(i int, l platform.Latency) latencyName {
	if i < len(t.read) && t.read[i].block == l.Block && t.read[i].region == l.Region {
		return t.read[i]
	}
	name := latencyName{block: l.Block, region: l.Region}
	if block, err := netip.ParsePrefix(l.Block); err == nil {
		block = block.Masked()
		name.key, name.text, name.valid = latencyKey{block, l.Region}, block.String(), true
	}
	if i < len(t.read) {
		t.read[i] = name
	} else {
		t.read = append(t.read, name)
	}
	return name
}

// missing returns the removal of the entries that the last read has not.
func (t *latencyTable) missing() []latencyChanged {
	present := make(map[latencyKey]bool, len(t.read))
	for _, name := range t.read {
		present[name.key] = name.valid
	}
	var changes []latencyChanged
	for key := range t.entries {
		if !present[key] {
			changes = append(changes, latencyChanged{key: key, remove: true, weight: math.Inf(1)})
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

// changeWeight is the relative change, or infinite if an entry appears, stops
// or resumes.
func changeWeight(old latencyEntry, held bool, entry latencyEntry) float64 {
	if !held || old.stopped.IsZero() != entry.stopped.IsZero() {
		return math.Inf(1)
	}
	return math.Abs(float64(entry.tenths)-float64(old.tenths)) / max(1, float64(old.tenths))
}

func compareChanges(a, b latencyChanged) int {
	return cmp.Or(
		cmp.Compare(b.weight, a.weight),
		a.key.block.Addr().Compare(b.key.block.Addr()),
		cmp.Compare(a.key.block.Bits(), b.key.block.Bits()),
		cmp.Compare(a.key.region, b.key.region),
	)
}

// take puts changes in the table.
func (t *latencyTable) take(version uint64, changes []latencyChanged) {
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

// hashLatency leaves out the age of a stopped measurement, which the clocks of
// two hosts may round differently.
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

// measurements returns all entries with their ages for local daemons.
func (t *latencyTable) measurements(now time.Time) []*wirepb.RegionLatency {
	values := make([]wirepb.RegionLatency, len(t.entries))
	list := make([]*wirepb.RegionLatency, 0, len(t.entries))
	for key, entry := range t.entries {
		l := &values[len(list)]
		l.Block, l.Region = entry.name, key.region
		l.Millis = float64(entry.tenths) / tenthsPerMilli
		l.AgeMillis = entry.age(now, t.live).Milliseconds()
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
