package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/wisteriacrank/wisteriacrank/internal/operator"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

// pollInterval is the time between two reads of the status while a command
// waits.
const pollInterval = 250 * time.Millisecond

const (
	outputText = "text"
	outputJSON = "json"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:        "status",
		Usage:       "show the state of the agent's environment",
		Description: example("status --wait --generation 7 --timeout 10s") + "\n   wisteriactl status --output json",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "output", Value: outputText, Usage: "text or json"},
			&cli.BoolFlag{Name: "wait", Usage: "wait until a generation is in force on every live host"},
			&cli.Uint64Flag{Name: "generation", Usage: "generation to wait for; the agent's newest if not given"},
			&cli.DurationFlag{Name: "timeout", Value: 30 * time.Second, Usage: "time limit of --wait"},
		},
		Action: showStatus,
	}
}

func showStatus(ctx context.Context, cmd *cli.Command) error {
	output := cmd.String("output")
	if output != outputText && output != outputJSON {
		return usageError{fmt.Sprintf("--output %q; accepted: %s, %s", output, outputText, outputJSON)}
	}
	c := newClient(cmd)
	var status operator.Status
	var err error
	if cmd.Bool("wait") {
		status, err = c.waitInForce(ctx, cmd.Uint64("generation"), cmd.Duration("timeout"))
	} else {
		status, err = c.status(ctx)
	}
	if status.Environment != "" {
		printStatus(cmd.Root().Writer, output, status)
	}
	return err
}

// waitInForce reads the status until the generation is in force everywhere. If no
// agent responds, it retries until the time limit. The limit doesn't apply to the
// first read, so that there is a status to print.
func (c client) waitInForce(ctx context.Context, generation uint64, limit time.Duration) (operator.Status, error) {
	waitCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	last, err := c.status(ctx)
	for {
		if _, refused := asProblem(err); refused {
			return last, err
		}
		if generation == 0 {
			generation = last.Generation
		}
		if err == nil && last.InForce(generation) {
			return last, nil
		}
		select {
		case <-waitCtx.Done():
			return last, waitTimeout(generation, limit, err)
		case <-time.After(pollInterval):
		}
		next, failure := c.status(waitCtx)
		if failure == nil {
			last = next
		}
		err = failure
	}
}

func waitTimeout(generation uint64, limit time.Duration, last error) error {
	detail := fmt.Sprintf("generation %d is not in force everywhere after %v", generation, limit)
	if last != nil {
		detail += "; " + last.Error()
	}
	return &operator.Problem{Code: result.WaitTimeout, Detail: detail}
}

func printStatus(w io.Writer, output string, s operator.Status) {
	if output == outputJSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		_ = encoder.Encode(s)
		return
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "%s, seen by %s: generation %d, store responded %.1f s ago\n", s.Environment, s.Agent, s.Generation, s.StoreSeconds)
	fmt.Fprintln(table, "REGION\tIN FORCE\tLIVE\tREADY")
	for _, r := range s.Regions {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\n", r.Region, r.InForce, r.Live, r.Ready)
	}
	printDetails(table, s)
	_ = table.Flush()
}

// printDetails prints the deviations from normal operation. Ready hosts are
// counted in the table of the regions and not listed.
func printDetails(w io.Writer, s operator.Status) {
	for _, h := range s.Lagging {
		fmt.Fprintf(w, "lagging: %s (%s) has generation %d\n", h.Host, h.Region, h.Generation)
	}
	for _, h := range s.Hosts {
		if h.State != "ready" {
			fmt.Fprintf(w, "host: %s (%s, %s) is %s\n", h.Host, h.Region, h.FailureDomain, h.State)
		}
	}
	for _, d := range s.Drains {
		fmt.Fprintf(w, "drain: %s (%s) since %.0f s by %s, %d requests in flight\n", d.Server, d.Region, d.Seconds, d.Cause, d.InFlight)
	}
	for _, weight := range s.Weights {
		fmt.Fprintf(w, "ramp: %s has %.1f%% of %.1f%%\n", weight.Region, weight.Effective*100, weight.Target*100)
	}
	for _, m := range s.Moves {
		fmt.Fprintf(w, "move: %s serves %d of at most %d requests for %s\n", m.Region, m.InUse, m.Limit, m.Home)
	}
	for _, g := range s.Grants {
		fmt.Fprintf(w, "grant: %s gives %d slots of %s to %s\n", g.Region, g.Slots, g.Service, g.To)
	}
	for _, f := range s.Floods {
		fmt.Fprintf(w, "flood: %s/%s in %s, %d waiting, %.1f refused per second\n", f.Service, f.Rank, f.Region, f.Waiting, f.RefusedPerSecond)
	}
	for _, q := range s.Quarantined {
		fmt.Fprintf(w, "quarantine: %s in %s, %d suspected, %d convicted\n", q.Service, q.Region, q.Suspected, q.Convicted)
	}
}
