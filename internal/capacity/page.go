package capacity

import (
	"errors"
	"fmt"
	"regexp"
	"strings"
)

// row is one row of a table of the page.
type row struct {
	subject    string
	arithmetic string
	value      float64
	unit       string
	// limit is 0 if the row has none.
	limit     float64
	mechanism string
}

// limitText returns the text of the column Limit.
func (r row) limitText() string {
	switch {
	case r.limit == 0:
		return "no limit"
	case r.value <= r.limit:
		return "fits " + formatNumber(r.limit)
	}
	return "**fails " + formatNumber(r.limit) + "**"
}

// formatNumber formats a value with three significant digits. It formats whole
// numbers, and values from 1000 rounded to a whole number, in full.
func formatNumber(v float64) string {
	switch {
	case v >= 1000:
		return groupDigits(fmt.Sprintf("%.0f", v))
	case v == float64(int64(v)):
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}

// groupDigits inserts thousands separators.
func groupDigits(digits string) string {
	for i := len(digits) - 3; i > 0; i -= 3 {
		digits = digits[:i] + "," + digits[i:]
	}
	return digits
}

const tableHead = "| What | Arithmetic | Result | Limit | Mechanism |\n|---|---|---|---|---|\n"

// renderTable returns the Markdown of a table.
func renderTable(rows []row) string {
	var b strings.Builder
	b.WriteString(tableHead)
	for _, r := range rows {
		fmt.Fprintf(&b, "| %s | %s | %s %s | %s | %s |\n", r.subject, r.arithmetic, formatNumber(r.value), r.unit, r.limitText(), r.mechanism)
	}
	return b.String()
}

var tablePattern = regexp.MustCompile(`(?s)<!-- table:([a-z-]+) -->\n.*?<!-- end -->`)

// Render returns the page with its tables recomputed from the slopes. The
// comments `table:NAME` and `end` enclose a table.
func (s *Slopes) Render(page string) (string, error) {
	b := &tableBuilder{slopes: s}
	tables := map[string]func() []row{
		"lookup": b.lookup, "entry": b.entry, "agent": b.agent, "store": b.store,
		"callers": b.callers, "failures": b.failures, "gaps": b.gaps,
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
		return "<!-- table:" + name + " -->\n" + renderTable(rows()) + "<!-- end -->"
	})
	for name := range tables {
		failed = errors.Join(failed, fmt.Errorf("the page lacks table %q", name))
	}
	return result, errors.Join(failed, b.err)
}

// tableBuilder derives rows from slopes. It reports missing slopes in err.
type tableBuilder struct {
	slopes *Slopes
	err    error
}

// get returns the value of a slope at a size.
func (b *tableBuilder) get(name string, size int) float64 {
	v, ok := b.slopes.Get(name, size)
	if !ok {
		b.err = errors.Join(b.err, fmt.Errorf("slope %s at size %d is missing", name, size))
	}
	return v
}

// getUnit returns the value of a slope at a size in a unit.
func (b *tableBuilder) getUnit(name string, size int, unit string) float64 {
	v, ok := b.slopes.GetUnit(name, size, unit)
	if !ok {
		b.err = errors.Join(b.err, fmt.Errorf("slope %s at size %d in %s is missing", name, size, unit))
	}
	return v
}
