package envobject

import (
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/document"
	"github.com/wisteriacrank/wisteriacrank/pkg/ramp"
)

// Change is a change of an environment's object that is about to be written.
type Change struct {
	Document string
	WriteID  string
	Author   string
	// Source is the version of the other environment that is promoted.
	Source uint64
	// Accepted is the acceptance time.
	Accepted time.Time
}

// Next returns the object that results from the change of the previous object,
// which has the given version. previous is nil if there is none.
func Next(previous *Object, version uint64, c Change) Object {
	next := Object{
		Document:           c.Document,
		AcceptedUnixMillis: c.Accepted.UnixMilli(),
		Writes:             []Write{{ID: c.WriteID, Author: c.Author, AcceptedUnixMillis: c.Accepted.UnixMilli(), Source: c.Source}},
	}
	if previous == nil {
		return next
	}
	next.WeightsBefore = previous.EffectiveWeights(c.Accepted)
	older := append([]Write(nil), previous.Writes...)
	if len(older) > 0 {
		older[0].Version = version
	}
	next.Writes = append(next.Writes, older...)
	next.Writes = next.Writes[:min(len(next.Writes), maxWrites)]
	return next
}

// EffectiveWeights returns the effective region shares at now. If this release
// refuses a document that an older one accepted, it returns the shares before that
// document, so that the document can still be replaced.
func (o Object) EffectiveWeights(now time.Time) map[string]float64 {
	doc, err := document.Parse(o.Document)
	if err != nil {
		return o.WeightsBefore
	}
	after := make(map[string]float64, len(doc.Regions))
	for _, region := range doc.Regions {
		after[string(region.Name)] = region.Weight
	}
	e := doc.Environment
	return ramp.Effective(o.WeightsBefore, after, o.Accepted(), e.MoveCap, e.MoveInterval, now)
}
