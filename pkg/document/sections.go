package document

import (
	"net/netip"
	"strings"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/inicheck"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// Ranges of the document's values. Links are in bytes per second (1 Kbit/s to
// 1000 Gbit/s), maxBodyBytes in bytes.
const (
	minCacheTime, maxCacheTime       = time.Second, 10 * time.Minute
	minMoveCap                       = 0.001
	minMoveInterval, maxMoveInterval = 100 * time.Millisecond, time.Hour
	maxEntryHosts                    = 10_000
	maxWeight                        = 1000
	minLink, maxLink                 = 1e3 / 8, 1e12 / 8
	maxPriority                      = 100
	minDeadline, maxDeadline         = time.Millisecond, 10 * time.Minute
	maxQueue                         = 1_000_000
	maxAnswerTimeout                 = 10 * time.Minute
	maxBodyBytes                     = 64 << 20
	maxSlots                         = 10_000
	maxConnections                   = 100_000
)

// acceptedSections lists the accepted section names.
const acceptedSections = "[environment], [region NAME], [link A B], [rank NAME], [service NAME], [server NAME], [block CIDR]"

// reader builds a document from its sections. It keeps the source section of
// each entry for the checks that need the whole document.
type reader struct {
	checker *inicheck.Checker
	doc     *Document
	// environment counts the sections [environment].
	environment int
	regions     map[model.Region]inicheck.Section
	links       []inicheck.Section
	ranks       []inicheck.Section
	services    map[model.Service]inicheck.Section
	servers     []inicheck.Section
	blocks      []inicheck.Section
	// identities maps the normalized name of a section to the line of its first
	// occurrence: [link A B] and [link  A B] are the same section.
	identities map[string]int
}

func newReader(checker *inicheck.Checker) *reader {
	return &reader{
		checker:    checker,
		doc:        &Document{},
		regions:    make(map[model.Region]inicheck.Section),
		services:   make(map[model.Service]inicheck.Section),
		identities: make(map[string]int),
	}
}

func (r *reader) readSection(s inicheck.Section) {
	words := strings.Fields(s.Name)
	if len(words) == 0 {
		s.Fail("", acceptedSections, "key before the first section")
		return
	}
	identity := strings.Join(words, " ")
	if first, ok := r.identities[identity]; ok {
		s.Fail("", "", "given twice, first on line %d", first)
		return
	}
	r.identities[identity] = s.Line
	kind, names := words[0], words[1:]
	switch {
	case kind == "environment" && len(names) == 0:
		r.readEnvironment(s)
	case kind == "link" && len(names) == 2:
		r.readLink(s, names[0], names[1])
	case kind == "block" && len(names) == 1:
		r.readBlock(s, names[0])
	case len(names) == 1:
		r.readNamed(s, kind, names[0])
	default:
		s.Fail("", acceptedSections, "unknown section")
	}
}

func (r *reader) readNamed(s inicheck.Section, kind, name string) {
	switch kind {
	case "region":
		r.readRegion(s, name)
	case "rank":
		r.readRank(s, name)
	case "service":
		r.readService(s, name)
	case "server":
		r.readServer(s, name)
	default:
		s.Fail("", acceptedSections, "unknown section")
		return
	}
	if !inicheck.ValidName(name) {
		s.Fail("", inicheck.AcceptedName, "bad name %q", name)
	}
}

func (r *reader) readEnvironment(s inicheck.Section) {
	s.CheckKeys("name", "cache-time", "move-cap", "move-interval")
	r.environment++
	r.doc.Environment = Environment{
		Name:         s.Identifier("name"),
		CacheTime:    s.Duration("cache-time", minCacheTime, maxCacheTime),
		MoveCap:      s.Percent("move-cap", minMoveCap, 1),
		MoveInterval: s.Duration("move-interval", minMoveInterval, maxMoveInterval),
	}
}

func (r *reader) readRegion(s inicheck.Section, name string) {
	s.CheckKeys("failure-domains", "entry-hosts", "weight")
	region := Region{
		Name:       model.Region(name),
		EntryHosts: s.Integer("entry-hosts", 1, maxEntryHosts),
		Weight:     s.Number("weight", 0, maxWeight),
	}
	for _, domain := range s.Names("failure-domains") {
		region.FailureDomains = append(region.FailureDomains, model.FailureDomain(domain))
	}
	r.regions[region.Name] = s
	r.doc.Regions = append(r.doc.Regions, region)
}

func (r *reader) readLink(s inicheck.Section, a, b string) {
	s.CheckKeys("limit")
	r.links = append(r.links, s)
	r.doc.Links = append(r.doc.Links, Link{
		A:              model.Region(a),
		B:              model.Region(b),
		BytesPerSecond: s.Rate("limit", minLink, maxLink),
	})
}

func (r *reader) readRank(s inicheck.Section, name string) {
	s.CheckKeys("priority", "deadline", "guaranteed-share", "queue")
	r.ranks = append(r.ranks, s)
	r.doc.Ranks = append(r.doc.Ranks, Rank{
		Name:            model.Rank(name),
		Priority:        s.Integer("priority", 1, maxPriority),
		Deadline:        s.Duration("deadline", minDeadline, maxDeadline),
		GuaranteedShare: s.Percent("guaranteed-share", 0, 1),
		QueueLimit:      s.Integer("queue", 1, maxQueue),
	})
}

func (r *reader) readService(s inicheck.Section, name string) {
	s.CheckKeys("answer-timeout", "max-body")
	r.services[model.Service(name)] = s
	r.doc.Services = append(r.doc.Services, Service{
		Name:          model.Service(name),
		AnswerTimeout: s.Duration("answer-timeout", time.Millisecond, maxAnswerTimeout),
		MaxBodyBytes:  s.Size("max-body", 1, maxBodyBytes),
	})
}

func (r *reader) readServer(s inicheck.Section, name string) {
	s.CheckKeys("service", "region", "failure-domain", "address", "slots", "connections", "drain")
	r.servers = append(r.servers, s)
	r.doc.Servers = append(r.doc.Servers, Server{
		Name:          model.ServerID(name),
		Service:       model.Service(s.Identifier("service")),
		Region:        model.Region(s.Identifier("region")),
		FailureDomain: model.FailureDomain(s.Identifier("failure-domain")),
		Address:       s.Address("address"),
		Slots:         s.Integer("slots", 1, maxSlots),
		Connections:   s.Integer("connections", 1, maxConnections),
		Drain:         s.Bool("drain", false),
	})
}

func (r *reader) readBlock(s inicheck.Section, cidr string) {
	s.CheckKeys("region")
	prefix, err := netip.ParsePrefix(cidr)
	if err != nil || prefix != prefix.Masked() || prefix.Addr().Is4In6() {
		s.Fail("", "the first address of a block and its length, such as 10.1.0.0/16 or fd00:1::/32", "bad block %q", cidr)
		prefix = netip.Prefix{}
	}
	r.blocks = append(r.blocks, s)
	r.doc.Blocks = append(r.doc.Blocks, Block{Prefix: prefix, Region: model.Region(s.Identifier("region"))})
}
