package steering

import (
	"net/netip"

	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// undeclaredBuckets is the number of buckets that client blocks without a
// declaration or a measurement are hashed into. Each bucket has one home region,
// so region weights are met to within one part in this number.
const undeclaredBuckets = 4096

// entry is the lookup result of one block or bucket.
type entry struct {
	hash    uint32
	home    regionIndex
	regions [responseRegions]regionIndex
}

// Table maps client blocks to entry hosts. It is immutable.
//
// Callers send the home region of a response with each request, so the receiving
// dispatchers see it. While a region is dead, its blocks move to new home regions
// at the rate of the move cap. A block that has not moved yet keeps the dead
// region as its home region and gets live hosts of the next regions in its
// order: its callers are served at once, and the receiving dispatchers count
// its requests as moved work and limit them by their own cap.
type Table struct {
	generation model.Generation
	services   map[model.Service]struct{}
	names      []model.Region
	jsonHeads  [][]byte
	index      *blockIndex
	blocks     []entry
	undeclared []entry
	regions    []*regionHosts
}

// Response lists the entry hosts for one client block. It refers to its table.
type Response struct {
	table *Table
	home  regionIndex
	count int
	hosts [homeHosts + otherHosts*(responseRegions-1)]*fragment
}

// Generation returns the generation of the document that the table was built from.
func (t *Table) Generation() model.Generation { return t.generation }

// HasService reports whether the document has the service.
func (t *Table) HasService(service model.Service) bool {
	_, ok := t.services[service]
	return ok
}

// Lookup returns the hosts for a client block: those of the longest indexed
// block that contains it. It takes no lock and does not allocate.
func (t *Table) Lookup(block netip.Prefix) Response {
	block = block.Masked()
	var e *entry
	if i := t.index.find(block); i != noBlock {
		e = &t.blocks[i]
	} else {
		e = &t.undeclared[hashPrefix(block)%undeclaredBuckets]
	}
	r := Response{table: t, home: e.home}
	for i, region := range e.regions {
		if region != noRegion {
			r.add(t.regions[region], e.hash, i == 0)
		}
	}
	return r
}

func (r *Response) add(region *regionHosts, blockHash uint32, first bool) {
	limit := otherHosts
	if first {
		limit = homeHosts
	}
	list := region.hosts(blockHash)
	for _, i := range list[:limit] {
		if i != noHost {
			r.hosts[r.count] = region.members[i].fragment
			r.count++
		}
	}
}

// HomeRegion returns the home region of the block.
func (r *Response) HomeRegion() model.Region { return r.table.names[r.home] }

// Len returns the number of hosts.
func (r *Response) Len() int { return r.count }

// Host returns the host at position i. Position 0 has the most preferred host.
func (r *Response) Host(i int) Host { return r.hosts[i].host }
