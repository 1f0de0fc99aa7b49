package document

import (
	"fmt"
	"net/netip"
	"sort"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// Parse reads a document.
func Parse(text string) (*Document, error) {
	file, err := ini.LoadSources(ini.LoadOptions{}, []byte(text))
	if err != nil {
		return nil, fmt.Errorf("parse document: %w", err)
	}
	p := &parser{doc: &Document{}}
	for _, section := range file.Sections() {
		p.section(section)
	}
	if p.err != nil {
		return nil, p.err
	}
	sort.SliceStable(p.doc.Ranks, func(i, j int) bool {
		return p.doc.Ranks[i].Priority < p.doc.Ranks[j].Priority
	})
	return p.doc, nil
}

type parser struct {
	doc *Document
	err error
}

func (p *parser) fail(s *ini.Section, key string, err error) {
	if p.err == nil && err != nil {
		p.err = fmt.Errorf("section [%s] key %s: %w", s.Name(), key, err)
	}
}

func (p *parser) section(s *ini.Section) {
	words := strings.Fields(s.Name())
	switch {
	case words[0] == "environment":
		p.doc.Environment = Environment{
			Name:         s.Key("name").String(),
			CacheTime:    p.duration(s, "cache-time"),
			MoveCap:      p.percent(s, "move-cap"),
			MoveInterval: p.duration(s, "move-interval"),
		}
	case words[0] == "region" && len(words) == 2:
		region := Region{
			Name:       model.Region(words[1]),
			EntryHosts: p.integer(s, "entry-hosts"),
			Weight:     float64(p.integer(s, "weight")),
		}
		for _, name := range s.Key("failure-domains").Strings(",") {
			region.FailureDomains = append(region.FailureDomains, model.FailureDomain(name))
		}
		p.doc.Regions = append(p.doc.Regions, region)
	case words[0] == "link" && len(words) == 3:
		p.doc.Links = append(p.doc.Links, Link{
			A:              model.Region(words[1]),
			B:              model.Region(words[2]),
			BytesPerSecond: p.bitRate(s, "limit"),
		})
	case words[0] == "rank" && len(words) == 2:
		p.doc.Ranks = append(p.doc.Ranks, Rank{
			Name:            model.Rank(words[1]),
			Priority:        p.integer(s, "priority"),
			Deadline:        p.duration(s, "deadline"),
			GuaranteedShare: p.percent(s, "guaranteed-share"),
			QueueLimit:      p.integer(s, "queue"),
		})
	case words[0] == "service" && len(words) == 2:
		p.doc.Services = append(p.doc.Services, Service{
			Name:          model.Service(words[1]),
			AnswerTimeout: p.duration(s, "answer-timeout"),
			MaxBodyBytes:  int64(p.integer(s, "max-body")) << 10,
		})
	case words[0] == "server" && len(words) == 2:
		drain, _ := s.Key("drain").Bool()
		p.doc.Servers = append(p.doc.Servers, Server{
			Name:          model.ServerID(words[1]),
			Service:       model.Service(s.Key("service").String()),
			Region:        model.Region(s.Key("region").String()),
			FailureDomain: model.FailureDomain(s.Key("failure-domain").String()),
			Address:       s.Key("address").String(),
			Slots:         p.integer(s, "slots"),
			Connections:   p.integer(s, "connections"),
			Drain:         drain,
		})
	case words[0] == "block" && len(words) == 2:
		prefix, err := netip.ParsePrefix(words[1])
		p.fail(s, "", err)
		p.doc.Blocks = append(p.doc.Blocks, Block{Prefix: prefix, Region: model.Region(s.Key("region").String())})
	}
}

func (p *parser) duration(s *ini.Section, key string) time.Duration {
	d, err := time.ParseDuration(s.Key(key).String())
	p.fail(s, key, err)
	return d
}

func (p *parser) percent(s *ini.Section, key string) float64 {
	value, err := strconv.ParseFloat(strings.TrimSuffix(s.Key(key).String(), "%"), 64)
	p.fail(s, key, err)
	return value / 100
}

func (p *parser) integer(s *ini.Section, key string) int {
	value, err := strconv.Atoi(strings.Fields(s.Key(key).String() + " x")[0])
	p.fail(s, key, err)
	return value
}

// bitRate reads a rate such as "4 Gbit/s" as bytes per second.
func (p *parser) bitRate(s *ini.Section, key string) float64 {
	const bitsPerByte = 8
	number, unit, _ := strings.Cut(s.Key(key).String(), " ")
	value, err := strconv.ParseFloat(number, 64)
	p.fail(s, key, err)
	scale := map[string]float64{"Kbit/s": 1e3, "Mbit/s": 1e6, "Gbit/s": 1e9}[unit]
	return value * scale / bitsPerByte
}
