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

// fadeInterval is the least time between two passes over all blocks while
// measured orders decay.
const fadeInterval = 5 * time.Second

// Builder builds tables. It is not safe for concurrent use.
type Builder struct {
	doc     *document.Document
	weights map[model.Region]float64
	// regionHashes, effective and lowest are per region of the document:
	// the hash of its name, its weight in force, and the lowest positive
	// weight of the document.
	regionHashes []uint64
	effective    []float64
	lowest       float64

	index   *blockIndex
	blocks  blockSet
	buckets blockSet

	hosts     []model.HostRecord
	fragments map[model.HostID]*fragment
	regions   []*regionHosts
	alive     []bool

	services map[model.Service]struct{}
	names    []model.Region

	builtAt time.Time
	// checked is the time of the last pass over all blocks.
	checked time.Time
	// HostWeights are the relative shares of hosts within their region. A
	// host without an entry has weight 1. Set it before the first Build.
	HostWeights map[model.HostID]float64
}

// blockSet is the state of declared blocks or of undeclared buckets.
type blockSet struct {
	states  []blockState
	entries []entry
	limit   moveLimit
	dirty   []int32
}

// blockState is what outlives a table of one block.
type blockState struct {
	hash     uint64
	declared regionIndex
	// home is the region in force, target the one that the block moves to.
	home, target regionIndex
	measured     measured
}

// NewBuilder returns a builder without state.
func NewBuilder() *Builder {
	return &Builder{fragments: make(map[model.HostID]*fragment)}
}

// NeedsBuild reports whether time has changed the table: an interval ended in which
// blocks waited for their move or the weights changed, or measured orders
// decay. Between the ends of intervals no block moves, so a ramp of the weights
// needs no build for each of its steps.
func (b *Builder) NeedsBuild(weights map[model.Region]float64, now time.Time) bool {
	if b.doc == nil {
		return false
	}
	if b.blocks.limit.steps(b.builtAt, now) > 0 {
		waits := func(s blockState) bool { return s.home != s.target }
		if !maps.Equal(weights, b.weights) || slices.ContainsFunc(b.blocks.states, waits) ||
			slices.ContainsFunc(b.buckets.states, waits) {
			return true
		}
	}
	return now.Sub(b.checked) >= fadeInterval && b.fading(now)
}

func (b *Builder) fading(now time.Time) bool {
	return slices.ContainsFunc(b.blocks.states, func(s blockState) bool { return s.measured.fading(now) })
}

// Build returns a table for the input at the time now. The document must have
// a region. Times of successive calls do not go back.
func (b *Builder) Build(in Input, now time.Time) *Table {
	b.move(now)
	mapChanged := b.takeDocument(in.Document)
	weightsChanged := mapChanged || !maps.Equal(in.Weights, b.weights)
	prefixes := b.prefixes(in, mapChanged)
	if prefixes != nil {
		b.setBlocks(prefixes)
	}
	if weightsChanged {
		b.setWeights(in.Weights)
	}
	b.measure(in.Measurements, now)
	livenessChanged := b.setHosts(in.Hosts, mapChanged)
	all := prefixes != nil || weightsChanged || livenessChanged || b.mustFade(now)
	b.refresh(all, now)
	b.builtAt = now
	return b.table(in.Generation)
}

// move takes the steps of the intervals that ended since the last build.
func (b *Builder) move(now time.Time) {
	if b.doc == nil {
		return
	}
	for _, set := range []*blockSet{&b.blocks, &b.buckets} {
		moved := set.limit.advance(set.states, set.limit.steps(b.builtAt, now))
		set.dirty = append(set.dirty, moved...)
	}
}

// prefixes returns the blocks to index if they differ from the indexed ones,
// else nil. A changed map drops the blocks that it does not have, but
// not measured ones.
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

// takeDocument takes over a document and reports whether its map of regions
// and blocks changed. Most changes concern something else, and a pass over all
// blocks for each of them would take a fifth of a core at the size to design
// for.
func (b *Builder) takeDocument(doc *document.Document) bool {
	previous := b.doc
	if doc == previous {
		return false
	}
	b.doc = doc
	b.services = make(map[model.Service]struct{}, len(doc.Services))
	for _, s := range doc.Services {
		b.services[s.Name] = struct{}{}
	}
	changed := previous == nil || !sameMap(previous, doc)
	b.blocks.setLimit(doc, changed)
	b.buckets.setLimit(doc, changed)
	if changed {
		b.setRegions(previous)
	}
	return changed
}

func sameMap(a, b *document.Document) bool {
	return slices.EqualFunc(a.Regions, b.Regions, func(x, y document.Region) bool {
		return x.Name == y.Name && x.Weight == y.Weight
	}) && slices.EqualFunc(a.Blocks, b.Blocks, func(x, y document.Block) bool {
		return x.Prefix == y.Prefix && x.Region == y.Region
	})
}

// setLimit takes over the move limit of a document. What was not used of the
// previous one stays valid for the same regions.
func (s *blockSet) setLimit(doc *document.Document, mapChanged bool) {
	carry := s.limit.carry
	s.limit = newMoveLimit(doc)
	if !mapChanged {
		s.limit.carry = carry
	}
}

// setRegions takes over the regions of the document. Block states of the
// previous one are renumbered.
func (b *Builder) setRegions(previous *document.Document) {
	b.regionHashes = make([]uint64, len(b.doc.Regions))
	b.names = make([]model.Region, len(b.doc.Regions))
	for i, r := range b.doc.Regions {
		b.regionHashes[i] = xxhash.Sum64String(string(r.Name))
		b.names[i] = r.Name
	}
	b.regions = make([]*regionHosts, len(b.doc.Regions))
	b.alive = make([]bool, len(b.doc.Regions))
	if previous != nil && !sameRegions(previous, b.doc) {
		b.renumber(previous)
	}
}

func sameRegions(a, b *document.Document) bool {
	return slices.EqualFunc(a.Regions, b.Regions, func(x, y document.Region) bool { return x.Name == y.Name })
}

// renumber replaces region numbers of the previous document. A block whose
// home region is gone gets a new one at once.
func (b *Builder) renumber(previous *document.Document) {
	numbers := make([]regionIndex, len(previous.Regions))
	for i, r := range previous.Regions {
		numbers[i] = b.number(r.Name)
	}
	for _, set := range []*blockSet{&b.blocks, &b.buckets} {
		for i := range set.states {
			set.states[i].renumber(numbers)
		}
	}
}

func (s *blockState) renumber(numbers []regionIndex) {
	if s.home != noRegion {
		s.home = numbers[s.home]
	}
	s.target = s.home
	s.measured.samples = slices.DeleteFunc(s.measured.samples, func(x sample) bool {
		return numbers[x.region] == noRegion
	})
	for i := range s.measured.samples {
		s.measured.samples[i].region = numbers[s.measured.samples[i].region]
	}
}

func (b *Builder) number(name model.Region) regionIndex {
	for i, r := range b.doc.Regions {
		if r.Name == name {
			return regionIndex(i)
		}
	}
	return noRegion
}

// setBlocks rebuilds the index and carries over the states of known blocks.
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
			states[i].declared = b.number(block.Region)
		}
	}
	// A measured block inside a declared one has the declared home region.
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
	b.lowest = math.Inf(1)
	for i, r := range b.doc.Regions {
		b.effective[i] = r.Weight
		if w, ok := weights[r.Name]; ok {
			b.effective[i] = w
		}
		if r.Weight > 0 {
			b.lowest = min(b.lowest, r.Weight)
		}
	}
}

// measure takes over measurements and notes the blocks whose order changed.
func (b *Builder) measure(measurements []Measurement, now time.Time) {
	for _, m := range measurements {
		region := b.number(m.Region)
		if region == noRegion || !m.Block.IsValid() {
			continue
		}
		i, ok := b.index.position(m.Block.Masked())
		if !ok {
			continue
		}
		s := &b.blocks.states[i]
		resumed := !s.measured.inForce(s.hash, now)
		changed := s.measured.add(region, microsOf(m.Latency), m.MeasuredAt.UnixNano())
		if changed || resumed {
			b.blocks.dirty = append(b.blocks.dirty, int32(i))
		}
	}
}

// mustFade says whether the decay of measured orders needs a new pass.
func (b *Builder) mustFade(now time.Time) bool {
	if now.Sub(b.checked) < fadeInterval {
		return false
	}
	b.checked = now
	return b.fading(now)
}

// setHosts rebuilds the host lists of the regions whose hosts changed, and
// reports whether a region became usable or unusable.
func (b *Builder) setHosts(records []model.HostRecord, mapChanged bool) bool {
	if !mapChanged && sameSlice(records, b.hosts) {
		return false
	}
	b.hosts = records
	level := neverNamed
	for _, h := range records {
		level = max(level, levelOf(h))
	}
	members := make([][]member, len(b.regions))
	for _, h := range records {
		if region := b.number(h.Region); region != noRegion && h.State != model.HostLeft {
			m := b.member(h)
			m.usable = level != neverNamed && levelOf(h) == level
			members[region] = append(members[region], m)
		}
	}
	changed := mapChanged
	for i, list := range members {
		slices.SortFunc(list, func(x, y member) int { return cmp.Compare(x.id, y.id) })
		if b.regions[i] == nil || !slices.Equal(list, b.regions[i].members) {
			b.regions[i] = newRegionHosts(list)
		}
		alive := b.regions[i].usable > 0
		changed = changed || alive != b.alive[i]
		b.alive[i] = alive
	}
	b.forgetFragments(records)
	return changed
}

func sameSlice(a, b []model.HostRecord) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// member returns the host with its rendered text, which is shared as long as
// the text stays the same.
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

func (b *Builder) forgetFragments(records []model.HostRecord) {
	if len(b.fragments) <= len(records) {
		return
	}
	known := make(map[model.HostID]bool, len(records))
	for _, h := range records {
		known[h.Host] = true
	}
	maps.DeleteFunc(b.fragments, func(id model.HostID, _ *fragment) bool { return !known[id] })
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
		t.heads = append(t.heads, newHead(generation, b.doc.Environment.CacheTime, r.Name))
	}
	return t
}
