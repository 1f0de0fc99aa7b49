package lookup

import (
	"testing"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/localstate"
	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
	"github.com/wisteriacrank/wisteriacrank/pkg/document"
)

// Guards against effective weights on another scale than the document's: the
// table would treat each region as partly drained and move blocks (half of them with
// two equal regions) without any change of the document.
func TestWeightsAfterTheRampAreThoseOfTheDocument(t *testing.T) {
	doc := &document.Document{
		Environment: document.Environment{MoveCap: 0.1, MoveInterval: time.Second},
		Regions:     []document.Region{{Name: "bagmati", Weight: 1}, {Name: "gandaki", Weight: 3}},
	}
	for _, before := range []map[string]float64{nil, {"bagmati": 5, "gandaki": 1}} {
		view := &localstate.View{Document: doc, Meta: &wirepb.ConfigMeta{WeightsBefore: before}}
		weights := effectiveWeights(view, time.Unix(3600, 0))
		if weights["bagmati"] != 1 || weights["gandaki"] != 3 {
			t.Errorf("before %v: weights %v", before, weights)
		}
	}
}
