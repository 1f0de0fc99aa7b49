package host

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/inicheck"
)

// Settings are the settings of one host.
type Settings struct {
	ID     string
	Region string
	Domain string
	Listen Listen
	// StoreAddress is the address of the platform's metadata store.
	StoreAddress string
	// Seeds are peer addresses of other hosts; they may be stale.
	Seeds []string
	// Memory is the memory that the process may use, in bytes.
	Memory int64
	// Cores is the processor time that the process may use, in seconds per
	// second, or 0 if it is unknown.
	Cores float64
	// Link is the bandwidth of the host in bytes per second, or 0 if it is
	// unknown.
	Link float64
	// RegionOf maps each failure domain to its region.
	RegionOf map[string]string
	Bounds   Bounds
}

// Listen holds the listen addresses of a host.
type Listen struct {
	Callers string
	Ready   string
	Lookup  string
	Peers   string
	// Metrics is optional; if it is empty, no metrics are served.
	Metrics string
}

// Bounds are the limits that the installation has to keep.
type Bounds struct {
	// RetryRatio and RetrySlack bound the retries of all hosts together within
	// RetryWindow: RetryRatio times the first attempts, plus RetrySlack.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// ColdOver and ColdSlack bound the requests that reach a cold server in a
	// second: its cold rate times ColdOver, plus ColdSlack.
	ColdOver  float64
	ColdSlack float64
	// Grace is the time between a stop signal and the kill of the process.
	Grace time.Duration
	// MaxLookupTTL is the longest time for which a lookup may be cached.
	MaxLookupTTL time.Duration
}

// BoundsReader parses bounds from their names and values.
type BoundsReader func(values map[string]string) (Bounds, error)

const (
	sectionHost    = "host"
	sectionListen  = "listen"
	sectionStore   = "store"
	sectionPeers   = "peers"
	sectionLimits  = "limits"
	sectionDomains = "domains"
	sectionBounds  = "bounds"
)

var sectionNames = []string{sectionHost, sectionListen, sectionStore, sectionPeers, sectionLimits, sectionDomains, sectionBounds}

const (
	minCores, maxCores = 0.01, 1024
	minLink, maxLink   = 100_000 / 8, 1e12 / 8 // bytes per second
	minMemory          = 32 << 20              // bytes; the runtime and the connections of an idle host
	maxMemory          = 64 << 30
)

// LoadSettings reads a settings file. The error lists every fault of the file.
func LoadSettings(path string, bounds BoundsReader) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	s, faults := CheckSettings(path, string(text), bounds)
	if len(faults) > 0 {
		return nil, faults
	}
	return s, nil
}

// CheckSettings parses settings and returns every fault.
func CheckSettings(file, text string, bounds BoundsReader) (*Settings, inicheck.Faults) {
	checker := inicheck.New(file)
	sections := make(map[string]inicheck.Section)
	for _, section := range checker.Read(text) {
		if !slices.Contains(sectionNames, section.Name) {
			section.Fail("", "["+strings.Join(sectionNames, "], [")+"]", "unknown section")
			continue
		}
		sections[section.Name] = section
	}
	for _, name := range sectionNames {
		if _, ok := sections[name]; !ok {
			checker.Add(inicheck.Fault{File: file, Line: 1, Section: name, Problem: "section is missing"})
		}
	}
	if faults := checker.Faults(); len(faults) > 0 {
		return nil, faults
	}
	s := parseSections(sections)
	var err error
	if s.Bounds, err = bounds(keyValues(sections[sectionBounds])); err != nil {
		sections[sectionBounds].Fail("", "numbers", "%v", err)
	}
	if s.RegionOf[s.Domain] != s.Region {
		sections[sectionHost].Fail("failure-domain", "a key of [domains] with the host's region", "failure domain %q is not in region %q", s.Domain, s.Region)
	}
	if faults := checker.Faults(); len(faults) > 0 {
		return nil, faults
	}
	return s, nil
}

func parseSections(sections map[string]inicheck.Section) *Settings {
	host, listen, peers := sections[sectionHost], sections[sectionListen], sections[sectionPeers]
	host.CheckKeys("id", "region", "failure-domain")
	listen.CheckKeys("callers", "ready", "lookup", "peers", "metrics")
	s := &Settings{
		ID:     host.Identifier("id"),
		Region: host.Identifier("region"),
		Domain: host.Identifier("failure-domain"),
		Listen: Listen{
			Callers: listen.Address("callers"),
			Ready:   listen.Address("ready"),
			Lookup:  listen.Address("lookup"),
			Peers:   listen.Address("peers"),
		},
		StoreAddress: sections[sectionStore].Address("address"),
		Memory:       sections[sectionLimits].Size("memory", minMemory, maxMemory),
		RegionOf:     keyValues(sections[sectionDomains]),
	}
	limits := sections[sectionLimits]
	limits.CheckKeys("memory", "cores", "link")
	if limits.Has("cores") {
		s.Cores = limits.Number("cores", minCores, maxCores)
	}
	if limits.Has("link") {
		s.Link = limits.Rate("link", minLink, maxLink)
	}
	if listen.Has("metrics") {
		s.Listen.Metrics = listen.Address("metrics")
	}
	if peers.Has("seeds") {
		s.Seeds = peers.Addresses("seeds")
	}
	return s
}

func keyValues(section inicheck.Section) map[string]string {
	values := make(map[string]string, len(section.Keys))
	for _, key := range section.Keys {
		values[key.Name] = key.Value
	}
	return values
}
