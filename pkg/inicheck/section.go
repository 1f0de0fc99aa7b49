package inicheck

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/inidoc"
)

// Section reads typed values of one section. A value that is missing or not
// accepted is reported to the checker, and its zero value is returned.
type Section struct {
	inidoc.Section
	checker *Checker
}

// Has reports whether the section has the key.
func (s Section) Has(key string) bool {
	_, ok := s.Get(key)
	return ok
}

// Fail reports a fault of a key. Its line is that of the section if the section
// does not have the key.
func (s Section) Fail(key, accepted, format string, args ...any) {
	line := s.Line
	if k, ok := s.Get(key); ok {
		line = k.Line
	}
	s.checker.Add(Fault{Line: line, Section: s.Name, Key: key, Problem: fmt.Sprintf(format, args...), Accepted: accepted})
}

// CheckKeys reports every key of the section that is not in the list.
func (s Section) CheckKeys(keys ...string) {
	for _, k := range s.Keys {
		if !slices.Contains(keys, k.Name) {
			s.Fail(k.Name, strings.Join(keys, ", "), "unknown key")
		}
	}
}

// Text returns the value of a key, which must not be empty, and whether it is
// present.
func (s Section) Text(key, accepted string) (string, bool) {
	v := readValue(s, key, func() string { return accepted })
	return v.text, v.present
}

// value is the unparsed value of one key.
type value struct {
	section Section
	key     string
	// accepted describes the accepted values; it is called only for a fault.
	accepted func() string
	text     string
	present  bool
}

// readValue returns the value of a key. It reports a value that is missing or
// empty.
func readValue(s Section, key string, accepted func() string) value {
	v := value{section: s, key: key, accepted: accepted}
	k, ok := s.Get(key)
	switch {
	case !ok:
		v.fail("missing key")
	case k.Value == "":
		v.fail("empty value")
	default:
		v.text, v.present = k.Value, true
	}
	return v
}

func (v value) fail(format string, args ...any) {
	v.section.Fail(v.key, v.accepted(), format, args...)
}

// Duration returns a duration with a unit.
func (s Section) Duration(key string, lowest, highest time.Duration) time.Duration {
	v := readValue(s, key, func() string {
		return fmt.Sprintf("a duration of %v to %v with unit ms, s, m or h", lowest, highest)
	})
	if !v.present || v.lacksUnit() {
		return 0
	}
	value, err := time.ParseDuration(v.text)
	return checkRange(v, value, err == nil, lowest, highest)
}

// Integer returns a whole number without unit.
func (s Section) Integer(key string, lowest, highest int) int {
	v := readValue(s, key, func() string { return fmt.Sprintf("a whole number of %d to %d", lowest, highest) })
	if !v.present {
		return 0
	}
	value, err := strconv.Atoi(v.text)
	return checkRange(v, value, err == nil, lowest, highest)
}

// Number returns a decimal number without unit.
func (s Section) Number(key string, lowest, highest float64) float64 {
	v := readValue(s, key, func() string { return fmt.Sprintf("a number of %g to %g", lowest, highest) })
	if !v.present {
		return 0
	}
	value, err := strconv.ParseFloat(v.text, 64)
	return checkRange(v, value, err == nil, lowest, highest)
}

// percentUnit is the unit of a percentage.
var percentUnit = []unit{{"%", 0.01}}

// Percent returns a percentage such as "30%" as a fraction.
func (s Section) Percent(key string, lowest, highest float64) float64 {
	v := readValue(s, key, func() string { return FormatPercent(lowest) + " to " + FormatPercent(highest) })
	return v.quantity(percentUnit, lowest, highest)
}

var sizeUnits = []unit{{"KB", 1 << 10}, {"MB", 1 << 20}, {"B", 1}}

// Size returns a number of bytes with a unit; 1 KB has 1024 bytes.
func (s Section) Size(key string, lowest, highest int64) int64 {
	v := readValue(s, key, func() string {
		return fmt.Sprintf("%s to %s with unit B, KB or MB", FormatSize(lowest), FormatSize(highest))
	})
	return int64(v.quantity(sizeUnits, float64(lowest), float64(highest)))
}

const bitsPerByte = 8

var rateUnits = []unit{{"Kbit/s", 1e3 / bitsPerByte}, {"Mbit/s", 1e6 / bitsPerByte}, {"Gbit/s", 1e9 / bitsPerByte}}

// Rate returns a bit rate with a unit as bytes per second.
func (s Section) Rate(key string, lowest, highest float64) float64 {
	v := readValue(s, key, func() string {
		return fmt.Sprintf("%s to %s with unit Kbit/s, Mbit/s or Gbit/s", FormatRate(lowest), FormatRate(highest))
	})
	return v.quantity(rateUnits, lowest, highest)
}

// Bool returns a boolean value, or fallback if the key is missing.
func (s Section) Bool(key string, fallback bool) bool {
	if !s.Has(key) {
		return fallback
	}
	const accepted = "true, false"
	text, _ := s.Text(key, accepted)
	if text != "" && text != "true" && text != "false" {
		s.Fail(key, accepted, "value %q is not valid", text)
	}
	return text == "true"
}

// acceptedAddress is the description of an address with port.
const acceptedAddress = `IP:PORT with a port of 1 to 65535, such as 10.1.0.7:8080 or [fd00::7]:8080`

// Address returns an IP address with port.
func (s Section) Address(key string) string {
	text, ok := s.Text(key, acceptedAddress)
	if !ok {
		return ""
	}
	return s.checkAddress(key, text)
}

// Addresses returns a list of IP addresses with ports.
func (s Section) Addresses(key string) []string {
	text, _ := s.Text(key, acceptedAddress+"; several separated by commas")
	var addresses []string
	for _, item := range splitList(text) {
		addresses = append(addresses, s.checkAddress(key, item))
	}
	return addresses
}

func (s Section) checkAddress(key, text string) string {
	address, err := netip.ParseAddrPort(text)
	if err != nil || address.Port() == 0 || address.Addr().Zone() != "" {
		s.Fail(key, acceptedAddress, "bad address %q", text)
		return ""
	}
	return text
}

// acceptedNames is the description of a list of names.
const acceptedNames = "names separated by commas, each " + AcceptedName

// Names returns a list of at least one name.
func (s Section) Names(key string) []string {
	text, ok := s.Text(key, acceptedNames)
	if !ok {
		return nil
	}
	names := splitList(text)
	for i, name := range names {
		if !ValidName(name) {
			s.Fail(key, acceptedNames, "bad name %q", name)
		}
		if slices.Contains(names[:i], name) {
			s.Fail(key, acceptedNames, "name %q is given twice", name)
		}
	}
	return names
}

// Identifier returns a valid name.
func (s Section) Identifier(key string) string {
	text, ok := s.Text(key, AcceptedName)
	if ok && !ValidName(text) {
		s.Fail(key, AcceptedName, "bad name %q", text)
	}
	return text
}

func splitList(text string) []string {
	var items []string
	for _, item := range strings.Split(text, ",") {
		items = append(items, strings.TrimSpace(item))
	}
	return items
}
