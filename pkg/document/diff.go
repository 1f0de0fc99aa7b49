package document

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/wisteriacrank/wisteriacrank/pkg/inicheck"
)

// ChangeKind is the kind of a change to a section.
type ChangeKind string

// Kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one difference between two documents.
type Change struct {
	Kind    ChangeKind `json:"kind"`
	Section string     `json:"section"`
	// Key, Old and New are set for a changed key.
	Key string `json:"key,omitempty"`
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

func (c Change) String() string {
	switch c.Kind {
	case Added:
		return "+ [" + c.Section + "]"
	case Removed:
		return "- [" + c.Section + "]"
	default:
		return fmt.Sprintf("~ [%s] %s: %s -> %s", c.Section, c.Key, c.Old, c.New)
	}
}

// orderSectionName is the section name of a change in the order of the regions.
const orderSectionName = "region"

// Diff lists the changes from one document to another. A nil document is
// empty. Parsed values are compared, so that two notations of the same value
// are equal.
func Diff(before, after *Document) []Change {
	old, next := flatten(before), flatten(after)
	index := make(map[string]flatSection, len(old))
	for _, section := range old {
		index[section.name] = section
	}
	var changes []Change
	kept := make(map[string]bool, len(next))
	for _, section := range next {
		kept[section.name] = true
		if previous, ok := index[section.name]; ok {
			changes = append(changes, changedKeys(previous, section)...)
		} else {
			changes = append(changes, Change{Kind: Added, Section: section.name})
		}
	}
	for _, section := range old {
		if !kept[section.name] {
			changes = append(changes, Change{Kind: Removed, Section: section.name})
		}
	}
	return append(changes, orderChange(before, after)...)
}

func changedKeys(old, next flatSection) []Change {
	var changes []Change
	for i, value := range next.values {
		if value != old.values[i] {
			changes = append(changes, Change{Kind: Changed, Section: next.name, Key: next.keys[i], Old: old.values[i], New: value})
		}
	}
	return changes
}

// orderChange returns a change of the order of the regions, which is their
// order of preference.
func orderChange(before, after *Document) []Change {
	if before == nil || after == nil || len(before.Regions) != len(after.Regions) {
		return nil
	}
	old, next := regionOrder(before), regionOrder(after)
	if old == next {
		return nil
	}
	return []Change{{Kind: Changed, Section: orderSectionName, Key: "order", Old: old, New: next}}
}

func regionOrder(d *Document) string {
	names := make([]string, len(d.Regions))
	for i, region := range d.Regions {
		names[i] = string(region.Name)
	}
	return strings.Join(names, ", ")
}

// flatSection is a section with its values in canonical notation. Sections of
// one kind have the same keys in the same order.
type flatSection struct {
	name         string
	keys, values []string
}

// newFlatSection returns a section from alternating keys and values.
func newFlatSection(name string, pairs ...string) flatSection {
	section := flatSection{name: name}
	for i := 0; i < len(pairs); i += 2 {
		section.keys = append(section.keys, pairs[i])
		section.values = append(section.values, pairs[i+1])
	}
	return section
}

func flatten(d *Document) []flatSection {
	if d == nil {
		return nil
	}
	e := d.Environment
	sections := []flatSection{newFlatSection("environment",
		"name", e.Name,
		"cache-time", e.CacheTime.String(),
		"move-cap", inicheck.FormatPercent(e.MoveCap),
		"move-interval", e.MoveInterval.String())}
	for _, r := range d.Regions {
		sections = append(sections, flatRegion(r))
	}
	for _, l := range d.Links {
		pair := newPair(l.A, l.B)
		sections = append(sections, newFlatSection(fmt.Sprintf("link %s %s", pair.a, pair.b), "limit", inicheck.FormatRate(l.BytesPerSecond)))
	}
	for _, r := range d.Ranks {
		sections = append(sections, flatRank(r))
	}
	for _, s := range d.Services {
		sections = append(sections, newFlatSection("service "+string(s.Name),
			"answer-timeout", s.AnswerTimeout.String(),
			"max-body", inicheck.FormatSize(s.MaxBodyBytes)))
	}
	for _, s := range d.Servers {
		sections = append(sections, flatServer(s))
	}
	for _, b := range d.Blocks {
		sections = append(sections, newFlatSection("block "+b.Prefix.String(), "region", string(b.Region)))
	}
	return sections
}

func flatRegion(r Region) flatSection {
	domains := make([]string, len(r.FailureDomains))
	for i, domain := range r.FailureDomains {
		domains[i] = string(domain)
	}
	return newFlatSection("region "+string(r.Name),
		"failure-domains", strings.Join(domains, ", "),
		"entry-hosts", strconv.Itoa(r.EntryHosts),
		"weight", strconv.FormatFloat(r.Weight, 'g', -1, 64))
}

func flatRank(r Rank) flatSection {
	return newFlatSection("rank "+string(r.Name),
		"priority", strconv.Itoa(r.Priority),
		"deadline", r.Deadline.String(),
		"guaranteed-share", inicheck.FormatPercent(r.GuaranteedShare),
		"queue", strconv.Itoa(r.QueueLimit))
}

func flatServer(s Server) flatSection {
	return newFlatSection("server "+string(s.Name),
		"service", string(s.Service),
		"region", string(s.Region),
		"failure-domain", string(s.FailureDomain),
		"address", s.Address,
		"slots", strconv.Itoa(s.Slots),
		"connections", strconv.Itoa(s.Connections),
		"drain", strconv.FormatBool(s.Drain))
}
