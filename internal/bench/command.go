package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"
)

// parallelRuns is the number of concurrent runs. It bounds the memory in use.
const parallelRuns = 4

// Command returns the command line of wisteria-bench.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "wisteria-bench",
		Usage: "run the load scenarios of the decision packages on a fake clock",
		Flags: []cli.Flag{
			&cli.Int64Flag{Name: "seed", Value: 1, Usage: "random seed of the arrivals"},
			&cli.StringFlag{Name: "out", Value: "out/bench.json", Usage: "file to write the results to"},
			&cli.StringFlag{Name: "scenario", Usage: "run only scenarios whose name contains this text"},
			&cli.StringFlag{Name: "policy", Usage: "run only the policy with this name"},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			results, err := runAll(cmd.Int64("seed"), cmd.String("scenario"), cmd.String("policy"))
			if err != nil {
				return err
			}
			if err := WriteTable(os.Stdout, results); err != nil {
				return fmt.Errorf("print table: %w", err)
			}
			hosts := runHosts(uint64(cmd.Int64("seed")), cmd.String("scenario"), cmd.String("policy"))
			if err := WriteHostTable(os.Stdout, hosts); err != nil {
				return fmt.Errorf("print host table: %w", err)
			}
			return writeJSON(cmd.String("out"), output{Dispatchers: results, Hosts: hosts})
		},
	}
}

// runAll runs the selected scenarios and policies for each deployment. The
// order of the results does not depend on the order in which runs end.
func runAll(seed int64, scenario, policy string) ([]RunResult, error) {
	var runs []func() RunResult
	for _, s := range Scenarios() {
		for _, d := range Deployments() {
			for _, p := range Policies() {
				if strings.Contains(s.Name, scenario) && (policy == "" || policy == p.Name) {
					runs = append(runs, func() RunResult { return Run(d, s, p, seed) })
				}
			}
		}
	}
	results := make([]RunResult, len(runs))
	var group errgroup.Group
	group.SetLimit(parallelRuns)
	for i, run := range runs {
		group.Go(func() error {
			results[i] = run()
			return nil
		})
	}
	return results, group.Wait()
}

// runHosts runs the selected host scenarios and host policies.
func runHosts(seed uint64, scenario, policy string) []HostResult {
	var results []HostResult
	for _, s := range HostScenarios() {
		for _, p := range HostPolicies() {
			if strings.Contains(s.Name, scenario) && (policy == "" || policy == p.Name) {
				results = append(results, RunHost(s, p, seed))
			}
		}
	}
	return results
}

// output is the content of the results file.
type output struct {
	Dispatchers []RunResult  `json:"dispatchers"`
	Hosts       []HostResult `json:"hosts"`
}

func writeJSON(path string, results output) error {
	text, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return fmt.Errorf("encode results: %w", err)
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return fmt.Errorf("create directory for results: %w", err)
	}
	if err := os.WriteFile(path, append(text, '\n'), 0o644); err != nil {
		return fmt.Errorf("write results: %w", err)
	}
	return nil
}
