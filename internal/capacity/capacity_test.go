package capacity

import (
	"os"
	"strings"
	"testing"
)

const (
	slopesFile = "../../docs/capacity-slopes.json"
	pageFile   = "../../docs/CAPACITY.md"
)

// Guards against a total on the page that does not follow from the measured
// slopes.
func TestPageFollowsFromSlopes(t *testing.T) {
	slopes, err := Load(slopesFile)
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(pageFile)
	if err != nil {
		t.Fatal(err)
	}
	page, err := slopes.Render(string(text))
	if err != nil {
		t.Fatal(err)
	}
	want, got := strings.Split(page, "\n"), strings.Split(string(text), "\n")
	for i := range want {
		if i >= len(got) || want[i] != got[i] {
			t.Fatalf("line %d is\n%s\nand the slopes give\n%s", i+1, got[min(i, len(got)-1)], want[i])
		}
	}
	for i := range slopes.Slopes {
		slopes.Slopes[i].Value *= 1.5
	}
	if changed, _ := slopes.Render(page); changed == page {
		t.Error("the page does not depend on the slopes")
	}
}

// Guards against a row that uses 0 for a slope that was not measured, without
// an error.
func TestMissingSlopesAreReported(t *testing.T) {
	text, err := os.ReadFile(pageFile)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := NewSlopes().Render(string(text)); err == nil || !strings.Contains(err.Error(), httpNanos) {
		t.Errorf("page without slopes: error %v, want one that names the missing slope", err)
	}
	if _, err := NewSlopes().Render("no tables"); err == nil || !strings.Contains(err.Error(), `lacks table "agent"`) {
		t.Errorf("page without tables: error %v, want one that names table agent", err)
	}
}

// Guards against values that are read under the wrong size, or under the name of
// a benchmark of another package.
func TestBenchmarkOutputIsRead(t *testing.T) {
	s := NewSlopes()
	err := s.AddBenchmarks(strings.NewReader("pkg: example.org/pkg/membership\n" +
		"BenchmarkChange/members=250/fanout=3-10  20  147517151 ns/op  2302 bytes/op\nPASS\n"))
	if err != nil {
		t.Fatal(err)
	}
	if v, ok := s.GetUnit("membership.Change.fanout=3", 250, "bytes/op"); !ok || v != 2302 {
		t.Errorf("got %v, %v from %+v", v, ok, s.Slopes)
	}
}
