package metrics

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/model"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

// Guards against percentiles that differ from the recorded times, and against
// output that is not JSON.
func TestHandlerServesResultsAndPercentiles(t *testing.T) {
	r := New()
	for i := range 100 {
		r.ObserveLatency("desk", "check", time.Duration(i+1)*time.Millisecond)
		r.CountResult("desk", "check", result.Served)
	}
	r.ObserveQueueTime("desk", "check", 2*maxDuration)
	r.Add("store-calls", 3)
	w := httptest.NewRecorder()
	r.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/debug/vars", nil))
	var got struct {
		Wisteria struct {
			Counters map[string]int64
			Requests map[string]PairSummary
		}
	}
	if err := json.Unmarshal(w.Body.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	pair := got.Wisteria.Requests["desk/check"]
	if pair.Results["100"] != 100 || pair.Latency.Count != 100 || got.Wisteria.Counters["store-calls"] != 3 {
		t.Errorf("got %+v", got)
	}
	for want, value := range map[float64]float64{50: pair.Latency.P50, 90: pair.Latency.P90, 99: pair.Latency.P99, 100: pair.Latency.Max, 50.5: pair.Latency.Mean} {
		if math.Abs(value-want) > want/100 {
			t.Errorf("%g ms, want %g within 1%%", value, want)
		}
	}
	if pair.QueueTime.Count != 1 || pair.QueueTime.Max < 1000*60 {
		t.Errorf("a time above the range was not recorded: %+v", pair.QueueTime)
	}
}

// Guards against memory that grows with the number of unknown service names.
func TestNumberOfPairsIsBounded(t *testing.T) {
	r := New()
	for i := range 10 * maxPairs {
		r.CountResult(model.Service(fmt.Sprint("s", i)), "check", result.Code(i))
	}
	if len(r.pairs) > maxPairs+1 {
		t.Errorf("%d pairs", len(r.pairs))
	}
	other := r.pairs[otherPair].summary()
	if len(other.Results) > len(result.All())+1 {
		t.Errorf("%d result codes", len(other.Results))
	}
}

// Guards against text that lacks a value, repeats it or changes its order.
func TestTextHasEveryValueOnce(t *testing.T) {
	r := New()
	r.Add("lookups", 3)
	r.Gauge("store_lost", func() any { return true })
	r.Gauge("load", func() any { return map[string]int{"waiting": 1, "running": 2} })
	r.CountResult("desk", "0", result.Served)
	r.CountResult("desk", "0", result.WouldMissDeadline)
	r.ObserveLatency("desk", "0", 100*time.Millisecond)
	w := httptest.NewRecorder()
	r.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	want := `wisteria_counters_lookups 3
wisteria_load_running 2
wisteria_load_waiting 1
wisteria_store_lost 1
wisteria_results{service="desk",rank="0",code="100"} 1
wisteria_results{service="desk",rank="0",code="207"} 1
wisteria_latency_ms{service="desk",rank="0",quantile="0.5"} 100.351
wisteria_latency_ms{service="desk",rank="0",quantile="0.9"} 100.351
wisteria_latency_ms{service="desk",rank="0",quantile="0.99"} 100.351
wisteria_latency_ms{service="desk",rank="0",quantile="1"} 100.351
wisteria_latency_ms_count{service="desk",rank="0"} 1
`
	if got := w.Body.String(); got != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}
