package configreplica

import (
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Section is one section of a document: its header line and everything up to
// the next header.
type Section struct {
	Name string
	Text string
	// After is the name of the section that a new section follows; an empty
	// name inserts at the front. It is ignored if the base has the section.
	After string
}

// preamble is the section name of the text before the first header.
const preamble = "(preamble)"

// split splits a document into sections; their concatenated texts are the
// document byte for byte. A repeated name gets a numeric suffix, so that names
// are unique.
func split(text string) []Section {
	var sections []Section
	seen := make(map[string]int)
	name, start, at := preamble, 0, 0
	add := func(end int) {
		if end == start {
			return
		}
		seen[name]++
		if n := seen[name]; n > 1 {
			name += "#" + strconv.Itoa(n)
		}
		sections = append(sections, Section{Name: name, Text: text[start:end]})
	}
	for line := range strings.Lines(text) {
		if header := strings.TrimSpace(line); strings.HasPrefix(header, "[") {
			add(at)
			start, name = at, strings.Trim(header, "[]")
		}
		at += len(line)
	}
	add(len(text))
	return sections
}

func join(sections []Section) string {
	var text strings.Builder
	for _, s := range sections {
		text.WriteString(s.Text)
	}
	return text.String()
}

func digest(text string) uint64 { return xxhash.Sum64String(text) }

// diff returns the changed and removed sections between two documents. ok is
// false if common sections changed their order, which a delta cannot express.
func diff(from, to []Section) (changed []Section, removed []string, ok bool) {
	old := make(map[string]string, len(from))
	for _, s := range from {
		old[s.Name] = s.Text
	}
	kept := make(map[string]bool, len(to))
	var newOrder []string
	after := ""
	for _, s := range to {
		text, known := old[s.Name]
		switch {
		case !known:
			changed = append(changed, Section{Name: s.Name, Text: s.Text, After: after})
		case text != s.Text:
			changed = append(changed, Section{Name: s.Name, Text: s.Text})
		}
		if known {
			kept[s.Name] = true
			newOrder = append(newOrder, s.Name)
		}
		after = s.Name
	}
	var oldOrder []string
	for _, s := range from {
		if kept[s.Name] {
			oldOrder = append(oldOrder, s.Name)
		} else {
			removed = append(removed, s.Name)
		}
	}
	return changed, removed, slices.Equal(oldOrder, newOrder)
}

// patch applies a delta's sections to a base.
func patch(base, changed []Section, removed []string) []Section {
	drop := make(map[string]bool, len(removed))
	for _, name := range removed {
		drop[name] = true
	}
	replace := make(map[string]string, len(changed))
	for _, s := range changed {
		replace[s.Name] = s.Text
	}
	present := make(map[string]bool, len(base))
	next := make([]Section, 0, len(base)+len(changed))
	for _, s := range base {
		if drop[s.Name] {
			continue
		}
		if text, ok := replace[s.Name]; ok {
			s.Text = text
		}
		present[s.Name] = true
		next = append(next, Section{Name: s.Name, Text: s.Text})
	}
	return insert(next, changed, present)
}

// insert inserts each new section after the section that it follows, also
// where that one is new, in one pass over the document.
func insert(sections, changed []Section, present map[string]bool) []Section {
	followers := make(map[string]Section)
	for _, s := range changed {
		if !present[s.Name] {
			followers[s.After] = Section{Name: s.Name, Text: s.Text}
		}
	}
	if len(followers) == 0 {
		return sections
	}
	next := make([]Section, 0, len(sections)+len(followers))
	follow := func(name string) {
		for s, ok := followers[name]; ok && len(next) < cap(next); s, ok = followers[s.Name] {
			next = append(next, s)
		}
	}
	follow("")
	for _, s := range sections {
		next = append(next, s)
		follow(s.Name)
	}
	return next
}
