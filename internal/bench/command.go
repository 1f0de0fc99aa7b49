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

// parallelRuns bounds the memory of runs that are in progress.
const parallelRuns = 4

// Command returns the command line of wisteria-bench.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "wisteria-bench",
		Usage: "measures the decision packages on a fake clock",
		Flags: []cli.Flag{
			&cli.Int64Flag{Name: "seed", Value: 1, Usage: "seed of the arrivals"},
			&cli.StringFlag{Name: "out", Value: "out/bench.json", Usage: "file for the figures"},
			&cli.StringFlag{Name: "scenario", Usage: "run only scenarios whose name contains this"},
			&cli.StringFlag{Name: "policy", Usage: "run only the policy of this name"},
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
				return fmt.Errorf("print table of hosts: %w", err)
			}
			return writeJSON(cmd.String("out"), figures{Dispatchers: results, Hosts: hosts})
		},
	}
}

// runAll runs every combination; the order of the results is fixed.
func runAll(seed int64, scenario, policy string) ([]RunResult, error) {
	var runs []func() RunResult
	for _, s := range Scenarios() {
		for _, u := range Deployments() {
			for _, p := range Policies() {
				if strings.Contains(s.Name, scenario) && (policy == "" || policy == p.Name) {
					runs = append(runs, func() RunResult { return Run(u, s, p, seed) })
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

// runHosts runs every combination of host scenarios and policies.
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

// figures is the content of the file with all figures.
type figures struct {
	Dispatchers []RunResult  `json:"dispatchers"`
	Hosts       []HostResult `json:"hosts"`
}

func writeJSON(path string, results figures) error {
	text, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return fmt.Errorf("encode figures: %w", err)
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return fmt.Errorf("create directory: %w", err)
	}
	if err := os.WriteFile(path, append(text, '\n'), 0o644); err != nil {
		return fmt.Errorf("write figures: %w", err)
	}
	return nil
}
