package agent

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/wisteriacrank/wisteriacrank/pkg/membership"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

const (
	// statusMaxAge is the age of a report above which a status probes the host.
	statusMaxAge = 2 * time.Second
	// statusMaxCalls is the number of hosts that one status calls at most.
	statusMaxCalls = 256
	// statusParallel is the limit of concurrent calls of one status.
	statusParallel = 32
)

// reportedGeneration is the generation that a host last reported as in force.
type reportedGeneration struct {
	generation model.Generation
	at         time.Time
}

// Status is a snapshot of the system in this agent's view.
type Status struct {
	Host string `json:"host"`
	// Generation is the newest one that this agent has.
	Generation uint64 `json:"generation"`
	Ready      bool   `json:"ready"`
	// Lagging is the number of running hosts with a lower generation in force.
	Lagging int            `json:"lagging"`
	Regions []RegionStatus `json:"regions"`
	Hosts   []HostStatus   `json:"hosts"`
}

// RegionStatus sums up the running hosts of a region.
type RegionStatus struct {
	Region string `json:"region"`
	// Generation is the lowest one in force on a running host.
	Generation uint64 `json:"generation"`
	Hosts      int    `json:"hosts"`
	Ready      int    `json:"ready"`
	Lagging    int    `json:"lagging"`
}

// HostStatus is the state of one host.
type HostStatus struct {
	Host          string `json:"host"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	State         string `json:"state"`
	Incarnation   uint64 `json:"incarnation"`
	// Generation is the one that the host last reported as in force, 0 if it never
	// reported one.
	Generation uint64 `json:"generation"`
	// AgeMillis is the time since that report, -1 if there was none.
	AgeMillis int64 `json:"age_millis"`
}

// Status returns a snapshot after it has probed the hosts whose reports are old
// or lag.
func (a *Agent) Status(ctx context.Context) Status {
	a.refresh(ctx)
	return a.snapshot(time.Now())
}

// refresh probes the hosts whose reports are older than statusMaxAge or lag,
// those with the oldest reports first.
func (a *Agent) refresh(ctx context.Context) {
	now := time.Now()
	a.mu.Lock()
	var stale []model.HostRecord
	current := a.replica.Current().Generation
	for _, r := range a.members.Live() {
		report := a.inForce[r.Host]
		old := now.Sub(report.at) > statusMaxAge || report.generation < current
		if r.Host != a.settings.Host.ID && old {
			stale = append(stale, r)
		}
	}
	slices.SortFunc(stale, func(x, y model.HostRecord) int {
		return a.inForce[x.Host].at.Compare(a.inForce[y.Host].at)
	})
	message := membership.Message{From: a.members.Self(), Digest: a.members.Digest()}
	a.mu.Unlock()
	var group errgroup.Group
	group.SetLimit(statusParallel)
	for _, r := range stale[:min(len(stale), statusMaxCalls)] {
		group.Go(func() error {
			return a.probe(ctx, r.AgentAddress, probeTimeout, message, a.members.Received)
		})
	}
	// A host that doesn't reply keeps its last report.
	_ = group.Wait()
}

func (a *Agent) snapshot(now time.Time) Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	current := a.replica.Current().Generation
	status := Status{Host: string(a.settings.Host.ID), Generation: uint64(current), Ready: a.replica.Ready()}
	a.inForce[a.settings.Host.ID] = reportedGeneration{generation: a.localInForce(now), at: now}
	regions := make(map[model.Region]*RegionStatus)
	for _, r := range a.members.Records() {
		host := a.hostStatus(now, r)
		status.Hosts = append(status.Hosts, host)
		if r.State == model.HostDead || r.State == model.HostLeft {
			continue
		}
		region := regions[r.Region]
		if region == nil {
			region = &RegionStatus{Region: string(r.Region), Generation: host.Generation}
			regions[r.Region] = region
		}
		region.add(host, current)
	}
	for _, region := range regions {
		status.Lagging += region.Lagging
		status.Regions = append(status.Regions, *region)
	}
	slices.SortFunc(status.Regions, func(x, y RegionStatus) int {
		if x.Region < y.Region {
			return -1
		}
		return 1
	})
	return status
}

func (a *Agent) hostStatus(now time.Time, r model.HostRecord) HostStatus {
	host := HostStatus{
		Host:          string(r.Host),
		Region:        string(r.Region),
		FailureDomain: string(r.FailureDomain),
		State:         r.State.String(),
		Incarnation:   uint64(r.Incarnation),
		AgeMillis:     -1,
	}
	if report, ok := a.inForce[r.Host]; ok {
		host.Generation = uint64(report.generation)
		host.AgeMillis = now.Sub(report.at).Milliseconds()
	}
	return host
}

func (s *RegionStatus) add(host HostStatus, current model.Generation) {
	s.Hosts++
	s.Generation = min(s.Generation, host.Generation)
	if host.State == model.HostReady.String() {
		s.Ready++
	}
	if host.Generation < uint64(current) {
		s.Lagging++
	}
}
