package steering

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"
	"sort"
)

// address is an address of one family in a form that can be ordered.
type address struct{ hi, lo uint64 }

func addressOf(a netip.Addr) address {
	if a.Is4() {
		b := a.As4()
		return address{lo: uint64(binary.BigEndian.Uint32(b[:]))}
	}
	b := a.As16()
	return address{hi: binary.BigEndian.Uint64(b[:8]), lo: binary.BigEndian.Uint64(b[8:])}
}

func (a address) compare(b address) int {
	if c := cmp.Compare(a.hi, b.hi); c != 0 {
		return c
	}
	return cmp.Compare(a.lo, b.lo)
}

// after returns the first address after a prefix; ok is false if the prefix
// reaches the end of the address space.
func after(p netip.Prefix) (address, bool) {
	a, width := addressOf(p.Addr()), p.Addr().BitLen()
	hostBits := width - p.Bits()
	limit := address{}
	switch {
	case width == 32:
		limit.lo = a.lo + 1<<hostBits
		return limit, limit.lo < 1<<32
	case hostBits < 64:
		limit = address{hi: a.hi, lo: a.lo + 1<<hostBits}
		if limit.lo == 0 {
			limit.hi++
		}
	default:
		limit.hi = a.hi + 1<<(hostBits-64)
	}
	return limit, limit.compare(a) > 0
}

// noBlock marks a range that no block contains.
const noBlock = int32(-1)

// ranges maps the addresses of one family to the smallest block that contains
// them: range i covers the addresses from starts[i] up to but not including
// starts[i+1].
type ranges struct {
	starts []address
	blocks []int32
}

func (r *ranges) add(start address, block int32) {
	if n := len(r.starts); n > 0 && r.starts[n-1] == start {
		r.blocks[n-1] = block
		return
	}
	r.starts = append(r.starts, start)
	r.blocks = append(r.blocks, block)
}

func (r *ranges) find(a address) int32 {
	low, high := 0, len(r.starts)
	for low < high {
		middle := int(uint(low+high) >> 1)
		if r.starts[middle].compare(a) <= 0 {
			low = middle + 1
		} else {
			high = middle
		}
	}
	if low == 0 {
		return noBlock
	}
	return r.blocks[low-1]
}

// blockIndex finds the longest matching prefix in a set of blocks. It is immutable.
type blockIndex struct {
	prefixes []netip.Prefix
	// parents has, per block, the longest other block that contains it.
	parents []int32
	v4, v6  ranges
}

// newBlockIndex returns an index of masked prefixes. The position of a prefix
// in the index is its position in the sorted field prefixes.
func newBlockIndex(prefixes []netip.Prefix) *blockIndex {
	sorted := slices.Clone(prefixes)
	slices.SortFunc(sorted, comparePrefixes)
	sorted = slices.Compact(sorted)
	x := &blockIndex{prefixes: sorted, parents: make([]int32, len(sorted))}
	split := sort.Search(len(sorted), func(i int) bool { return sorted[i].Addr().Is6() })
	x.fill(&x.v4, 0, split)
	x.fill(&x.v6, split, len(sorted))
	return x
}

func comparePrefixes(a, b netip.Prefix) int {
	if c := a.Addr().Compare(b.Addr()); c != 0 {
		return c
	}
	return cmp.Compare(a.Bits(), b.Bits())
}

// fill turns the nested blocks in [first, last) into flat ranges.
func (x *blockIndex) fill(r *ranges, first, last int) {
	var open []int32
	closeTop := func() {
		top := open[len(open)-1]
		open = open[:len(open)-1]
		outer := noBlock
		if len(open) > 0 {
			outer = open[len(open)-1]
		}
		if end, ok := after(x.prefixes[top]); ok {
			r.add(end, outer)
		}
	}
	for i := first; i < last; i++ {
		p := x.prefixes[i]
		for len(open) > 0 && !x.prefixes[open[len(open)-1]].Contains(p.Addr()) {
			closeTop()
		}
		x.parents[i] = noBlock
		if len(open) > 0 {
			x.parents[i] = open[len(open)-1]
		}
		r.add(addressOf(p.Addr()), int32(i))
		open = append(open, int32(i))
	}
	for len(open) > 0 {
		closeTop()
	}
}

// find returns the longest block that contains the whole prefix.
func (x *blockIndex) find(p netip.Prefix) int32 {
	r := &x.v6
	if p.Addr().Is4() {
		r = &x.v4
	}
	block := r.find(addressOf(p.Addr()))
	for block != noBlock && x.prefixes[block].Bits() > p.Bits() {
		block = x.parents[block]
	}
	return block
}

// position returns the position of an exact prefix in the index.
func (x *blockIndex) position(p netip.Prefix) (int, bool) {
	return slices.BinarySearchFunc(x.prefixes, p, comparePrefixes)
}
