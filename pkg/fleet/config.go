// Package fleet holds the state by which a host steers: the operators'
// configuration, the backend servers and the evacuated failure domains. Values
// are immutable once published, so they are shared without locks.
package fleet

import (
	"slices"
	"strings"
	"time"
)

// Kind says how often a request may run.
type Kind int

// Kinds of requests.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// Once marks requests that run at most once.
	Once
	// Upload marks requests with large bodies that run at most once.
	Upload
)

// String returns the name of the kind.
func (k Kind) String() string {
	return [...]string{"idempotent", "once", "upload"}[k]
}

// Part is one service of a split route.
type Part struct {
	Service string
	Weight  float64
}

// Route says where requests of a host name and path prefix go.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request is kept waiting; 0 means that
	// only the caller's deadline counts.
	Timeout time.Duration
	// TargetLatency is the latency within which an answer is worth most.
	TargetLatency time.Duration
	// MaxAttempts bounds the backend servers that one request is sent to.
	MaxAttempts int
	// Priority is 0 for the most urgent requests.
	Priority int
	// Parts has one entry, or several if the route is split.
	Parts []Part
	// Sticky routes run faster on a server that handled the object recently.
	Sticky bool
	// HomeRegions are the only regions that may serve the route; empty allows all.
	HomeRegions []string
}

// AllowsRegion reports whether the route may be served in the region.
func (r *Route) AllowsRegion(region string) bool {
	return len(r.HomeRegions) == 0 || slices.Contains(r.HomeRegions, region)
}

// Service is a group of backend servers that serve the same requests.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is what one server accepts from all hosts together.
	MaxConnections int
	// ColdStart is how long a server stays cold after its start.
	ColdStart time.Duration
	// ColdRate is the number of requests per second that a cold server bears
	// from all hosts together.
	ColdRate float64
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is one version of the operators' configuration.
type Config struct {
	Version  uint64
	Routes   []*Route
	Services map[string]*Service
	Limits   Limits

	byHost map[string][]*Route
}

// NewConfig indexes the routes by host, longest prefix first.
func NewConfig(version uint64, routes []*Route, services map[string]*Service, limits Limits) *Config {
	c := &Config{Version: version, Routes: routes, Services: services, Limits: limits, byHost: make(map[string][]*Route)}
	for _, route := range routes {
		c.byHost[route.Host] = append(c.byHost[route.Host], route)
	}
	for _, of := range c.byHost {
		slices.SortStableFunc(of, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return c
}

// Match returns the route with the longest prefix that begins the path, or nil.
func (c *Config) Match(host, path string) *Route {
	for _, route := range c.byHost[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}
