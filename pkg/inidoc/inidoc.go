// Package inidoc parses INI text and records the line of each section and key
// for error messages. The INI library parses the values.
package inidoc

import (
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

// Section is one section; its keys are in the order of the text.
type Section struct {
	Name string
	Line int
	Keys []Key
}

// Key is one key of a section.
type Key struct {
	Name  string
	Value string
	Line  int
}

// Get returns the key with the given name.
func (s Section) Get(name string) (Key, bool) {
	for _, k := range s.Keys {
		if k.Name == name {
			return k, true
		}
	}
	return Key{}, false
}

// Duplicate is a further occurrence of a section or key. Line is its line,
// FirstLine that of the first occurrence.
type Duplicate struct {
	Section string
	// Key is empty for a duplicate section.
	Key             string
	Line, FirstLine int
}

// Parse parses the text and returns its sections in order, and the duplicates.
// Keys before the first section belong to a section without a name. The first
// value of a duplicate key applies.
func Parse(text string) ([]Section, []Duplicate, error) {
	file, err := ini.LoadSources(ini.LoadOptions{
		AllowNonUniqueSections:  true,
		AllowShadows:            true,
		IgnoreContinuation:      true,
		SkipUnrecognizableLines: false,
	}, []byte(text))
	if err != nil {
		return nil, nil, fmt.Errorf("parse INI: %w", err)
	}
	sections, duplicates := findLines(text)
	used := make(map[string]int)
	for i := range sections {
		fillValues(file, &sections[i], used)
	}
	return sections, duplicates, nil
}

// fillValues sets the values of a section from the parsed file. used counts the
// sections of each name whose values were already set.
func fillValues(file *ini.File, section *Section, used map[string]int) {
	name := section.Name
	if name == "" {
		name = ini.DefaultSection
	}
	matches, err := file.SectionsByName(name)
	if err != nil || used[name] >= len(matches) {
		return
	}
	parsed := matches[used[name]]
	used[name]++
	for i := range section.Keys {
		section.Keys[i].Value = parsed.Key(section.Keys[i].Name).Value()
	}
}

// findLines returns the sections and keys with their lines, and the
// duplicates.
func findLines(text string) ([]Section, []Duplicate) {
	var sections []Section
	var duplicates []Duplicate
	firstSection := make(map[string]int)
	for i, raw := range strings.Split(text, "\n") {
		line, number := strings.TrimSpace(raw), i+1
		switch {
		case line == "" || line[0] == ';' || line[0] == '#':
		case line[0] == '[':
			name := strings.TrimSpace(strings.TrimSuffix(strings.TrimPrefix(line, "["), "]"))
			if first, ok := firstSection[name]; ok {
				duplicates = append(duplicates, Duplicate{Section: name, Line: number, FirstLine: first})
			} else {
				firstSection[name] = number
			}
			sections = append(sections, Section{Name: name, Line: number})
		default:
			if len(sections) == 0 {
				sections = append(sections, Section{Line: number})
			}
			duplicates = append(duplicates, addKey(&sections[len(sections)-1], line, number)...)
		}
	}
	return sections, duplicates
}

// addKey adds the key of a line to a section, or returns it as a duplicate.
func addKey(section *Section, line string, number int) []Duplicate {
	end := strings.IndexAny(line, "=:")
	if end < 0 {
		return nil
	}
	name := strings.TrimSpace(line[:end])
	if first, ok := section.Get(name); ok {
		return []Duplicate{{Section: section.Name, Key: name, Line: number, FirstLine: first.Line}}
	}
	section.Keys = append(section.Keys, Key{Name: name, Line: number})
	return nil
}
