package settings

import (
	"net/url"
	"slices"
	"strings"

	"github.com/wisteriacrank/wisteriacrank/pkg/inicheck"
	"github.com/wisteriacrank/wisteriacrank/pkg/inidoc"
)

// Check parses settings and returns every fault. The settings are nil if there is
// a fault.
func Check(file, text string) (*Settings, inicheck.Faults) {
	checker := inicheck.New(file)
	s := &Settings{defaulted: make(map[string]bool)}
	sections := make(map[string]inicheck.Section)
	for _, section := range checker.Read(text) {
		if !slices.Contains(sectionNames, section.Name) {
			section.Fail("", "["+strings.Join(sectionNames, "], [")+"]", "unknown section")
			continue
		}
		sections[section.Name] = section
	}
	for _, name := range sectionNames {
		section, ok := sections[name]
		if !ok {
			section = missingSection(checker, name)
		}
		readSection(checker, s, section)
		sections[name] = section
	}
	checkListen(s, sections["listen"])
	checkFrame(s, sections["limits"])
	if faults := checker.Faults(); len(faults) > 0 {
		return nil, faults
	}
	return s, nil
}

// missingSection returns an empty section in place of one that the file lacks. Its
// faults are reported on line 1.
func missingSection(checker *inicheck.Checker, name string) inicheck.Section {
	return checker.Section(inidoc.Section{Name: name, Line: 1})
}

// readSection reads the keys of one section. A missing key with a default is parsed
// from the default's text, so that defaults and explicit values are handled alike.
func readSection(checker *inicheck.Checker, s *Settings, section inicheck.Section) {
	var names []string
	for _, key := range table {
		if key.Section == section.Name {
			names = append(names, key.Name)
		}
	}
	section.CheckKeys(names...)
	for _, key := range table {
		if key.Section != section.Name {
			continue
		}
		in := section
		if !section.Has(key.Name) && !key.Required {
			if s.defaulted != nil {
				s.defaulted[key.Section+"."+key.Name] = true
			}
			if key.Default == "" {
				continue
			}
			in = checker.Section(inidoc.Section{Name: section.Name, Line: section.Line,
				Keys: []inidoc.Key{{Name: key.Name, Value: key.Default, Line: section.Line}}})
		}
		key.read(s, in, key.Name)
	}
}

// acceptedURL describes the accepted URLs of the store. Credentials are refused
// because the URL is printed and logged.
const acceptedURL = "http://HOST:PORT or https://HOST:PORT without user, path or query"

func readURL(in inicheck.Section, key string) string {
	text, ok := in.Text(key, acceptedURL)
	if !ok {
		return ""
	}
	u, err := url.Parse(text)
	valid := err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "" && u.User == nil &&
		strings.Trim(u.Path, "/") == "" && u.RawQuery == "" && u.Fragment == ""
	if !valid {
		in.Fail(key, acceptedURL, "bad URL")
		return ""
	}
	return text
}

// checkListen reports an address that two listeners share.
func checkListen(s *Settings, section inicheck.Section) {
	keyByAddress := make(map[string]string)
	for _, key := range table {
		if key.Section != "listen" {
			continue
		}
		address := key.format(s)
		if other, ok := keyByAddress[address]; ok && address != "" {
			section.Fail(key.Name, "an address that no other key uses", "address %q is already used by %s", address, other)
			continue
		}
		keyByAddress[address] = key.Name
	}
}

// frameOverhead is the number of bytes that a frame needs in addition to the body:
// names, headers of the request and the envelope.
const frameOverhead = 64 << 10

func checkFrame(s *Settings, section inicheck.Section) {
	minFrameBytes := s.Limits.MaxBodyBytes + frameOverhead
	if s.Limits.MaxFrameBytes > 0 && int64(s.Limits.MaxFrameBytes) < minFrameBytes {
		section.Fail("frame", "at least body plus 64 KB, "+inicheck.FormatSize(minFrameBytes), "value %q is too small for a whole body",
			inicheck.FormatSize(int64(s.Limits.MaxFrameBytes)))
	}
}
