package inicheck

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
)

// AcceptedName is the description of a valid name. Names contain no dots,
// because a dot separates the parts of an owner token.
const AcceptedName = "1 to 64 letters, digits, '-' or '_'"

const maxNameBytes = 64

// ValidName reports whether a name is valid.
func ValidName(name string) bool {
	if name == "" || len(name) > maxNameBytes {
		return false
	}
	for _, r := range name {
		letter := (r >= 'a' && r <= 'z') || (r >= 'A' && r <= 'Z')
		digit := r >= '0' && r <= '9'
		if !letter && !digit && r != '-' && r != '_' {
			return false
		}
	}
	return true
}

type unit struct {
	name  string
	scale float64
}

// lacksUnit reports a fault and returns true if the value is a number without
// unit.
func (v value) lacksUnit() bool {
	_, err := strconv.ParseFloat(v.text, 64)
	if err == nil {
		v.fail("missing unit in %q", v.text)
	}
	return err == nil
}

// quantity parses a number with one of the units.
func (v value) quantity(units []unit, lowest, highest float64) float64 {
	if !v.present || v.lacksUnit() {
		return 0
	}
	for _, u := range units {
		number, found := strings.CutSuffix(v.text, u.name)
		if !found {
			continue
		}
		amount, err := strconv.ParseFloat(strings.TrimSpace(number), 64)
		if err == nil {
			return checkRange(v, amount*u.scale, true, lowest, highest)
		}
	}
	return checkRange(v, 0.0, false, lowest, highest)
}

// checkRange returns the amount. If the value is not valid or out of range, it
// reports a fault and returns zero. The comparison is written so that NaN is
// out of range.
func checkRange[T cmp.Ordered](v value, amount T, valid bool, lowest, highest T) T {
	var zero T
	if !valid {
		v.fail("value %q is not valid", v.text)
		return zero
	}
	if !(amount >= lowest && amount <= highest) {
		v.fail("value %q is out of range", v.text)
		return zero
	}
	return amount
}

// FormatSize formats a number of bytes with the largest unit of which it is a
// whole multiple.
func FormatSize(bytes int64) string {
	switch {
	case bytes >= 1<<20 && bytes%(1<<20) == 0:
		return fmt.Sprintf("%d MB", bytes>>20)
	case bytes >= 1<<10 && bytes%(1<<10) == 0:
		return fmt.Sprintf("%d KB", bytes>>10)
	default:
		return fmt.Sprintf("%d B", bytes)
	}
}

// FormatRate formats bytes per second as a bit rate.
func FormatRate(bytesPerSecond float64) string {
	for i := len(rateUnits) - 1; i > 0; i-- {
		if bytesPerSecond >= rateUnits[i].scale {
			return fmt.Sprintf("%g %s", bytesPerSecond/rateUnits[i].scale, rateUnits[i].name)
		}
	}
	return fmt.Sprintf("%g %s", bytesPerSecond/rateUnits[0].scale, rateUnits[0].name)
}

// FormatPercent formats a fraction as a percentage.
func FormatPercent(fraction float64) string {
	return strconv.FormatFloat(fraction*100, 'g', 10, 64) + "%"
}
