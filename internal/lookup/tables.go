package lookup

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/localstate"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
	"github.com/wisteriacrank/wisteriacrank/pkg/steering"
)

// tableCache holds the steering table of the latest view. Readers load the
// current table without a lock; it is nil until there is a configuration.
type tableCache struct {
	current atomic.Pointer[steering.Table]

	mu      sync.Mutex
	builder *steering.Builder
	input   steering.Input
	view    *localstate.View
	// weights returns the effective region weights of a view. If it is nil, the
	// document's weights apply.
	weights func(view *localstate.View, now time.Time) map[model.Region]float64
}

func newTableCache() *tableCache {
	return &tableCache{builder: steering.NewBuilder()}
}

// apply builds a table from a new view. A view without regions is ignored.
func (t *tableCache) apply(view *localstate.View, now time.Time) {
	if view.Document == nil || len(view.Document.Regions) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.view = view
	t.input = steering.Input{
		Generation:   view.Generation,
		Document:     view.Document,
		Hosts:        view.Hosts,
		Weights:      t.regionWeights(now),
		Measurements: measurements(view),
	}
	t.current.Store(t.builder.Build(t.input, now))
}

// refresh rebuilds the table if it has changed with time alone.
func (t *tableCache) refresh(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.view == nil {
		return
	}
	weights := t.regionWeights(now)
	if !t.builder.NeedsBuild(weights, now) {
		return
	}
	t.input.Weights, t.input.Measurements = weights, nil
	t.current.Store(t.builder.Build(t.input, now))
}

func (t *tableCache) regionWeights(now time.Time) map[model.Region]float64 {
	if t.weights == nil {
		return nil
	}
	return t.weights(t.view, now)
}

// measurements converts the latencies of a view. Entries whose block is not a
// valid prefix are skipped.
func measurements(view *localstate.View) []steering.Measurement {
	list := make([]steering.Measurement, 0, len(view.Latencies))
	for _, l := range view.Latencies {
		block, err := netip.ParsePrefix(l.Block)
		if err != nil {
			continue
		}
		list = append(list, steering.Measurement{
			Block:      block,
			Region:     model.Region(l.Region),
			Latency:    time.Duration(l.Millis * float64(time.Millisecond)),
			MeasuredAt: view.Received.Add(-time.Duration(l.AgeMillis) * time.Millisecond),
		})
	}
	return list
}
