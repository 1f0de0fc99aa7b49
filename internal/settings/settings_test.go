package settings

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "rewrite golden files and the table in docs")

const pagePath = "../../docs/settings.md"

const minimalSettings = `[host]
id = bagmati-1
environment = trial
region = bagmati
failure-domain = bagmati-a
[listen]
callers = 127.0.0.1:7710
peers = 127.0.0.1:7711
lookup = 127.0.0.1:7712
agent = 127.0.0.1:7713
operators = 127.0.0.1:7714
[store]
url = http://127.0.0.1:7600
`

// Guards against a check that stops at the first fault or prints a secret.
func TestEveryFaultIsReportedInOneRun(t *testing.T) {
	text, err := os.ReadFile("testdata/faults.ini")
	if err != nil {
		t.Fatal(err)
	}
	_, faults := Check("faults.ini", string(text))
	got := faults.Error() + "\n"
	if strings.Contains(got, "secret") {
		t.Errorf("a secret is in the faults:\n%s", got)
	}
	if *update {
		if err := os.WriteFile("testdata/faults.golden", []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile("testdata/faults.golden")
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("faults:\n%s\nwant:\n%s", got, want)
	}
}

// Guards against printed settings that differ from the effective ones.
func TestPrintedSettingsReadBackTheSame(t *testing.T) {
	first, faults := Check("small", minimalSettings)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	var out bytes.Buffer
	if err := first.Write(&out); err != nil {
		t.Fatal(err)
	}
	second, faults := Check("printed", out.String())
	if len(faults) > 0 {
		t.Fatalf("%v in\n%s", faults, out.String())
	}
	first.defaulted, second.defaulted = nil, nil
	if !reflect.DeepEqual(first, second) {
		t.Errorf("printed %+v, effective %+v", second, first)
	}
	if first.Limits != DefaultLimits() || !strings.Contains(out.String(), "frame = 9 MB ; default") {
		t.Errorf("limits %+v, printed\n%s", first.Limits, out.String())
	}
}

// Guards against a page that lacks a key or describes it differently.
func TestPageMatchesTheTable(t *testing.T) {
	var b strings.Builder
	b.WriteString("| Section | Key | Default | Meaning |\n|---|---|---|---|\n")
	for _, key := range Keys() {
		defaultText := key.Default
		if key.Required {
			defaultText = "required"
		}
		fmt.Fprintf(&b, "| `[%s]` | `%s` | %s | %s |\n", key.Section, key.Name, defaultText, key.Help)
	}
	text, err := os.ReadFile(pagePath)
	if err != nil {
		t.Fatal(err)
	}
	start := strings.Index(string(text), "| Section |")
	if start < 0 {
		t.Fatalf("%s has no table", pagePath)
	}
	if *update {
		if err := os.WriteFile(pagePath, append(text[:start:start], b.String()...), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if string(text)[start:] != b.String() {
		t.Errorf("%s differs from the code; run go test ./internal/settings -update", pagePath)
	}
}

// Guards against limits that allow a body that does not fit into a frame.
func TestFrameMustHoldAWholeBody(t *testing.T) {
	_, faults := Check("small", minimalSettings+"[limits]\nbody = 32 MB\n")
	if len(faults) != 1 || faults[0].Key != "frame" {
		t.Errorf("faults %v", faults)
	}
}
