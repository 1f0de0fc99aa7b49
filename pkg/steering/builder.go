package steering

import (
	"cmp"
	"maps"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wisteriacrank/wisteriacrank/pkg/document"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// decayInterval is the minimum time between two passes over all blocks while
// measured orders decay.
const decayInterval = 5 * time.Second

// Builder builds tables. It is not safe for concurrent use.
type Builder struct {
	doc     *document.Document
	weights map[model.Region]float64
	// regionHashes and effective have, per region of the document, the hash of
	// its name and its effective weight.
	regionHashes []uint64
	effective    []float64
	// lowestWeight is the lowest positive weight in the document, +Inf if there
	// is none.
	lowestWeight float64

	index   *blockIndex
	blocks  blockSet
	buckets blockSet

	hosts     []model.HostRecord
	fragments map[model.HostID]*fragment
	regions   []*regionHosts
	// live reports, per region, whether it has a usable host.
	live []bool

	services map[model.Service]struct{}
	names    []model.Region

	builtAt time.Time
	// decayChecked is the time of the last check for decaying orders.
	decayChecked time.Time
	// HostWeights has the relative weights of hosts within their region. A host
	// without an entry has weight 1. Set it before the first call of Build.
	HostWeights map[model.HostID]float64
}

// blockSet is the state of the indexed blocks or of the undeclared buckets.
type blockSet struct {
	states  []blockState
	entries []entry
	limit   moveLimit
	// dirty has the positions of blocks whose entry must be computed again.
	dirty []int32
}

// blockState is the state of one block that outlives a table.
type blockState struct {
	hash     uint64
	declared regionIndex
	// home is the current home region, target the one that the block moves to.
	home, target regionIndex
	measured     measuredOrder
}

// NewBuilder returns a builder without state.
func NewBuilder() *Builder {
	return &Builder{fragments: make(map[model.HostID]*fragment)}
}

// NeedsBuild reports whether the passage of time requires a new table: a move
// interval has ended while blocks wait for their move or the weights differ, or
// measured orders decay. Blocks move only at the ends of intervals, so the steps
// of a weight ramp within an interval need no build.
func (b *Builder) NeedsBuild(weights map[model.Region]float64, now time.Time) bool {
	if b.doc == nil {
		return false
	}
	if b.blocks.limit.steps(b.builtAt, now) > 0 {
		pending := func(s blockState) bool { return s.home != s.target }
		if !maps.Equal(weights, b.weights) || slices.ContainsFunc(b.blocks.states, pending) ||
			slices.ContainsFunc(b.buckets.states, pending) {
			return true
		}
	}
	return now.Sub(b.decayChecked) >= decayInterval && b.decaying(now)
}

func (b *Builder) decaying(now time.Time) bool {
	return slices.ContainsFunc(b.blocks.states, func(s blockState) bool { return s.measured.decaying(now) })
}

// Build returns a table for the input at the time now. The document must have at
// least one region. The times of successive calls must not decrease.
func (b *Builder) Build(in Input, now time.Time) *Table {
	b.move(now)
	mapChanged := b.applyDocument(in.Document)
	weightsChanged := mapChanged || !maps.Equal(in.Weights, b.weights)
	prefixes := b.prefixes(in, mapChanged)
	if prefixes != nil {
		b.setBlocks(prefixes)
	}
	if weightsChanged {
		b.setWeights(in.Weights)
	}
	b.applyMeasurements(in.Measurements, now)
	livenessChanged := b.setHosts(in.Hosts, mapChanged)
	all := prefixes != nil || weightsChanged || livenessChanged || b.needsDecayPass(now)
	b.refresh(all, now)
	b.builtAt = now
	return b.table(in.Generation)
}

// move applies the moves of the intervals that ended since the last build.
func (b *Builder) move(now time.Time) {
	if b.doc == nil {
		return
	}
	for _, set := range []*blockSet{&b.blocks, &b.buckets} {
		moved := set.limit.advance(set.states, set.limit.steps(b.builtAt, now))
		set.dirty = append(set.dirty, moved...)
	}
}

// prefixes returns the blocks to index if they differ from the indexed ones, or
// nil. If the region map changed, it omits indexed blocks that are neither
// declared nor measured.
func (b *Builder) prefixes(in Input, mapChanged bool) []netip.Prefix {
	var list []netip.Prefix
	for _, m := range in.Measurements {
		if m.Block.IsValid() && !b.indexed(m.Block.Masked()) {
			list = append(list, m.Block.Masked())
		}
	}
	if mapChanged {
		for _, block := range in.Document.Blocks {
			list = append(list, block.Prefix.Masked())
		}
	}
	if !mapChanged && len(list) == 0 {
		return nil
	}
	if b.index != nil {
		for i, p := range b.index.prefixes {
			if !mapChanged || len(b.blocks.states[i].measured.samples) > 0 {
				list = append(list, p)
			}
		}
	}
	if list == nil {
		list = []netip.Prefix{}
	}
	return list
}

func (b *Builder) indexed(p netip.Prefix) bool {
	if b.index == nil {
		return false
	}
	_, ok := b.index.position(p)
	return ok
}

// applyDocument stores a document and reports whether its region map (regions
// with weights, and blocks) changed. Most changes concern other parts, and a pass
// over all blocks for each of them would take a fifth of a core at the size that
// the system is designed for.
func (b *Builder) applyDocument(doc *document.Document) bool {
	previous := b.doc
	if doc == previous {
		return false
	}
	b.doc = doc
	b.services = make(map[model.Service]struct{}, len(doc.Services))
	for _, s := range doc.Services {
		b.services[s.Name] = struct{}{}
	}
	changed := previous == nil || !sameRegionMap(previous, doc)
	b.blocks.setLimit(doc, changed)
	b.buckets.setLimit(doc, changed)
	if changed {
		b.setRegions(previous)
	}
	return changed
}

func sameRegionMap(a, b *document.Document) bool {
	return slices.EqualFunc(a.Regions, b.Regions, func(x, y document.Region) bool {
		return x.Name == y.Name && x.Weight == y.Weight
	}) && slices.EqualFunc(a.Blocks, b.Blocks, func(x, y document.Block) bool {
		return x.Prefix == y.Prefix && x.Region == y.Region
	})
}

// setLimit applies the move limit of a document. The fractions carried over from
// the previous one are kept unless the region map changed.
func (s *blockSet) setLimit(doc *document.Document, mapChanged bool) {
	carry := s.limit.carry
	s.limit = newMoveLimit(doc)
	if !mapChanged {
		s.limit.carry = carry
	}
}

// setRegions applies the regions of the document and renumbers the block states
// of the previous one.
func (b *Builder) setRegions(previous *document.Document) {
	b.regionHashes = make([]uint64, len(b.doc.Regions))
	b.names = make([]model.Region, len(b.doc.Regions))
	for i, r := range b.doc.Regions {
		b.regionHashes[i] = xxhash.Sum64String(string(r.Name))
		b.names[i] = r.Name
	}
	b.regions = make([]*regionHosts, len(b.doc.Regions))
	b.live = make([]bool, len(b.doc.Regions))
	if previous != nil && !sameRegions(previous, b.doc) {
		b.renumber(previous)
	}
}

func sameRegions(a, b *document.Document) bool {
	return slices.EqualFunc(a.Regions, b.Regions, func(x, y document.Region) bool { return x.Name == y.Name })
}

// renumber replaces the region indexes of the previous document by those of the
// current one. A block whose home region was removed gets a new one at once.
func (b *Builder) renumber(previous *document.Document) {
	newIndexes := make([]regionIndex, len(previous.Regions))
	for i, r := range previous.Regions {
		newIndexes[i] = b.indexOf(r.Name)
	}
	for _, set := range []*blockSet{&b.blocks, &b.buckets} {
		for i := range set.states {
			set.states[i].renumber(newIndexes)
		}
	}
}

func (s *blockState) renumber(newIndexes []regionIndex) {
	if s.home != noRegion {
		s.home = newIndexes[s.home]
	}
	s.target = s.home
	s.measured.samples = slices.DeleteFunc(s.measured.samples, func(x sample) bool {
		return newIndexes[x.region] == noRegion
	})
	for i := range s.measured.samples {
		s.measured.samples[i].region = newIndexes[s.measured.samples[i].region]
	}
}

func (b *Builder) indexOf(name model.Region) regionIndex {
	for i, r := range b.doc.Regions {
		if r.Name == name {
			return regionIndex(i)
		}
	}
	return noRegion
}

// setBlocks rebuilds the index and keeps the states of blocks that were already
// indexed.
func (b *Builder) setBlocks(prefixes []netip.Prefix) {
	index := newBlockIndex(prefixes)
	states := make([]blockState, len(index.prefixes))
	for i, p := range index.prefixes {
		states[i] = blockState{hash: hashPrefix(p), declared: noRegion, home: noRegion, target: noRegion}
		if b.index == nil {
			continue
		}
		if old, ok := b.index.position(p); ok {
			states[i] = b.blocks.states[old]
			states[i].declared = noRegion
		}
	}
	for _, block := range b.doc.Blocks {
		if i, ok := index.position(block.Prefix.Masked()); ok {
			states[i].declared = b.indexOf(block.Region)
		}
	}
	// A measured block inside a declared one inherits its declared region.
	// Shorter blocks come first, so the parent is already set.
	for i, parent := range index.parents {
		if states[i].declared == noRegion && parent != noBlock {
			states[i].declared = states[parent].declared
		}
	}
	b.index, b.blocks.states = index, states
	if b.buckets.states == nil {
		b.buckets.states = newBuckets()
	}
}

func newBuckets() []blockState {
	states := make([]blockState, undeclaredBuckets)
	for i := range states {
		states[i] = blockState{hash: mix(uint64(i), homeSeed), declared: noRegion, home: noRegion, target: noRegion}
	}
	return states
}

func (b *Builder) setWeights(weights map[model.Region]float64) {
	b.weights = maps.Clone(weights)
	b.effective = make([]float64, len(b.doc.Regions))
	b.lowestWeight = math.Inf(1)
	for i, r := range b.doc.Regions {
		b.effective[i] = r.Weight
		if w, ok := weights[r.Name]; ok {
			b.effective[i] = w
		}
		if r.Weight > 0 {
			b.lowestWeight = min(b.lowestWeight, r.Weight)
		}
	}
}

// applyMeasurements applies measurements and marks the blocks whose order changed
// or became active again as dirty.
func (b *Builder) applyMeasurements(measurements []Measurement, now time.Time) {
	for _, m := range measurements {
		region := b.indexOf(m.Region)
		if region == noRegion || !m.Block.IsValid() {
			continue
		}
		i, ok := b.index.position(m.Block.Masked())
		if !ok {
			continue
		}
		s := &b.blocks.states[i]
		resumed := !s.measured.active(s.hash, now)
		changed := s.measured.add(region, microsOf(m.Latency), m.MeasuredAt.UnixNano())
		if changed || resumed {
			b.blocks.dirty = append(b.blocks.dirty, int32(i))
		}
	}
}

// needsDecayPass reports whether the decay of measured orders needs a new pass
// over all blocks.
func (b *Builder) needsDecayPass(now time.Time) bool {
	if now.Sub(b.decayChecked) < decayInterval {
		return false
	}
	b.decayChecked = now
	return b.decaying(now)
}

// setHosts rebuilds the host lists of the regions whose hosts changed, and
// reports whether a region became usable or unusable.
func (b *Builder) setHosts(records []model.HostRecord, mapChanged bool) bool {
	if !mapChanged && sameSlice(records, b.hosts) {
		return false
	}
	b.hosts = records
	level := levelNone
	for _, h := range records {
		level = max(level, levelOf(h))
	}
	members := make([][]member, len(b.regions))
	for _, h := range records {
		if region := b.indexOf(h.Region); region != noRegion && h.State != model.HostLeft {
			m := b.member(h)
			m.usable = level != levelNone && levelOf(h) == level
			members[region] = append(members[region], m)
		}
	}
	changed := mapChanged
	for i, list := range members {
		slices.SortFunc(list, func(x, y member) int { return cmp.Compare(x.id, y.id) })
		if b.regions[i] == nil || !slices.Equal(list, b.regions[i].members) {
			b.regions[i] = newRegionHosts(list)
		}
		live := b.regions[i].usable > 0
		changed = changed || live != b.live[i]
		b.live[i] = live
	}
	b.pruneFragments(records)
	return changed
}

func sameSlice(a, b []model.HostRecord) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// member returns the host with its rendered text. Tables share the text until it
// changes.
func (b *Builder) member(h model.HostRecord) member {
	host := Host{
		ID:            h.Host,
		Address:       h.CallerAddress,
		Region:        h.Region,
		FailureDomain: h.FailureDomain,
		Incarnation:   h.EntryIncarnation,
	}
	f := b.fragments[h.Host]
	if f == nil || f.host != host {
		f = newFragment(host)
		b.fragments[h.Host] = f
	}
	weight, ok := b.HostWeights[h.Host]
	if !ok {
		weight = 1
	}
	return member{id: h.Host, fragment: f, weight: weight}
}

func (b *Builder) pruneFragments(records []model.HostRecord) {
	if len(b.fragments) <= len(records) {
		return
	}
	current := make(map[model.HostID]bool, len(records))
	for _, h := range records {
		current[h.Host] = true
	}
	maps.DeleteFunc(b.fragments, func(id model.HostID, _ *fragment) bool { return !current[id] })
}

func (b *Builder) table(generation model.Generation) *Table {
	t := &Table{
		generation: generation,
		services:   b.services,
		names:      b.names,
		index:      b.index,
		blocks:     b.blocks.entries,
		undeclared: b.buckets.entries,
		regions:    slices.Clone(b.regions),
	}
	for _, r := range b.doc.Regions {
		t.jsonHeads = append(t.jsonHeads, newJSONHead(generation, b.doc.Environment.CacheTime, r.Name))
	}
	return t
}
