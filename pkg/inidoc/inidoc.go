// Package inidoc reads INI text and keeps the line of each section and key,
// so that errors can name them. Values come from the INI library.
package inidoc

import (
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

// Section is one section in the order of the text.
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

// Get returns the key of that name.
func (s Section) Get(name string) (Key, bool) {
	for _, k := range s.Keys {
		if k.Name == name {
			return k, true
		}
	}
	return Key{}, false
}

// Duplicate is a section or key that the text has twice.
type Duplicate struct {
	Section string
	// Key is empty for a duplicate section.
	Key             string
	Line, FirstLine int
}

// Parse reads the text. Keys before the first section belong to a section
// without a name. A duplicate is reported, and its first value counts.
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
	sections, duplicates := locate(text)
	taken := make(map[string]int)
	for i := range sections {
		fillValues(file, &sections[i], taken)
	}
	return sections, duplicates, nil
}

// fillValues takes the values of a section from the parsed file. taken counts
// how many sections of each name came before.
func fillValues(file *ini.File, section *Section, taken map[string]int) {
	name := section.Name
	if name == "" {
		name = ini.DefaultSection
	}
	same, err := file.SectionsByName(name)
	if err != nil || taken[name] >= len(same) {
		return
	}
	parsed := same[taken[name]]
	taken[name]++
	for i := range section.Keys {
		section.Keys[i].Value = parsed.Key(section.Keys[i].Name).Value()
	}
}

// locate finds the lines of sections and keys.
func locate(text string) ([]Section, []Duplicate) {
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
