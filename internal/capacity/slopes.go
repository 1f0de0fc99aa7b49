// Package capacity measures the cost of the system's components on this machine,
// and derives from it the resources that each role needs at the design size.
package capacity

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
)

// Slope is one measured value at one size.
type Slope struct {
	Name  string  `json:"name"`
	Size  int     `json:"size"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
}

// Slopes holds the values of one measurement run.
type Slopes struct {
	Go     string  `json:"go"`
	CPUs   int     `json:"cpus"`
	Slopes []Slope `json:"slopes"`
}

// NewSlopes returns Slopes of this machine without values.
func NewSlopes() *Slopes {
	return &Slopes{Go: runtime.Version(), CPUs: runtime.NumCPU()}
}

// Load reads slopes from a file.
func Load(path string) (*Slopes, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read slopes: %w", err)
	}
	s := &Slopes{}
	if err := json.Unmarshal(text, s); err != nil {
		return nil, fmt.Errorf("read slopes: %w", err)
	}
	return s, nil
}

// Save writes the slopes to a file.
func (s *Slopes) Save(path string) error {
	text, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return fmt.Errorf("write slopes: %w", err)
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return fmt.Errorf("write slopes: %w", err)
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

func (s *Slopes) add(name string, size int, value float64, unit string) {
	s.Slopes = append(s.Slopes, Slope{Name: name, Size: size, Value: value, Unit: unit})
}

// Get returns the value of a slope at a size.
func (s *Slopes) Get(name string, size int) (float64, bool) {
	for _, x := range s.Slopes {
		if x.Name == name && x.Size == size {
			return x.Value, true
		}
	}
	return 0, false
}

// AddBenchmarks adds the values of `go test -bench` output. A benchmark with the
// parameter members=N is measured at size N; other parameters are part of the
// name of the slope.
func (s *Slopes) AddBenchmarks(r io.Reader) error {
	pkg := ""
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		fields := strings.Fields(scanner.Text())
		if len(fields) == 2 && fields[0] == "pkg:" {
			pkg = filepath.Base(fields[1])
		}
		if len(fields) >= 4 && strings.HasPrefix(fields[0], "Benchmark") {
			if err := s.addBenchmark(pkg, fields); err != nil {
				return err
			}
		}
	}
	return scanner.Err()
}

func (s *Slopes) addBenchmark(pkg string, fields []string) error {
	name := strings.TrimPrefix(fields[0], "Benchmark")
	if dash := strings.LastIndex(name, "-"); dash > 0 {
		name = name[:dash]
	}
	size, nameParts := 0, []string{pkg}
	for _, part := range strings.Split(name, "/") {
		if n, ok := strings.CutPrefix(part, "members="); ok {
			size, _ = strconv.Atoi(n)
			continue
		}
		nameParts = append(nameParts, part)
	}
	for i := 2; i+1 < len(fields); i += 2 {
		value, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			return fmt.Errorf("benchmark %s: %w", fields[0], err)
		}
		s.add(strings.Join(nameParts, "."), size, value, fields[i+1])
	}
	return nil
}

// GetUnit returns the value of a slope at a size in a unit.
func (s *Slopes) GetUnit(name string, size int, unit string) (float64, bool) {
	for _, x := range s.Slopes {
		if x.Name == name && x.Size == size && x.Unit == unit {
			return x.Value, true
		}
	}
	return 0, false
}
