package document

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/wisteriacrank/wisteriacrank/pkg/inicheck"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// checkPresence reports missing sections. A missing section has no line, so
// its fault is reported on line 1.
func (r *reader) checkPresence() {
	present := []struct {
		section string
		count   int
	}{
		{"[environment]", r.environment},
		{"[region NAME]", len(r.doc.Regions)},
		{"[rank NAME]", len(r.doc.Ranks)},
		{"[service NAME]", len(r.doc.Services)},
		{"[server NAME]", len(r.doc.Servers)},
	}
	for _, p := range present {
		if p.count == 0 {
			r.checker.Add(inicheck.Fault{Line: 1, Problem: "missing section " + p.section, Accepted: "at least one"})
		}
	}
}

// checkReferences checks the references between sections.
func (r *reader) checkReferences() {
	domains := r.checkFailureDomains()
	served := make(map[model.Service]bool)
	addresses := make(map[string]int)
	for i, server := range r.doc.Servers {
		section := r.servers[i]
		served[server.Service] = true
		if _, ok := r.services[server.Service]; !ok && server.Service != "" {
			section.Fail("service", joinKeys(r.services), "unknown service %q", server.Service)
		}
		if r.knownRegion(section, server.Region) {
			r.checkDomain(section, server, domains)
		}
		if server.Connections > 0 && server.Connections < server.Slots {
			section.Fail("connections", fmt.Sprintf("at least the number of slots, %d", server.Slots), "value %d is out of range", server.Connections)
		}
		if first, ok := addresses[server.Address]; ok && server.Address != "" {
			section.Fail("address", "one server per address", "address %q is given twice, first on line %d", server.Address, first)
		} else {
			addresses[server.Address] = section.Line
		}
	}
	for _, service := range r.doc.Services {
		if !served[service.Name] {
			r.services[service.Name].Fail("", "at least one [server NAME] with service = "+string(service.Name), "service without servers")
		}
	}
}

// checkFailureDomains returns the region of each failure domain. It reports a
// name that two regions use, because agents hold elections per failure domain.
func (r *reader) checkFailureDomains() map[model.FailureDomain]model.Region {
	domains := make(map[model.FailureDomain]model.Region)
	for _, region := range r.doc.Regions {
		for _, domain := range region.FailureDomains {
			other, ok := domains[domain]
			if ok && other != region.Name {
				r.regions[region.Name].Fail("failure-domains", "names that no other region uses", "failure domain %q belongs to region %q", domain, other)
				continue
			}
			domains[domain] = region.Name
		}
	}
	return domains
}

func (r *reader) checkDomain(section inicheck.Section, server Server, domains map[model.FailureDomain]model.Region) {
	if domains[server.FailureDomain] == server.Region || server.FailureDomain == "" {
		return
	}
	region, _ := r.doc.Region(server.Region)
	names := make([]string, len(region.FailureDomains))
	for i, domain := range region.FailureDomains {
		names[i] = string(domain)
	}
	section.Fail("failure-domain", strings.Join(names, ", "), "unknown failure domain %q of region %q", server.FailureDomain, server.Region)
}

// knownRegion returns whether the document defines the region, and reports a
// fault if it does not. An empty name is a missing value, which was reported
// when the section was read.
func (r *reader) knownRegion(section inicheck.Section, name model.Region) bool {
	if name == "" {
		return false
	}
	if _, ok := r.regions[name]; !ok {
		section.Fail("region", joinKeys(r.regions), "unknown region %q", name)
		return false
	}
	return true
}

// checkRanks checks the sum of the guaranteed shares, that priorities are
// unique, and that at least one region has a weight above 0.
func (r *reader) checkRanks() {
	// sumTolerance allows for the rounding of binary fractions.
	const sumTolerance = 1e-9
	sum := 0.0
	first := make(map[int]model.Rank)
	for i, rank := range r.doc.Ranks {
		sum += rank.GuaranteedShare
		if sum > 1+sumTolerance {
			r.ranks[i].Fail("guaranteed-share", "shares with a sum of at most 100%", "the shares up to this rank add up to %s", inicheck.FormatPercent(sum))
		}
		if other, ok := first[rank.Priority]; ok && rank.Priority > 0 {
			r.ranks[i].Fail("priority", "a priority that no other rank has", "rank %q has the priority %d too", other, rank.Priority)
			continue
		}
		first[rank.Priority] = rank.Name
	}
	weights := 0.0
	for _, region := range r.doc.Regions {
		weights += region.Weight
	}
	if len(r.doc.Regions) > 0 && weights == 0 {
		r.regions[r.doc.Regions[0].Name].Fail("weight", "a weight above 0 for at least one region", "no region has a weight above 0")
	}
}

type regionPair struct{ a, b model.Region }

func newPair(a, b model.Region) regionPair {
	if a > b {
		a, b = b, a
	}
	return regionPair{a, b}
}

// checkLinks requires exactly one link for each pair of regions.
func (r *reader) checkLinks() {
	lines := make(map[regionPair]int)
	for i, link := range r.doc.Links {
		section := r.links[i]
		known := r.knownLinkEnd(section, link.A)
		known = r.knownLinkEnd(section, link.B) && known
		if known && link.A == link.B {
			section.Fail("", "two different regions", "link of region %q with itself", link.A)
		}
		pair := newPair(link.A, link.B)
		if first, ok := lines[pair]; ok {
			section.Fail("", "one link per pair of regions", "link is given twice, first on line %d", first)
			continue
		}
		lines[pair] = section.Line
	}
	for i, a := range r.doc.Regions {
		for _, b := range r.doc.Regions[i+1:] {
			if lines[newPair(a.Name, b.Name)] == 0 {
				r.regions[b.Name].Fail("", "one link per pair of regions", "missing section [link %s %s]", a.Name, b.Name)
			}
		}
	}
}

func (r *reader) knownLinkEnd(section inicheck.Section, name model.Region) bool {
	_, ok := r.regions[name]
	if !ok {
		section.Fail("", joinKeys(r.regions), "unknown region %q", name)
	}
	return ok
}

// checkBlocks reports blocks inside a block of a different region. The blocks
// are sorted so that each follows the blocks that contain it; the blocks that
// enclose the current one form a stack, whose depth is at most the number of
// bits of an address.
func (r *reader) checkBlocks() {
	order := make([]int, 0, len(r.doc.Blocks))
	for i, block := range r.doc.Blocks {
		r.knownRegion(r.blocks[i], block.Region)
		if block.Prefix.IsValid() {
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(i, j int) int {
		a, b := r.doc.Blocks[i].Prefix, r.doc.Blocks[j].Prefix
		return cmp.Or(a.Addr().Compare(b.Addr()), cmp.Compare(a.Bits(), b.Bits()))
	})
	var enclosing []int
	for _, i := range order {
		block := r.doc.Blocks[i]
		for len(enclosing) > 0 && !r.doc.Blocks[enclosing[len(enclosing)-1]].Prefix.Contains(block.Prefix.Addr()) {
			enclosing = enclosing[:len(enclosing)-1]
		}
		r.checkEnclosing(i, enclosing)
		enclosing = append(enclosing, i)
	}
}

func (r *reader) checkEnclosing(i int, enclosing []int) {
	block := r.doc.Blocks[i]
	for _, outer := range enclosing {
		if outerBlock := r.doc.Blocks[outer]; outerBlock.Region != block.Region {
			r.blocks[i].Fail("region", string(outerBlock.Region), "block overlaps [block %s] of region %q on line %d", outerBlock.Prefix, outerBlock.Region, r.blocks[outer].Line)
			return
		}
	}
}

// joinKeys returns the accepted names of a reference as sorted text.
func joinKeys[K ~string, V any](known map[K]V) string {
	names := make([]string, 0, len(known))
	for name := range known {
		names = append(names, string(name))
	}
	if len(names) == 0 {
		return "none is defined"
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}
