// Package steering decides which entry hosts each caller should use. It builds
// an immutable lookup table from the operators' document, the host records, the
// platform's latency measurements and the effective region weights.
//
// A Builder keeps the state that outlives one table (filtered measurements
// and the current home region of each client block) and is not safe for
// concurrent use. A Table is immutable and safe for concurrent use. Successive
// tables share unchanged parts: a change of one host's state rebuilds only the
// host lists of its region.
package steering

import (
	"net/netip"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/document"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// Input is the data that a table is built from.
type Input struct {
	Generation model.Generation
	// Document is compared by pointer; a changed document must be a new value.
	Document *document.Document
	// Hosts is compared by the address of its first element and its length;
	// changed records must be in a new slice.
	Hosts []model.HostRecord
	// Weights are the effective region weights; the caller of Build applies
	// the ramp. A region without an entry has the document's weight.
	Weights map[model.Region]float64
	// Measurements may repeat earlier ones; a measurement that is not newer
	// than the last one of its block and region is ignored.
	Measurements []Measurement
}

// Measurement is one measured latency between a client block and a region.
type Measurement struct {
	Block      netip.Prefix
	Region     model.Region
	Latency    time.Duration
	MeasuredAt time.Time
}

const (
	// homeHosts and otherHosts are the maximum numbers of hosts in one response
	// from the first region and from each other region. The caller needs a few
	// alternatives, but listing a whole region makes the response too long.
	homeHosts  = 4
	otherHosts = 2
	// responseRegions is the maximum number of regions in one response.
	responseRegions = 3
)

// regionIndex is the position of a region in the document's list of regions.
type regionIndex uint16

// noRegion marks an unused element in a list of regions.
const noRegion = ^regionIndex(0)
