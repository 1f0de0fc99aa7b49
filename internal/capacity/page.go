package capacity

import (
	"errors"
	"fmt"
	"regexp"
	"strings"
)

// row is one line of a table of the page.
type row struct {
	what       string
	arithmetic string
	value      float64
	unit       string
	// limit is 0 if the row has none.
	limit     float64
	mechanism string
}

func (r row) verdict() string {
	switch {
	case r.limit == 0:
		return "no limit"
	case r.value <= r.limit:
		return "fits " + number(r.limit)
	}
	return "**fails " + number(r.limit) + "**"
}

// number prints three digits that count, and whole numbers in full.
func number(v float64) string {
	switch {
	case v >= 1000:
		return group(fmt.Sprintf("%.0f", v))
	case v == float64(int64(v)):
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}

// group separates thousands.
func group(digits string) string {
	for i := len(digits) - 3; i > 0; i -= 3 {
		digits = digits[:i] + "," + digits[i:]
	}
	return digits
}

const tableHead = "| What | Arithmetic | Result | Limit | Mechanism |\n|---|---|---|---|---|\n"

func table(rows []row) string {
	var b strings.Builder
	b.WriteString(tableHead)
	for _, r := range rows {
		fmt.Fprintf(&b, "| %s | %s | %s %s | %s | %s |\n", r.what, r.arithmetic, number(r.value), r.unit, r.verdict(), r.mechanism)
	}
	return b.String()
}

var tablePattern = regexp.MustCompile(`(?s)<!-- table:([a-z-]+) -->\n.*?<!-- end -->`)

// Render returns the page with its tables recomputed from the slopes. A table
// stands between the comments `table:NAME` and `end`.
func (s *Slopes) Render(page string) (string, error) {
	f := &figures{slopes: s}
	tables := map[string]func() []row{
		"lookup": f.lookup, "entry": f.entry, "agent": f.agent, "store": f.store,
		"callers": f.callers, "failures": f.failures, "gaps": f.gaps,
	}
	var failed error
	result := tablePattern.ReplaceAllStringFunc(page, func(old string) string {
		name := tablePattern.FindStringSubmatch(old)[1]
		rows, ok := tables[name]
		if !ok {
			failed = errors.Join(failed, fmt.Errorf("the page has an unknown table %q", name))
			return old
		}
		delete(tables, name)
		return "<!-- table:" + name + " -->\n" + table(rows()) + "<!-- end -->"
	})
	for name := range tables {
		failed = errors.Join(failed, fmt.Errorf("the page lacks table %q", name))
	}
	return result, errors.Join(failed, f.err)
}

// figures derives rows from slopes. A missing slope is kept in err.
type figures struct {
	slopes *Slopes
	err    error
}

func (f *figures) get(name string, size int) float64 {
	v, ok := f.slopes.Get(name, size)
	if !ok {
		f.err = errors.Join(f.err, fmt.Errorf("slope %s at size %d is missing", name, size))
	}
	return v
}

func (f *figures) getUnit(name string, size int, unit string) float64 {
	v, ok := f.slopes.GetUnit(name, size, unit)
	if !ok {
		f.err = errors.Join(f.err, fmt.Errorf("slope %s at size %d in %s is missing", name, size, unit))
	}
	return v
}
