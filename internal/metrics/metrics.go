// Package metrics counts results and records latency and queue time per
// service and rank, and serves both over HTTP as expvar JSON.
package metrics

import (
	"encoding/json"
	"expvar"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/model"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

// maxPairs bounds the pairs of service and rank. Further pairs share one
// entry, so a caller cannot make a daemon's memory grow with invented names.
const maxPairs = 128

// requestsName is the registry name under which the pairs are published.
const requestsName = "requests"

// otherPair is the key of the shared entry.
const otherPair = "other/other"

// Registry holds the metrics of one daemon. It is safe for concurrent use.
type Registry struct {
	root     *expvar.Map
	counters *expvar.Map

	mu    sync.Mutex
	pairs map[string]*pair
}

// New returns an empty registry. It is not published in the process-wide
// expvar registry, so that a process can have several.
func New() *Registry {
	r := &Registry{root: new(expvar.Map).Init(), counters: new(expvar.Map).Init(), pairs: make(map[string]*pair)}
	r.root.Set("counters", r.counters)
	r.root.Set(requestsName, expvar.Func(func() any { return r.pairSummaries() }))
	return r
}

// Add adds delta to the counter of that name. Names must be constants, because the
// registry does not limit the number of counters.
func (r *Registry) Add(name string, delta int64) { r.counters.Add(name, delta) }

// Gauge publishes a value that is read on each request for metrics. value must
// be safe for concurrent use.
func (r *Registry) Gauge(name string, value func() any) { r.root.Set(name, expvar.Func(value)) }

// CountResult counts a result of a request.
func (r *Registry) CountResult(service model.Service, rank model.Rank, code result.Code) {
	r.pair(service, rank).count(code)
}

// ObserveLatency records the time from arrival to response.
func (r *Registry) ObserveLatency(service model.Service, rank model.Rank, d time.Duration) {
	p := r.pair(service, rank)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.latency.record(d)
}

// ObserveQueueTime records the time that a request waited for a slot.
func (r *Registry) ObserveQueueTime(service model.Service, rank model.Rank, d time.Duration) {
	p := r.pair(service, rank)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queueTime.record(d)
}

// Latency returns the summary of the latencies of one pair.
func (r *Registry) Latency(service model.Service, rank model.Rank) Summary {
	p := r.pair(service, rank)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.latency.summary()
}

func (r *Registry) pair(service model.Service, rank model.Rank) *pair {
	key := string(service) + "/" + string(rank)
	r.mu.Lock()
	defer r.mu.Unlock()
	if p, ok := r.pairs[key]; ok {
		return p
	}
	if len(r.pairs) >= maxPairs {
		key = otherPair
		if p, ok := r.pairs[key]; ok {
			return p
		}
	}
	p := newPair()
	r.pairs[key] = p
	return p
}

func (r *Registry) pairSummaries() map[string]PairSummary {
	r.mu.Lock()
	pairs := make(map[string]*pair, len(r.pairs))
	for key, p := range r.pairs {
		pairs[key] = p
	}
	r.mu.Unlock()
	out := make(map[string]PairSummary, len(pairs))
	for key, p := range pairs {
		out[key] = p.summary()
	}
	return out
}

// Handler serves the registry as text at /metrics, and as JSON with the memory
// statistics of the process at /debug/vars.
func (r *Registry) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", r.serveText)
	mux.HandleFunc("GET /debug/vars", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		fmt.Fprintf(w, "{\"memstats\":%s,\"wisteria\":%s}\n", expvar.Get("memstats"), r)
	})
	return mux
}

// String returns the metrics as JSON; Registry is an expvar.Var.
func (r *Registry) String() string {
	text := r.root.String()
	if !json.Valid([]byte(text)) {
		return "{}"
	}
	return text
}
