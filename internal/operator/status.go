package operator

import "context"

// StatusSource returns the status of the environment. The agent implements it.
// It must be safe for concurrent use.
type StatusSource interface {
	Status(ctx context.Context) (Status, error)
}

// Status is the state of an environment as one agent sees it.
type Status struct {
	Environment string `json:"environment"`
	// Agent is the host whose agent reports the status.
	Agent string `json:"agent"`
	// Generation is the highest one that the agent has.
	Generation uint64 `json:"generation"`
	// StoreSeconds is the time since the store's last response to the agent, -1 if
	// there was none.
	StoreSeconds float64        `json:"store_seconds"`
	Regions      []RegionStatus `json:"regions"`
	// Lagging lists the live hosts below Generation.
	Lagging     []LaggingHost  `json:"lagging,omitempty"`
	Hosts       []HostStatus   `json:"hosts,omitempty"`
	Drains      []DrainStatus  `json:"drains,omitempty"`
	Moves       []MoveStatus   `json:"moves,omitempty"`
	Grants      []GrantStatus  `json:"grants,omitempty"`
	Floods      []FloodStatus  `json:"floods,omitempty"`
	Quarantined []Quarantined  `json:"quarantined,omitempty"`
	Weights     []RegionWeight `json:"weights,omitempty"`
}

// HostDetails is the part of the status that the entry daemon of one host
// reports.
type HostDetails struct {
	Drains      []DrainStatus `json:"drains,omitempty"`
	Moves       []MoveStatus  `json:"moves,omitempty"`
	Grants      []GrantStatus `json:"grants,omitempty"`
	Floods      []FloodStatus `json:"floods,omitempty"`
	Quarantined []Quarantined `json:"quarantined,omitempty"`
}

// Add adds the details of one host to the status.
func (s *Status) Add(d HostDetails) {
	s.Drains = append(s.Drains, d.Drains...)
	s.Moves = append(s.Moves, d.Moves...)
	s.Grants = append(s.Grants, d.Grants...)
	s.Floods = append(s.Floods, d.Floods...)
	for _, q := range d.Quarantined {
		s.addQuarantined(q)
	}
}

// addQuarantined keeps the highest counts of a region and service. The hosts of
// a region share their quarantine, so a sum would count a request several times.
func (s *Status) addQuarantined(q Quarantined) {
	for i := range s.Quarantined {
		if existing := &s.Quarantined[i]; existing.Region == q.Region && existing.Service == q.Service {
			existing.Suspected = max(existing.Suspected, q.Suspected)
			existing.Convicted = max(existing.Convicted, q.Convicted)
			return
		}
	}
	s.Quarantined = append(s.Quarantined, q)
}

// RegionStatus is the configuration in force in a region and the number of its
// hosts.
type RegionStatus struct {
	Region string `json:"region"`
	// InForce is the lowest generation among the live hosts of the region.
	InForce uint64 `json:"in_force"`
	Live    int    `json:"live"`
	Ready   int    `json:"ready"`
}

// LaggingHost is a live host that has an older generation in force.
type LaggingHost struct {
	Host       string `json:"host"`
	Region     string `json:"region"`
	Generation uint64 `json:"generation"`
}

// HostStatus is the membership record of a host.
type HostStatus struct {
	Host          string `json:"host"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	// State is starting, ready, stopping, suspect, dead or left.
	State       string `json:"state"`
	Generation  uint64 `json:"generation"`
	Incarnation uint64 `json:"incarnation"`
}

// DrainStatus is a backend server that is draining.
type DrainStatus struct {
	Server  string `json:"server"`
	Service string `json:"service"`
	Region  string `json:"region"`
	// Cause is document, host-list, health or response.
	Cause string `json:"cause"`
	// InFlight is the number of requests that still run on it.
	InFlight int     `json:"in_flight"`
	Seconds  float64 `json:"seconds"`
}

// MoveStatus is the traffic of another home region that a region serves.
type MoveStatus struct {
	Region string `json:"region"`
	Home   string `json:"home"`
	// InUse and Limit are concurrent requests.
	InUse int `json:"in_use"`
	Limit int `json:"limit"`
}

// GrantStatus is the capacity that a region granted to another.
type GrantStatus struct {
	Region  string `json:"region"`
	To      string `json:"to"`
	Service string `json:"service"`
	Slots   int    `json:"slots"`
}

// FloodStatus is a rank whose load exceeds its share.
type FloodStatus struct {
	Region           string  `json:"region"`
	Service          string  `json:"service"`
	Rank             string  `json:"rank"`
	Waiting          int     `json:"waiting"`
	RefusedPerSecond float64 `json:"refused_per_second"`
}

// Quarantined counts the suspected and convicted requests of a service.
type Quarantined struct {
	Region    string `json:"region"`
	Service   string `json:"service"`
	Suspected int    `json:"suspected"`
	Convicted int    `json:"convicted"`
}

// RegionWeight is the share of a region while a change of weights is carried
// out.
type RegionWeight struct {
	Region    string  `json:"region"`
	Effective float64 `json:"effective"`
	Target    float64 `json:"target"`
}

// InForce reports whether the generation is in force in every region and on
// every live host.
func (s Status) InForce(generation uint64) bool {
	for _, region := range s.Regions {
		if region.InForce < generation {
			return false
		}
	}
	for _, host := range s.Lagging {
		if host.Generation < generation {
			return false
		}
	}
	return len(s.Regions) > 0
}
