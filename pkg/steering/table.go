package steering

import (
	"net/netip"

	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// undeclaredBuckets is the number of groups of client blocks that neither the
// document nor a measurement names. A group has one home region, so the
// weights of regions are met to one part in this number.
const undeclaredBuckets = 4096

// entry is what a look-up reads for one block.
type entry struct {
	hash    uint32
	home    regionIndex
	regions [answerRegions]regionIndex
}

// Table answers look-ups. It is immutable.
//
// The home region of an answer is the one that receiving dispatchers see with
// each request. While a region is dead, its blocks get the move cap's share of
// new home regions per interval. A block that has not moved yet keeps the dead
// region as its home region and gets live hosts of the next regions in its
// order: its callers are served at once, and the receiving dispatchers count
// its requests as moved work and limit them by their own cap.
type Table struct {
	generation model.Generation
	services   map[model.Service]struct{}
	names      []model.Region
	heads      [][]byte
	index      *blockIndex
	blocks     []entry
	undeclared []entry
	regions    []*regionHosts
}

// Response is the hosts for one client block. It refers to its table.
type Response struct {
	table *Table
	home  regionIndex
	count int
	hosts [homeHosts + otherHosts*(answerRegions-1)]*fragment
}

// Generation returns the generation of the document that the table is from.
func (t *Table) Generation() model.Generation { return t.generation }

// HasService reports whether the document has the service.
func (t *Table) HasService(service model.Service) bool {
	_, ok := t.services[service]
	return ok
}

// Lookup returns the hosts for a client block: those of the longest known
// block that contains it. It takes no lock and does not allocate.
func (t *Table) Lookup(block netip.Prefix) Response {
	block = block.Masked()
	var e *entry
	if i := t.index.find(block); i != noBlock {
		e = &t.blocks[i]
	} else {
		e = &t.undeclared[hashPrefix(block)%undeclaredBuckets]
	}
	a := Response{table: t, home: e.home}
	for i, region := range e.regions {
		if region != noRegion {
			a.add(t.regions[region], e.hash, i == 0)
		}
	}
	return a
}

func (a *Response) add(region *regionHosts, blockHash uint32, first bool) {
	limit := otherHosts
	if first {
		limit = homeHosts
	}
	list := region.hosts(blockHash)
	for _, i := range list[:limit] {
		if i != noHost {
			a.hosts[a.count] = region.members[i].fragment
			a.count++
		}
	}
}

// HomeRegion returns the home region of the block.
func (a *Response) HomeRegion() model.Region { return a.table.names[a.home] }

// Len returns the number of hosts.
func (a *Response) Len() int { return a.count }

// Host returns the host at a place, the most preferred one at 0.
func (a *Response) Host(place int) Host { return a.hosts[place].host }
