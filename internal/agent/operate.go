package agent

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/wisteriacrank/wisteriacrank/internal/envobject"
	"github.com/wisteriacrank/wisteriacrank/internal/metrics"
	"github.com/wisteriacrank/wisteriacrank/internal/operator"
	"github.com/wisteriacrank/wisteriacrank/internal/platform"
	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
	"github.com/wisteriacrank/wisteriacrank/pkg/document"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
	"github.com/wisteriacrank/wisteriacrank/pkg/ramp"
)

// detailsTimeout bounds the call that reads the details of one host.
const detailsTimeout = time.Second

// serveMetrics publishes counters on the metrics address.
func (a *Agent) serveMetrics(ctx context.Context) error {
	if a.metrics == nil {
		return nil
	}
	if client, ok := a.platform.(*platform.Client); ok {
		a.metrics.Gauge("store_calls", func() any { return client.Calls() })
	}
	a.metrics.Gauge("status", func() any { return a.snapshot(time.Now()) })
	return metrics.Serve(ctx, a.settings.Listen.AgentMetrics, a.metrics)
}

// entryStatus returns the status that the entry daemon of this host last
// reported.
func (a *Agent) entryStatus(now time.Time) *wirepb.StatusReply {
	a.mu.Lock()
	defer a.mu.Unlock()
	report, ok := a.daemons.fresh(wirepb.Role_ROLE_ENTRY, now)
	if !ok {
		return &wirepb.StatusReply{}
	}
	return &wirepb.StatusReply{StatusJson: report.StatusJson}
}

// operatorStatus implements operator.StatusSource on an agent.
type operatorStatus struct{ agent *Agent }

// Status implements operator.StatusSource.
func (o operatorStatus) Status(ctx context.Context) (operator.Status, error) {
	a := o.agent
	snapshot := a.Status(ctx)
	status := operator.Status{
		Environment: a.settings.Host.Environment,
		Agent:       snapshot.Host,
		Generation:  snapshot.Generation,
		Weights:     a.weights(time.Now()),
	}
	for _, r := range snapshot.Regions {
		status.Regions = append(status.Regions, operator.RegionStatus{
			Region: r.Region, InForce: r.Generation, Live: r.Hosts, Ready: r.Ready,
		})
	}
	for _, h := range snapshot.Hosts {
		status.Hosts = append(status.Hosts, operator.HostStatus{
			Host: h.Host, Region: h.Region, FailureDomain: h.FailureDomain,
			State: h.State, Generation: h.Generation, Incarnation: h.Incarnation,
		})
		if h.isLive() && h.Generation < snapshot.Generation {
			status.Lagging = append(status.Lagging, operator.LaggingHost{
				Host: h.Host, Region: h.Region, Generation: h.Generation,
			})
		}
	}
	for _, details := range a.collectDetails(ctx) {
		status.Add(details)
	}
	status.StoreSeconds = a.sinceStoreResponse(ctx)
	return status, nil
}

// sinceStoreResponse reads from the store once, because most agents rarely call
// it, and returns the seconds since its last response, -1 if there was none.
func (a *Agent) sinceStoreResponse(ctx context.Context) float64 {
	ctx, cancel := context.WithTimeout(ctx, detailsTimeout)
	defer cancel()
	_, err := a.platform.Get(ctx, envobject.Key(a.settings.Host.Environment))
	_ = a.recordStoreCall(err)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.outage.responded.IsZero() {
		return -1
	}
	return time.Since(a.outage.responded).Seconds()
}

func (h HostStatus) isLive() bool {
	return h.State != model.HostDead.String() && h.State != model.HostLeft.String()
}

// collectDetails returns the details of up to statusMaxCalls live hosts. It omits
// hosts whose agents don't reply.
func (a *Agent) collectDetails(ctx context.Context) []operator.HostDetails {
	a.mu.Lock()
	live := a.members.Live()
	a.mu.Unlock()
	var mu sync.Mutex
	var all []operator.HostDetails
	var group errgroup.Group
	group.SetLimit(statusParallel)
	for _, r := range live[:min(len(live), statusMaxCalls)] {
		group.Go(func() error {
			if details, ok := a.detailsOf(ctx, r); ok {
				mu.Lock()
				defer mu.Unlock()
				all = append(all, details)
			}
			return nil
		})
	}
	_ = group.Wait()
	return all
}

func (a *Agent) detailsOf(ctx context.Context, r model.HostRecord) (operator.HostDetails, bool) {
	var details operator.HostDetails
	reply := a.entryStatus(time.Now())
	if r.Host != a.settings.Host.ID {
		env := &wirepb.Envelope{Body: &wirepb.Envelope_StatusRequest{StatusRequest: &wirepb.StatusRequest{}}}
		envelope, err := a.callOnce(ctx, r.AgentAddress, detailsTimeout, env)
		if err != nil {
			return details, false
		}
		reply = envelope.GetStatusReply()
	}
	err := json.Unmarshal(reply.GetStatusJson(), &details)
	return details, err == nil
}

// weights returns the region weights while a change of them is carried out.
func (a *Agent) weights(now time.Time) []operator.RegionWeight {
	a.mu.Lock()
	current := a.replica.Current()
	a.mu.Unlock()
	doc, err := document.Parse(current.Text)
	if err != nil {
		return nil
	}
	after := make(map[string]float64, len(doc.Regions))
	for _, r := range doc.Regions {
		after[string(r.Name)] = r.Weight
	}
	environment := doc.Environment
	effective := ramp.Effective(current.Meta.WeightsBefore, after, time.UnixMilli(current.Meta.AcceptedUnixMillis), environment.MoveCap, environment.MoveInterval, now)
	target := ramp.Shares(after)
	var weights []operator.RegionWeight
	for _, r := range doc.Regions {
		name := string(r.Name)
		weights = append(weights, operator.RegionWeight{Region: name, Effective: effective[name], Target: target[name]})
	}
	return weights
}
