package settings

import (
	"net/url"
	"slices"
	"strings"

	"github.com/wisteriacrank/wisteriacrank/pkg/inicheck"
	"github.com/wisteriacrank/wisteriacrank/pkg/inidoc"
)

// Check reads settings and returns every fault. The settings are nil if there
// is any.
func Check(file, text string) (*Settings, inicheck.Faults) {
	checker := inicheck.New(file)
	s := &Settings{defaulted: make(map[string]bool)}
	found := make(map[string]inicheck.Section)
	for _, section := range checker.Read(text) {
		if !slices.Contains(sectionNames, section.Name) {
			section.Fail("", "["+strings.Join(sectionNames, "], [")+"]", "unknown section")
			continue
		}
		found[section.Name] = section
	}
	for _, name := range sectionNames {
		section, ok := found[name]
		if !ok {
			section = missingSection(checker, name)
		}
		readSection(checker, s, section)
		found[name] = section
	}
	checkListen(s, found["listen"])
	checkFrame(s, found["limits"])
	if faults := checker.Faults(); len(faults) > 0 {
		return nil, faults
	}
	return s, nil
}

// missingSection stands for a section that the file lacks; its faults are on
// line 1.
func missingSection(checker *inicheck.Checker, name string) inicheck.Section {
	return checker.Section(inidoc.Section{Name: name, Line: 1})
}

// readSection reads the keys of one section. A missing key with a default is
// read from the text of the default, so both take the same path.
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

// acceptedURL describes the URL of the store. Credentials have no place in it
// because the URL is printed and logged.
const acceptedURL = "http://HOST:PORT or https://HOST:PORT without user, path or query"

func readURL(in inicheck.Section, key string) string {
	text, ok := in.Text(key, acceptedURL)
	if !ok {
		return ""
	}
	u, err := url.Parse(text)
	plain := err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "" && u.User == nil &&
		strings.Trim(u.Path, "/") == "" && u.RawQuery == "" && u.Fragment == ""
	if !plain {
		in.Fail(key, acceptedURL, "bad URL")
		return ""
	}
	return text
}

// checkListen reports an address that two listeners share.
func checkListen(s *Settings, section inicheck.Section) {
	first := make(map[string]string)
	for _, key := range table {
		if key.Section != "listen" {
			continue
		}
		address := key.show(s)
		if other, ok := first[address]; ok && address != "" {
			section.Fail(key.Name, "an address that no other key has", "address %q is that of %s", address, other)
			continue
		}
		first[address] = key.Name
	}
}

// frameOverhead is what a frame needs beside the body: names, headers of the
// request and the envelope.
const frameOverhead = 64 << 10

func checkFrame(s *Settings, section inicheck.Section) {
	least := s.Limits.MaxBodyBytes + frameOverhead
	if s.Limits.MaxFrameBytes > 0 && int64(s.Limits.MaxFrameBytes) < least {
		section.Fail("frame", "at least body and 64 KB, "+inicheck.FormatSize(least), "value %q is too small for a whole body",
			inicheck.FormatSize(int64(s.Limits.MaxFrameBytes)))
	}
}
