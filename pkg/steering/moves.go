package steering

import (
	"slices"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/document"
)

// moveLimit bounds how many blocks change their home region per interval.
//
// Intervals are counted from the Unix epoch and blocks move in the order of
// their hash, so look-up hosts that know the same state move the same blocks
// at the same time without talking to each other. A change that becomes known
// inside an interval takes its first step at the next boundary; therefore no
// period of one interval sees two steps.
type moveLimit struct {
	interval time.Duration
	// shares has, per region, the share of all blocks that may move to it in
	// one interval.
	shares []float64
	// carry has the unused fraction of a block per region.
	carry []float64
}

// newMoveLimit takes the cap from the document. The cap is a share of the
// receiving region's slots; its share of all slots stands for its share of
// all blocks.
func newMoveLimit(doc *document.Document) moveLimit {
	slots := make([]float64, len(doc.Regions))
	total := 0.0
	for _, server := range doc.Servers {
		i := slices.IndexFunc(doc.Regions, func(r document.Region) bool { return r.Name == server.Region })
		if i >= 0 && !server.Drain {
			slots[i] += float64(server.Slots)
			total += float64(server.Slots)
		}
	}
	limit := moveLimit{
		interval: doc.Environment.MoveInterval,
		shares:   make([]float64, len(slots)),
		carry:    make([]float64, len(slots)),
	}
	for i := range slots {
		// A region without servers has nothing that the cap protects; an
		// equal share lets its blocks move at all.
		share := 1 / float64(len(slots))
		if slots[i] > 0 {
			share = slots[i] / total
		}
		limit.shares[i] = doc.Environment.MoveCap * share
	}
	return limit
}

// steps counts the boundaries of intervals between two times.
func (l *moveLimit) steps(from, to time.Time) int64 {
	if l.interval <= 0 || !to.After(from) {
		return 0
	}
	return to.UnixNano()/int64(l.interval) - from.UnixNano()/int64(l.interval)
}

// advance moves blocks whose target is another region and returns their
// positions. Each region takes at most its share per step.
func (l *moveLimit) advance(blocks []blockState, steps int64) []int32 {
	if steps <= 0 {
		return nil
	}
	waiting := make([][]int32, len(l.shares))
	for i := range blocks {
		if b := &blocks[i]; b.home != b.target {
			waiting[b.target] = append(waiting[b.target], int32(i))
		}
	}
	var moved []int32
	for region, list := range waiting {
		moved = append(moved, l.advanceTo(region, list, blocks, steps)...)
	}
	return moved
}

func (l *moveLimit) advanceTo(region int, waiting []int32, blocks []blockState, steps int64) []int32 {
	if len(waiting) == 0 {
		l.carry[region] = 0
		return nil
	}
	allowed := l.shares[region]*float64(len(blocks))*float64(steps) + l.carry[region]
	count := min(int(allowed), len(waiting))
	l.carry[region] = allowed - float64(int(allowed))
	slices.SortFunc(waiting, func(i, j int32) int {
		return compareMoves(blocks[i].hash, blocks[j].hash)
	})
	for _, i := range waiting[:count] {
		blocks[i].home = blocks[i].target
	}
	return waiting[:count]
}

func compareMoves(a, b uint64) int {
	x, y := mix(a, moveSeed), mix(b, moveSeed)
	switch {
	case x < y:
		return -1
	case x > y:
		return 1
	}
	return 0
}
