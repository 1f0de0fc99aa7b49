// Package steering decides which entry hosts a caller is told to use. It
// builds an immutable look-up table from the operators' document, the host
// records, the platform's latency measurements and the effective region
// weights.
//
// A Builder keeps the state that outlives one table (filtered measurements
// and the current home region of each client block) and is not safe for
// concurrent use. A Table is immutable and safe for concurrent use. Tables
// share what did not change between two builds: a change of one host's state
// rebuilds only the host lists of its region.
package steering

import (
	"net/netip"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/document"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// Input is everything that a table is built from.
type Input struct {
	Generation model.Generation
	// Document is compared by pointer; a changed document is a new value.
	Document *document.Document
	// Hosts is compared by its first element and length; changed records come
	// in a new slice.
	Hosts []model.HostRecord
	// Weights are the effective region weights, ramped by the caller. A
	// region without an entry has the document's weight.
	Weights map[model.Region]float64
	// Measurements may repeat earlier ones; a measurement that is not newer
	// than the last one of its block and region is ignored.
	Measurements []Measurement
}

// Measurement is one latency between a client block and a region.
type Measurement struct {
	Block      netip.Prefix
	Region     model.Region
	Latency    time.Duration
	MeasuredAt time.Time
}

const (
	// homeHosts and otherHosts bound the hosts of one answer: the caller needs
	// a few alternatives, and an answer that names a whole region is too long.
	homeHosts  = 4
	otherHosts = 2
	// answerRegions is the number of regions that one answer names.
	answerRegions = 3
)

// regionIndex is the position of a region in the document.
type regionIndex uint16

// noRegion marks an unused place in a list of regions.
const noRegion = ^regionIndex(0)
