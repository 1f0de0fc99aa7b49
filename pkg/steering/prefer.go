package steering

import (
	"slices"
	"time"
)

// refresh computes the entries of all blocks or only of those that changed. The
// entries of earlier tables are not modified.
func (b *Builder) refresh(all bool, now time.Time) {
	for _, set := range []*blockSet{&b.blocks, &b.buckets} {
		b.refreshSet(set, all, now)
		set.dirty = nil
	}
}

func (b *Builder) refreshSet(set *blockSet, all bool, now time.Time) {
	order := make([]regionIndex, 0, len(b.doc.Regions))
	if all || len(set.entries) != len(set.states) {
		set.entries = make([]entry, len(set.states))
		for i := range set.states {
			set.entries[i] = b.entry(&set.states[i], order, now)
		}
		return
	}
	if len(set.dirty) == 0 {
		return
	}
	set.entries = slices.Clone(set.entries)
	for _, i := range set.dirty {
		set.entries[i] = b.entry(&set.states[i], order, now)
	}
}

// entry updates the target of one block and returns its entry. order is scratch
// space.
func (b *Builder) entry(s *blockState, order []regionIndex, now time.Time) entry {
	order, weighted := b.preference(s, order[:0], now)
	s.target = b.chooseTarget(s, order, weighted)
	if s.home == noRegion {
		s.home = b.firstHome(s, order, weighted)
	}
	const hashBits = 32
	e := entry{hash: uint32(s.hash >> hashBits), home: s.home}
	e.regions = b.listRegions(s.home, order)
	return e
}

// preference appends the regions to order, in the block's order of preference.
// weighted reports that the first one was drawn by weight.
func (b *Builder) preference(s *blockState, order []regionIndex, now time.Time) (_ []regionIndex, weighted bool) {
	if s.measured.active(s.hash, now) {
		for _, m := range s.measured.samples {
			order = append(order, m.region)
		}
	} else if s.declared == noRegion {
		order = append(order, b.draw(s.hash))
		weighted = true
	}
	if s.declared != noRegion && !slices.Contains(order, s.declared) {
		order = append(order, s.declared)
	}
	for i := range b.doc.Regions {
		if !slices.Contains(order, regionIndex(i)) {
			order = append(order, regionIndex(i))
		}
	}
	return order, weighted
}

// draw chooses a region by weight for a block that has neither an active measured
// order nor a declared region. The choice depends only on the block's hash and the
// weights.
func (b *Builder) draw(blockHash uint64) regionIndex {
	var drawn regionIndex
	highest := weightedScore(mix(blockHash, b.regionHashes[0]), b.effective[0])
	for i := 1; i < len(b.effective); i++ {
		if score := weightedScore(mix(blockHash, b.regionHashes[i]), b.effective[i]); score > highest {
			drawn, highest = regionIndex(i), score
		}
	}
	return drawn
}

// chooseTarget returns the region that the block should move to: the first one
// in its order that is live and accepts the block.
func (b *Builder) chooseTarget(s *blockState, order []regionIndex, weighted bool) regionIndex {
	fallback := noRegion
	for i, region := range order {
		if !b.live[region] {
			continue
		}
		if fallback == noRegion {
			fallback = region
		}
		if weighted && i == 0 || b.accepts(region, s.hash) {
			return region
		}
	}
	if fallback == noRegion {
		return order[0]
	}
	return fallback
}

// firstHome returns the initial home region of a block that is new to this
// builder. It does not depend on which regions are live, so a lookup host that
// starts while a region is dead moves its blocks at the cap like the others.
func (b *Builder) firstHome(s *blockState, order []regionIndex, weighted bool) regionIndex {
	for i, region := range order {
		if weighted && i == 0 || b.accepts(region, s.hash) {
			return region
		}
	}
	return order[0]
}

// accepts reports whether a region becomes the home of a block that prefers it.
// Declared and measured blocks are not distributed by weight, but a region whose
// effective weight is below the lowest positive weight of the document accepts
// only the corresponding share of them, so a ramp to 0 moves its blocks away
// gradually.
func (b *Builder) accepts(region regionIndex, blockHash uint64) bool {
	if b.effective[region] >= b.lowestWeight {
		return true
	}
	return unit(mix(mix(blockHash, acceptSeed), b.regionHashes[region])) < b.effective[region]/b.lowestWeight
}

// listRegions returns the regions of the response: the home region, then the
// others in the block's order. It omits regions without usable hosts, and other
// regions of weight 0 unless the list would be empty.
func (b *Builder) listRegions(home regionIndex, order []regionIndex) [responseRegions]regionIndex {
	list := [responseRegions]regionIndex{noRegion, noRegion, noRegion}
	count := 0
	add := func(region regionIndex) {
		if count < len(list) && b.live[region] && !slices.Contains(list[:count], region) {
			list[count] = region
			count++
		}
	}
	add(home)
	for _, region := range order {
		if b.effective[region] > 0 {
			add(region)
		}
	}
	if count == 0 {
		for _, region := range order {
			add(region)
		}
	}
	return list
}
