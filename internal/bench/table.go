package bench

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteTable prints one line per run and rank.
func WriteTable(out io.Writer, results []RunResult) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "user\tscenario\tpolicy\trank\tgoodput/s\tkept\tkept share\tp50 ms\tp99 ms\tdeadline\tp99 ratio\trefused\tlate\tunknown\tslot use\twaiting\theadroom\twasted\tdrain ms\tmoved shed\tlink\tunanswered\t")
	for _, r := range results {
		for _, k := range r.Ranks {
			fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%.1f\t%.3f\t%.3f\t%.1f\t%.1f\t%.0f\t%.2f\t%d\t%d\t%d\t", r.Deployment, r.Scenario, r.Policy, k.Rank,
				k.Goodput, k.Kept, k.KeptShare, k.P50Ms, k.P99Ms, k.DeadlineMs, k.P99Ratio, k.Refused, k.Late, k.Unknown)
			fmt.Fprintf(t, "%.3f\t%.3f\t%.3f\t%.3f\t%.0f\t%.4f\t%.4f\t%d\t\n", r.SlotUse, r.SlotUseWaiting, r.Headroom, r.Wasted, r.DrainMs, r.MovedShed, r.highestLink(), r.Unanswered)
		}
	}
	return t.Flush()
}

// highestLink returns the highest use of any link direction as a share of its
// limit.
func (r RunResult) highestLink() float64 {
	highest := 0.0
	for _, l := range r.Links {
		highest = max(highest, float64(l.HighestBytes)/l.LimitBytes)
	}
	return highest
}
