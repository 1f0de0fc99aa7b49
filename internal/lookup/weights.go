package lookup

import (
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/localstate"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
	"github.com/wisteriacrank/wisteriacrank/pkg/ramp"
)

// effectiveWeights returns the effective region weights at now. After a change
// of the document they approach the new weights no faster than its move cap
// allows.
func effectiveWeights(view *localstate.View, now time.Time) map[model.Region]float64 {
	after := make(map[model.Region]float64, len(view.Document.Regions))
	total := 0.0
	for _, r := range view.Document.Regions {
		after[r.Name] = r.Weight
		total += r.Weight
	}
	before := make(map[model.Region]float64)
	for name, weight := range view.Meta.GetWeightsBefore() {
		before[model.Region(name)] = weight
	}
	accepted := time.UnixMilli(view.Meta.GetAcceptedUnixMillis())
	environment := view.Document.Environment
	weights := ramp.Effective(before, after, accepted, environment.MoveCap, environment.MoveInterval, now)
	// ramp.Effective returns shares that sum to 1; the table compares weights
	// with those of the document.
	for name := range weights {
		weights[name] *= total
	}
	return weights
}
