// Package fleet defines the state on which a host bases its routing decisions:
// the operators' configuration and the backend servers. Values are immutable
// once published, so they are shared without locks.
package fleet

import (
	"slices"
	"strings"
	"time"
)

// Kind is the kind of a request, which limits how often it may run.
type Kind int

// Kinds of requests.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// Once marks requests that run at most once.
	Once
	// Upload marks requests with large bodies that run at most once.
	Upload
	// Download marks requests with large responses that may run more than once.
	Download
)

// MayRepeat reports whether a request of the kind may run more than once.
func (k Kind) MayRepeat() bool { return k == Idempotent || k == Download }

// String returns the name of the kind.
func (k Kind) String() string {
	return [...]string{"idempotent", "once", "upload", "download"}[k]
}

// Part is one service of a split route with its relative weight.
type Part struct {
	Service string
	Weight  float64
}

// Route defines where requests with a host name and path prefix are sent.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request may wait; 0 means that only
	// the caller's deadline applies.
	Timeout time.Duration
	// TargetLatency is the latency within which a response has its full value.
	TargetLatency time.Duration
	// MaxAttempts is the maximum number of backend servers to which one
	// request is sent.
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
	// MaxConnections is the number of connections that one server accepts from
	// all hosts together.
	MaxConnections int
	// ColdStart is the time for which a server stays cold after its start.
	ColdStart time.Duration
	// ColdRate is the number of requests per second that a cold server can
	// handle from all hosts together.
	ColdRate float64
}

// Limits bound the requests and connections of a caller.
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

// NewConfig returns a configuration that indexes the routes by host name,
// longest prefix first.
func NewConfig(version uint64, routes []*Route, services map[string]*Service, limits Limits) *Config {
	c := &Config{Version: version, Routes: routes, Services: services, Limits: limits, byHost: make(map[string][]*Route)}
	for _, route := range routes {
		c.byHost[route.Host] = append(c.byHost[route.Host], route)
	}
	for _, hostRoutes := range c.byHost {
		slices.SortStableFunc(hostRoutes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return c
}

// Match returns the route of the host name with the longest prefix of the path,
// or nil.
func (c *Config) Match(host, path string) *Route {
	for _, route := range c.byHost[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}
