package bench

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// HostClassResult counts the results of the requests of one class or region.
type HostClassResult struct {
	Class    string `json:"class,omitempty"`
	Requests int    `json:"asked"`
	InTarget int    `json:"in_aim"`
	Late     int    `json:"late"`
	Failed   int    `json:"failed"`
	// Refused requests did not run.
	Refused int `json:"refused"`
}

// count adds the outcome of one request.
func (r *HostClassResult) count(end hostOutcome, inTarget, inTime bool) {
	switch {
	case end == hostRefused:
		r.Refused++
	case end == hostFailed || !inTime:
		r.Failed++
	case inTarget:
		r.InTarget++
	default:
		r.Late++
	}
}

// Share returns the share of requests with a response within their target.
func (r *HostClassResult) Share() float64 {
	if r.Requests == 0 {
		return 0
	}
	return float64(r.InTarget) / float64(r.Requests)
}

// HostResult is one run of a host scenario.
type HostResult struct {
	Scenario string            `json:"scenario"`
	Policy   string            `json:"policy"`
	Classes  []HostClassResult `json:"classes"`
	// WorstRegion is the lowest Share of any region.
	WorstRegion float64 `json:"worst_region"`
}

// RunHost simulates one host scenario under a policy.
func RunHost(scenario HostScenario, policy HostPolicy, seed uint64) HostResult {
	sim := newHostSimulation(scenario, policy, seed)
	sim.simulate()
	result := HostResult{Scenario: scenario.Name, Policy: policy.Name, WorstRegion: 1}
	for _, class := range hostClasses() {
		result.Classes = append(result.Classes, *sim.results[class.name])
	}
	for _, region := range sim.regions {
		result.WorstRegion = min(result.WorstRegion, region.Share())
	}
	return result
}

// WriteHostTable prints one line for each run.
func WriteHostTable(out io.Writer, results []HostResult) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "scenario\tpolicy\tin target: check\tpurchase\thistory\tworst region\trefused\tfailed")
	for _, r := range results {
		refused, failed := 0, 0
		fmt.Fprintf(table, "%s\t%s", r.Scenario, r.Policy)
		for _, c := range r.Classes {
			fmt.Fprintf(table, "\t%.3f", c.Share())
			refused += c.Refused
			failed += c.Failed
		}
		fmt.Fprintf(table, "\t%.3f\t%d\t%d\n", r.WorstRegion, refused, failed)
	}
	return table.Flush()
}
