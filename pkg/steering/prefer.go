package steering

import (
	"slices"
	"time"
)

// refresh works out the entries of all blocks or of those that changed. The
// entries of earlier tables are not touched.
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

// entry works out target and answer of one block. order is scratch space.
func (b *Builder) entry(s *blockState, order []regionIndex, now time.Time) entry {
	order, weighted := b.preference(s, order[:0], now)
	s.target = b.choose(s, order, weighted)
	if s.home == noRegion {
		s.home = b.firstHome(s, order, weighted)
	}
	const hashBits = 32
	e := entry{hash: uint32(s.hash >> hashBits), home: s.home}
	e.regions = b.named(s.home, order)
	return e
}

// preference appends the regions in the block's order. weighted says that the
// first one was drawn by weight.
func (b *Builder) preference(s *blockState, order []regionIndex, now time.Time) (_ []regionIndex, weighted bool) {
	if s.measured.inForce(s.hash, now) {
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

// draw chooses the home region of a block that has none, by weight.
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

// choose returns the region that the block belongs to: the first one in its
// order that is alive and takes the block.
func (b *Builder) choose(s *blockState, order []regionIndex, weighted bool) regionIndex {
	fallback := noRegion
	for place, region := range order {
		if !b.alive[region] {
			continue
		}
		if fallback == noRegion {
			fallback = region
		}
		if weighted && place == 0 || b.takes(region, s.hash) {
			return region
		}
	}
	if fallback == noRegion {
		return order[0]
	}
	return fallback
}

// firstHome returns the home region of a block that is new to this builder. It
// does not depend on which regions are alive: a look-up host that starts while
// a region is dead moves its blocks at the cap, like the others.
func (b *Builder) firstHome(s *blockState, order []regionIndex, weighted bool) regionIndex {
	for place, region := range order {
		if weighted && place == 0 || b.takes(region, s.hash) {
			return region
		}
	}
	return order[0]
}

// takes says whether a region is home of the block if the block prefers it.
// The weight of a region does not divide declared or measured blocks, but a
// region whose weight falls to 0 gives up its blocks as the weight falls.
func (b *Builder) takes(region regionIndex, blockHash uint64) bool {
	if b.effective[region] >= b.lowest {
		return true
	}
	return unit(mix(mix(blockHash, acceptSeed), b.regionHashes[region])) < b.effective[region]/b.lowest
}

// named returns the regions of the answer: the home region, then the others in
// the block's order. Regions without usable hosts are left out, and those of
// weight 0 while there are others.
func (b *Builder) named(home regionIndex, order []regionIndex) [answerRegions]regionIndex {
	list := [answerRegions]regionIndex{noRegion, noRegion, noRegion}
	count := 0
	add := func(region regionIndex) {
		if count < len(list) && b.alive[region] && !slices.Contains(list[:count], region) {
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
