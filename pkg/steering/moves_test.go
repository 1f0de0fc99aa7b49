package steering

import (
	"testing"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/document"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// Guards against a dead region whose blocks move to another region faster than
// its cap allows, and against blocks without live hosts while they wait.
func TestDeadRegionMovesAtTheCap(t *testing.T) {
	const blocks = 3000
	f := newFixture(blocks, 4)
	f.build()
	f.setState(model.HostDead, inRegion("lis"))
	previous := map[model.Region]int{}
	for step := range 40 {
		table := f.after(5 * time.Second)
		counts := homes(table, blocks)
		// 10% of the receiving region's third of all slots.
		limit := blocks / 30
		for _, region := range []model.Region{"opo", "fnc"} {
			if grown := counts[region] - previous[region]; grown > limit {
				t.Fatalf("step %d: %s received %d blocks in 5 s, cap %d per 10 s", step, region, grown, limit)
			}
		}
		for i := range blocks {
			if got := firstRegion(table, blockAt(i)); got == "lis" {
				t.Fatalf("block %d: first host is in the dead region", i)
			}
		}
		previous = counts
	}
	if moved := previous["opo"]; moved < blocks/2 || moved > blocks*7/10 {
		t.Errorf("%d of %d blocks moved to opo in 20 intervals, at most %d each", moved, blocks, blocks/30)
	}
}

// Guards against lookup hosts that move different blocks, and against moves that
// start when a host learns of the cause instead of at an interval boundary.
func TestHostsMoveTheSameBlocks(t *testing.T) {
	const blocks = 2000
	a, b := newFixture(blocks, 4), newFixture(blocks, 4)
	a.in.Document = b.in.Document
	a.build()
	b.build()
	a.setState(model.HostDead, inRegion("lis"))
	b.setState(model.HostDead, inRegion("lis"))
	a.after(1 * time.Second)
	b.after(8 * time.Second)
	a.after(7 * time.Second)
	for range 10 {
		x, y := a.after(4*time.Second), b.after(4*time.Second)
		for i := range blocks {
			one, two := x.Lookup(blockAt(i)), y.Lookup(blockAt(i))
			if one.HomeRegion() != two.HomeRegion() {
				t.Fatalf("block %d: home regions %s and %s on two hosts", i, one.HomeRegion(), two.HomeRegion())
			}
		}
	}
	moved, half := homes(a.build(), blocks)["opo"], homes(a.build(), blocks/2)["opo"]
	if half < moved/3 || half > moved*2/3 || moved == 0 {
		t.Errorf("%d of %d moved blocks are in the lower half of the addresses; neighbours must not move together", half, moved)
	}
}

// Guards against a region that gets all its callers back at once after an
// outage, while its caches are cold.
func TestReturningRegionRecoversAtTheCap(t *testing.T) {
	const blocks = 300
	f := newFixture(blocks, 4)
	f.build()
	f.setState(model.HostDead, inRegion("lis"))
	for range 40 {
		f.after(10 * time.Second)
	}
	f.setState(model.HostReady, inRegion("lis"))
	if got := homes(f.after(time.Second), blocks)["lis"]; got != 0 {
		t.Errorf("%d blocks returned at once", got)
	}
	if got := homes(f.after(10*time.Second), blocks)["lis"]; got != blocks/30 {
		t.Errorf("%d blocks returned in the first interval, want %d", got, blocks/30)
	}
}

// Guards against a change of the document that moves all blocks at once.
func TestDocumentEditMovesAtTheCap(t *testing.T) {
	const blocks = 300
	f := newFixture(blocks, 4)
	f.build()
	edited := *f.in.Document
	edited.Blocks = nil
	for i := range blocks {
		edited.Blocks = append(edited.Blocks, document.Block{Prefix: blockAt(i), Region: "fnc"})
	}
	f.in.Document = &edited
	for step, want := range []int{0, 10, 20, 30} {
		if got := homes(f.build(), blocks)["fnc"]; got != want {
			t.Errorf("%d blocks moved after %d intervals, want %d", got, step, want)
		}
		f.now = f.now.Add(10 * time.Second)
	}
}

// Guards against undeclared blocks that are not distributed by weight, and
// against a weight change that moves more of them than necessary.
func TestUndeclaredBlocksFollowWeights(t *testing.T) {
	f := newFixture(0, 4)
	f.in.Document.Environment.MoveCap = 1
	f.in.Weights = map[model.Region]float64{"lis": 2, "opo": 1, "fnc": 1}
	share := func(table *Table) (count map[regionIndex]int) {
		count = make(map[regionIndex]int)
		for _, e := range table.undeclared {
			count[e.home]++
		}
		return count
	}
	before := f.build()
	if got := share(before)[0]; got < undeclaredBuckets*45/100 || got > undeclaredBuckets*55/100 {
		t.Errorf("%d of %d buckets in a region with half of the total weight", got, undeclaredBuckets)
	}
	f.in.Weights = map[model.Region]float64{"lis": 2, "opo": 1, "fnc": 0}
	for range 10 {
		f.after(10 * time.Second)
	}
	after := f.build()
	if got := share(after)[2]; got != 0 {
		t.Errorf("%d buckets in a region of weight 0", got)
	}
	for i := range after.undeclared {
		if from, to := before.undeclared[i].home, after.undeclared[i].home; from != 2 && from != to {
			t.Fatalf("bucket %d moved from region %d to %d although neither weight changed", i, from, to)
		}
	}
}

// Guards against declared blocks that stay in a region whose weight is ramped to
// 0, and against other weights that affect declared blocks.
func TestDeclaredBlocksLeaveRegionOfWeightZero(t *testing.T) {
	const blocks = 1000
	f := newFixture(blocks, 4)
	f.in.Document.Environment.MoveCap = 1
	f.in.Weights = map[model.Region]float64{"lis": 1, "opo": 5, "fnc": 1}
	if got := homes(f.build(), blocks)["lis"]; got != blocks {
		t.Errorf("%d of %d blocks have their declared region as home", got, blocks)
	}
	f.in.Weights = map[model.Region]float64{"lis": 0.5, "opo": 5, "fnc": 1}
	for range 10 {
		f.after(10 * time.Second)
	}
	if got := homes(f.build(), blocks)["lis"]; got < 450 || got > 550 {
		t.Errorf("%d of %d blocks remain at half of the weight", got, blocks)
	}
	f.in.Weights = map[model.Region]float64{"lis": 0, "opo": 5, "fnc": 1}
	for range 10 {
		f.after(10 * time.Second)
	}
	if got := homes(f.build(), blocks)["lis"]; got != 0 {
		t.Errorf("%d blocks remain at weight 0", got)
	}
}

// Guards against a block that keeps the index of a region that was removed or
// moved to another position.
func TestRegionsMayBeReordered(t *testing.T) {
	f := newFixture(20, 4)
	f.build()
	edited := *f.in.Document
	edited.Regions = []document.Region{f.in.Document.Regions[1], f.in.Document.Regions[0]}
	f.in.Document = &edited
	if got := homes(f.build(), 20)["lis"]; got != 20 {
		t.Errorf("%d of 20 blocks have home region lis", got)
	}
}
