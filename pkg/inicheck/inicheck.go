// Package inicheck parses INI text strictly. It reports all faults of a text in
// one run, each with file, line, key and the accepted values. It checks the
// operators' document and the settings of the daemons.
package inicheck

import (
	"fmt"
	"slices"
	"strings"

	"github.com/wisteriacrank/wisteriacrank/pkg/inidoc"
)

// Fault is one error of a text.
type Fault struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Section string `json:"section,omitempty"`
	// Key is empty for a fault of a whole section or line.
	Key     string `json:"key,omitempty"`
	Problem string `json:"problem"`
	// Accepted is a description of the accepted values.
	Accepted string `json:"accepted,omitempty"`
}

func (f Fault) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d: ", f.File, f.Line)
	if f.Section != "" {
		fmt.Fprintf(&b, "[%s] ", f.Section)
	}
	if f.Key != "" {
		fmt.Fprintf(&b, "%s: ", f.Key)
	}
	b.WriteString(f.Problem)
	if f.Accepted != "" {
		fmt.Fprintf(&b, "; accepted: %s", f.Accepted)
	}
	return b.String()
}

// Faults is an error that joins all faults of a text, one per line.
type Faults []Fault

func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Checker collects the faults of one text. It is not safe for concurrent use.
type Checker struct {
	file   string
	faults Faults
}

// New returns a checker whose faults contain the given file name.
func New(file string) *Checker { return &Checker{file: file} }

// Add records a fault.
func (c *Checker) Add(f Fault) {
	f.File = c.file
	c.faults = append(c.faults, f)
}

// Faults returns the recorded faults in the order of their lines.
func (c *Checker) Faults() Faults {
	slices.SortStableFunc(c.faults, func(a, b Fault) int { return a.Line - b.Line })
	return c.faults
}

// Read splits the text into sections. It reports duplicates, and lines that
// are not a section, a key or a comment. Of duplicate sections it returns the
// first.
func (c *Checker) Read(text string) []Section {
	parsed, duplicates, err := inidoc.Parse(c.blankMalformedLines(text))
	if err != nil {
		c.Add(Fault{Line: 1, Problem: err.Error()})
		return nil
	}
	repeated := make(map[int]bool)
	for _, d := range duplicates {
		if d.Key == "" {
			repeated[d.Line] = true
		}
		c.Add(Fault{Line: d.Line, Section: d.Section, Key: d.Key, Problem: fmt.Sprintf("given twice, first on line %d", d.FirstLine)})
	}
	sections := make([]Section, 0, len(parsed))
	for _, section := range parsed {
		if !repeated[section.Line] {
			sections = append(sections, c.Section(section))
		}
	}
	return sections
}

// Section returns a section that reports its faults to the checker.
func (c *Checker) Section(section inidoc.Section) Section {
	return Section{Section: section, checker: c}
}

// acceptedLine describes the accepted form of a line.
const acceptedLine = `a section "[NAME]", a key "name = value" on one line, or a comment after ";" or "#"`

// blankMalformedLines reports malformed lines and replaces them by empty ones.
// A malformed line is one for which the INI library would reject the whole
// text or that it would parse as the start of a multi-line value.
func (c *Checker) blankMalformedLines(text string) string {
	var cleaned strings.Builder
	cleaned.Grow(len(text))
	number := 0
	for line := range strings.Lines(text) {
		number++
		if wellFormed(strings.TrimSpace(line)) {
			cleaned.WriteString(line)
			continue
		}
		c.Add(Fault{Line: number, Problem: "line is not valid", Accepted: acceptedLine})
		cleaned.WriteByte('\n')
	}
	return cleaned.String()
}

// wellFormed reports whether a line without surrounding space is empty, a
// comment, a section or a key.
func wellFormed(line string) bool {
	if line == "" || line[0] == ';' || line[0] == '#' {
		return true
	}
	if line[0] == '[' {
		return strings.HasSuffix(line, "]") && strings.Count(line, "]") == 1 && len(strings.Fields(strings.Trim(line, "[]"))) > 0
	}
	return strings.IndexAny(line, "=:") > 0 && !strings.ContainsAny(stripComment(line), "\"`\r\x00\ufeff")
}

// stripComment removes the part of the line that the INI library treats as a
// comment.
func stripComment(line string) string {
	if i := strings.IndexAny(line, ";#"); i >= 0 {
		return line[:i]
	}
	return line
}
