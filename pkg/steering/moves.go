package steering

import (
	"slices"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/document"
)

// moveLimit bounds how many blocks change their home region per interval.
//
// Intervals are counted from the Unix epoch and blocks move in the order of
// their hash, so lookup hosts with the same state move the same blocks at the
// same time without coordination. A change that arrives within an interval
// takes its first step at the next boundary, so no period of one interval
// contains two steps.
type moveLimit struct {
	interval time.Duration
	// shares has, per region, the share of all blocks (0 to 1) that may move to
	// it in one interval.
	shares []float64
	// carry has, per region, the fraction of a block left over from earlier
	// steps.
	carry []float64
}

// newMoveLimit returns the limit for the document's cap. The cap is a share of
// the receiving region's slots; the region's share of all slots stands in for
// its share of all blocks.
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
		// A region without servers has no slots for the cap to protect. An
		// equal share lets blocks move there; a share of 0 would stop them.
		share := 1 / float64(len(slots))
		if slots[i] > 0 {
			share = slots[i] / total
		}
		limit.shares[i] = doc.Environment.MoveCap * share
	}
	return limit
}

// steps returns the number of interval boundaries between two times.
func (l *moveLimit) steps(from, to time.Time) int64 {
	if l.interval <= 0 || !to.After(from) {
		return 0
	}
	return to.UnixNano()/int64(l.interval) - from.UnixNano()/int64(l.interval)
}

// advance moves blocks whose target is another region and returns the positions
// of the moved ones. Each region receives at most its share per step.
func (l *moveLimit) advance(blocks []blockState, steps int64) []int32 {
	if steps <= 0 {
		return nil
	}
	pending := make([][]int32, len(l.shares))
	for i := range blocks {
		if b := &blocks[i]; b.home != b.target {
			pending[b.target] = append(pending[b.target], int32(i))
		}
	}
	var moved []int32
	for region, list := range pending {
		moved = append(moved, l.advanceTo(region, list, blocks, steps)...)
	}
	return moved
}

func (l *moveLimit) advanceTo(region int, pending []int32, blocks []blockState, steps int64) []int32 {
	if len(pending) == 0 {
		l.carry[region] = 0
		return nil
	}
	allowed := l.shares[region]*float64(len(blocks))*float64(steps) + l.carry[region]
	count := min(int(allowed), len(pending))
	l.carry[region] = allowed - float64(int(allowed))
	slices.SortFunc(pending, func(i, j int32) int {
		return compareMoveOrder(blocks[i].hash, blocks[j].hash)
	})
	for _, i := range pending[:count] {
		blocks[i].home = blocks[i].target
	}
	return pending[:count]
}

func compareMoveOrder(a, b uint64) int {
	x, y := mix(a, moveSeed), mix(b, moveSeed)
	switch {
	case x < y:
		return -1
	case x > y:
		return 1
	}
	return 0
}
