package agent

import (
	"net/netip"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
)

// ipv6Block marks the prefix length of an IPv6 block. Lengths go up to 128, so
// that of an IPv6 block is sent minus 1 to fit in the other 7 bits.
const ipv6Block = 0x80

// changesSince returns the changes after version base, or all entries if the
// removals since base are no longer recorded.
func (t *latencyTable) changesSince(now time.Time, base uint64) *wirepb.SharedState {
	if base < t.floor {
		base = 0
	}
	changed, removed := newLatencyPacker(now), newLatencyPacker(now)
	for key, entry := range t.entries {
		if entry.version > base {
			changed.add(key, entry)
		}
	}
	if base > 0 {
		for key, version := range t.removed {
			if version > base {
				removed.addKey(key)
			}
		}
	}
	return &wirepb.SharedState{
		BaseVersion:   base,
		Changed:       changed.packed,
		Removed:       removed.packed,
		Digest:        t.digest,
		LiveAgeMillis: uint64(max(0, now.Sub(t.oldestActive)).Milliseconds()),
	}
}

// apply returns the table with the changes of a message applied. ok is false if
// the result wouldn't have the sender's digest; t is unchanged then.
func (t *latencyTable) apply(now time.Time, s *wirepb.SharedState) (next *latencyTable, ok bool) {
	next = newLatencyTable()
	if s.BaseVersion > 0 {
		next = &latencyTable{entries: t.entries, removed: t.removed, floor: t.floor, digest: t.digest, lastRead: t.lastRead}
	} else {
		next.floor = s.Version
	}
	changes, ok := unpackLatencies(now, s)
	if !ok || next.digestAfter(changes) != s.Digest {
		return t, false
	}
	next.update(s.Version, changes)
	next.oldestActive = now.Add(-time.Duration(s.LiveAgeMillis) * time.Millisecond)
	return next, true
}

// digestAfter returns the digest that results from the changes. It is wrong for a
// key that occurs twice, which only a faulty sender sends. The digest of the next
// message shows that.
func (t *latencyTable) digestAfter(changes []latencyUpdate) uint64 {
	digest := t.digest
	for _, c := range changes {
		if old, known := t.entries[c.key]; known {
			digest ^= hashLatency(c.key, old)
		}
		if !c.remove {
			digest ^= hashLatency(c.key, c.entry)
		}
	}
	return digest
}

// latencyPacker appends entries to the columns of a message.
type latencyPacker struct {
	now     time.Time
	packed  *wirepb.Measurements
	regions map[string]uint32
}

func newLatencyPacker(now time.Time) *latencyPacker {
	return &latencyPacker{now: now, packed: &wirepb.Measurements{}, regions: make(map[string]uint32)}
}

func (p *latencyPacker) add(key latencyKey, entry latencyEntry) {
	p.addKey(key)
	p.packed.Latency = append(p.packed.Latency, entry.tenths)
	stopped := uint32(0)
	if !entry.stopped.IsZero() {
		stopped = uint32(max(0, p.now.Sub(entry.stopped))/time.Second) + 1
	}
	p.packed.Stopped = append(p.packed.Stopped, stopped)
}

func (p *latencyPacker) addKey(key latencyKey) {
	index, known := p.regions[key.region]
	if !known {
		index = uint32(len(p.regions))
		p.regions[key.region] = index
		p.packed.Regions = append(p.packed.Regions, key.region)
	}
	p.packed.Region = append(p.packed.Region, index)
	bits := byte(key.block.Bits())
	if key.block.Addr().Is6() {
		bits = ipv6Block | max(bits, 1) - 1
	}
	p.packed.Blocks = append(append(p.packed.Blocks, bits), key.block.Addr().AsSlice()...)
}

// unpackLatencies reads the changes of a message. ok is false if its columns are
// inconsistent.
func unpackLatencies(now time.Time, s *wirepb.SharedState) (changes []latencyUpdate, ok bool) {
	keys, ok := unpackKeys(s.Changed)
	if !ok || len(s.Changed.GetLatency()) != len(keys) || len(s.Changed.GetStopped()) != len(keys) {
		return nil, false
	}
	for i, key := range keys {
		entry := latencyEntry{name: key.block.String(), tenths: s.Changed.Latency[i]}
		if age := s.Changed.Stopped[i]; age > 0 {
			entry.stopped = now.Add(-time.Duration(age-1) * time.Second)
		}
		changes = append(changes, latencyUpdate{key: key, entry: entry})
	}
	removedKeys, ok := unpackKeys(s.Removed)
	for _, key := range removedKeys {
		changes = append(changes, latencyUpdate{key: key, remove: true})
	}
	return changes, ok
}

func unpackKeys(m *wirepb.Measurements) (keys []latencyKey, ok bool) {
	blocks := m.GetBlocks()
	for _, region := range m.GetRegion() {
		block, rest, ok := unpackBlock(blocks)
		if !ok || int(region) >= len(m.Regions) {
			return nil, false
		}
		keys = append(keys, latencyKey{block, m.Regions[region]})
		blocks = rest
	}
	return keys, len(blocks) == 0
}

func unpackBlock(blocks []byte) (block netip.Prefix, rest []byte, ok bool) {
	const ipv4Bytes, ipv6Bytes = 4, 16
	if len(blocks) == 0 {
		return block, nil, false
	}
	bits, size := int(blocks[0]), ipv4Bytes
	if bits&ipv6Block != 0 {
		bits, size = bits&^ipv6Block+1, ipv6Bytes
	}
	blocks = blocks[1:]
	if len(blocks) < size {
		return block, nil, false
	}
	address, _ := netip.AddrFromSlice(blocks[:size])
	block = netip.PrefixFrom(address, bits)
	return block, blocks[size:], block.IsValid()
}
