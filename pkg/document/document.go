// Package document defines the types of the operators' document of one
// environment and its strict parser.
package document

import (
	"net/netip"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// Document is a checked document. It is immutable after parsing.
type Document struct {
	Environment Environment
	// Regions are in order of preference, which is their order in the text.
	Regions  []Region
	Links    []Link
	Ranks    []Rank
	Services []Service
	Servers  []Server
	Blocks   []Block
}

// Environment holds the settings of the section [environment].
type Environment struct {
	Name string
	// CacheTime is the time for which callers may cache a lookup response.
	CacheTime time.Duration
	// MoveCap is the fraction of a region's slots by which traffic moved from
	// other regions may grow per MoveInterval.
	MoveCap      float64
	MoveInterval time.Duration
}

// Region is a section [region NAME].
type Region struct {
	Name           model.Region
	FailureDomains []model.FailureDomain
	// EntryHosts is the number of entry hosts that share the region's links.
	EntryHosts int
	// Weight is the relative share of traffic without a home region.
	Weight float64
}

// Link is a section [link A B]. The limit applies to each direction.
type Link struct {
	A, B           model.Region
	BytesPerSecond float64
}

// Rank is a section [rank NAME]. Priority 1 is the most urgent.
type Rank struct {
	Name            model.Rank
	Priority        int
	Deadline        time.Duration
	GuaranteedShare float64
	QueueLimit      int
}

// Service is a section [service NAME].
type Service struct {
	Name model.Service
	// AnswerTimeout bounds the wait for the first byte of a response.
	AnswerTimeout time.Duration
	MaxBodyBytes  int64
}

// Server is a section [server NAME].
type Server struct {
	Name          model.ServerID
	Service       model.Service
	Region        model.Region
	FailureDomain model.FailureDomain
	Address       string
	Slots         int
	Connections   int
	Drain         bool
}

// Block is a section [block CIDR]: a block of client addresses and its home
// region.
type Block struct {
	Prefix netip.Prefix
	Region model.Region
}

// Region returns the region with the given name.
func (d *Document) Region(name model.Region) (Region, bool) {
	for _, r := range d.Regions {
		if r.Name == name {
			return r, true
		}
	}
	return Region{}, false
}

// Rank returns the rank with the given name.
func (d *Document) Rank(name model.Rank) (Rank, bool) {
	for _, r := range d.Ranks {
		if r.Name == name {
			return r, true
		}
	}
	return Rank{}, false
}

// Service returns the service with the given name.
func (d *Document) Service(name model.Service) (Service, bool) {
	for _, s := range d.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// Link returns the link between two regions, in either order.
func (d *Document) Link(a, b model.Region) (Link, bool) {
	for _, l := range d.Links {
		if (l.A == a && l.B == b) || (l.A == b && l.B == a) {
			return l, true
		}
	}
	return Link{}, false
}
