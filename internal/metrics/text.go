package metrics

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
)

// textPrefix starts every name in the text format.
const textPrefix = "wisteria"

// serveText writes the registry in the text format: lines of a name, labels and
// a value.
func (r *Registry) serveText(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	r.WriteText(w)
}

// WriteText writes one line for each value of the registry, in a fixed order.
func (r *Registry) WriteText(w io.Writer) {
	var values map[string]any
	if err := json.Unmarshal([]byte(r.String()), &values); err != nil {
		fmt.Fprintf(w, "# the registry cannot be read: %v\n", err)
		return
	}
	// writePairs writes the pairs with labels instead.
	delete(values, requestsName)
	writeValues(w, textPrefix, values)
	r.writePairs(w)
}

func writeValues(w io.Writer, name string, value any) {
	switch v := value.(type) {
	case map[string]any:
		for _, key := range slices.Sorted(maps.Keys(v)) {
			writeValues(w, name+"_"+strings.ReplaceAll(key, "-", "_"), v[key])
		}
	case float64:
		fmt.Fprintf(w, "%s %s\n", name, strconv.FormatFloat(v, 'g', -1, 64))
	case bool:
		fmt.Fprintf(w, "%s %d\n", name, map[bool]int{true: 1}[v])
	}
}

// writePairs writes the results and times of each service and rank.
func (r *Registry) writePairs(w io.Writer) {
	pairs := r.pairSummaries()
	for _, key := range slices.Sorted(maps.Keys(pairs)) {
		service, rank, _ := strings.Cut(key, "/")
		labels := fmt.Sprintf("service=%q,rank=%q", service, rank)
		summary := pairs[key]
		for _, code := range slices.Sorted(maps.Keys(summary.Results)) {
			fmt.Fprintf(w, "%s_results{%s,code=%q} %d\n", textPrefix, labels, code, summary.Results[code])
		}
		writeSummary(w, "latency_ms", labels, summary.Latency)
		writeSummary(w, "queue_time_ms", labels, summary.QueueTime)
	}
}

func writeSummary(w io.Writer, name, labels string, s Summary) {
	if s.Count == 0 {
		return
	}
	for _, q := range []struct {
		quantile string
		value    float64
	}{{"0.5", s.P50}, {"0.9", s.P90}, {"0.99", s.P99}, {"1", s.Max}} {
		fmt.Fprintf(w, "%s_%s{%s,quantile=%q} %g\n", textPrefix, name, labels, q.quantile, q.value)
	}
	fmt.Fprintf(w, "%s_%s_count{%s} %d\n", textPrefix, name, labels, s.Count)
}
