package metrics

import (
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

// Range and precision of a histogram. Two significant digits over this range
// take about 25 KB; a longer time is recorded as maxDuration.
const (
	minDuration       = time.Microsecond
	maxDuration       = 20 * time.Minute
	significantDigits = 2
)

// Summary describes the times of one histogram since the start of the
// process, in milliseconds.
type Summary struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_ms"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// PairSummary describes one pair of service and rank.
type PairSummary struct {
	// Results counts by result code.
	Results   map[string]int64 `json:"results"`
	Latency   Summary          `json:"latency"`
	QueueTime Summary          `json:"queue_time"`
}

// pair holds the metrics of one pair of service and rank.
type pair struct {
	mu        sync.Mutex
	results   map[result.Code]int64
	latency   histogram
	queueTime histogram
}

func newPair() *pair {
	return &pair{results: make(map[result.Code]int64), latency: newHistogram(), queueTime: newHistogram()}
}

// count counts a code. Codes outside the table share the entry 0.
func (p *pair) count(code result.Code) {
	if _, ok := code.Info(); !ok {
		code = 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.results[code]++
}

func (p *pair) summary() PairSummary {
	p.mu.Lock()
	defer p.mu.Unlock()
	results := make(map[string]int64, len(p.results))
	for code, n := range p.results {
		results[strconv.Itoa(int(code))] = n
	}
	return PairSummary{Results: results, Latency: p.latency.summary(), QueueTime: p.queueTime.summary()}
}

// histogram records durations in microseconds. Its owner serializes access.
type histogram struct{ h *hdrhistogram.Histogram }

func newHistogram() histogram {
	return histogram{hdrhistogram.New(minDuration.Microseconds(), maxDuration.Microseconds(), significantDigits)}
}

func (h histogram) record(d time.Duration) {
	d = min(max(d, minDuration), maxDuration)
	// RecordValue fails only outside the range, which min and max exclude.
	_ = h.h.RecordValue(d.Microseconds())
}

func (h histogram) summary() Summary {
	return Summary{
		Count: h.h.TotalCount(),
		Mean:  millis(h.h.Mean()),
		P50:   millis(float64(h.h.ValueAtQuantile(50))),
		P90:   millis(float64(h.h.ValueAtQuantile(90))),
		P99:   millis(float64(h.h.ValueAtQuantile(99))),
		Max:   millis(float64(h.h.Max())),
	}
}

const microsPerMilli = 1000

func millis(micros float64) float64 { return micros / microsPerMilli }
