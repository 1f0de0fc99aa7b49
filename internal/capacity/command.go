package capacity

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

// Command runs the command line of wisteria-capacity.
func Command(args []string) error {
	cmd := &cli.Command{
		Name:  "wisteria-capacity",
		Usage: "measure the cost of the components and derive the needs of each role",
		Commands: []*cli.Command{
			{Name: "measure", Usage: "measure on this machine", Action: runMeasure, Flags: []cli.Flag{
				&cli.StringFlag{Name: "out", Value: "out/capacity.json", Usage: "file to write the slopes to"},
				&cli.StringSliceFlag{Name: "bench", Usage: "file with output of go test -bench to add"},
			}},
			{Name: "page", Usage: "recompute the tables of a page", Action: runPage, Flags: []cli.Flag{
				&cli.StringFlag{Name: "slopes", Value: "docs/capacity-slopes.json", Usage: "file with the slopes"},
				&cli.StringFlag{Name: "page", Value: "docs/CAPACITY.md", Usage: "page to rewrite"},
			}},
		},
	}
	return cmd.Run(context.Background(), args)
}

func runMeasure(_ context.Context, cmd *cli.Command) error {
	s := NewSlopes()
	if err := s.MeasureLookup(); err != nil {
		return err
	}
	if err := s.MeasureWire(); err != nil {
		return err
	}
	for _, path := range cmd.StringSlice("bench") {
		if err := s.addBenchmarkFile(path); err != nil {
			return err
		}
	}
	for _, x := range s.Slopes {
		fmt.Printf("%-32s %8d %14.1f %s\n", x.Name, x.Size, x.Value, x.Unit)
	}
	return s.Save(cmd.String("out"))
}

func (s *Slopes) addBenchmarkFile(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("read benchmarks: %w", err)
	}
	defer file.Close()
	return s.AddBenchmarks(file)
}

func runPage(_ context.Context, cmd *cli.Command) error {
	s, err := Load(cmd.String("slopes"))
	if err != nil {
		return err
	}
	text, err := os.ReadFile(cmd.String("page"))
	if err != nil {
		return fmt.Errorf("read page: %w", err)
	}
	page, err := s.Render(string(text))
	if err != nil {
		return err
	}
	return os.WriteFile(cmd.String("page"), []byte(page), 0o644)
}
