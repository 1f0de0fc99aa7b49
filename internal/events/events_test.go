package events

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

var update = flag.Bool("update", false, "rewrite the catalogue in docs")

const catalogue = "../../docs/events.md"

// Guards against an event that docs/events.md lacks or describes differently.
func TestCatalogueMatchesTheTable(t *testing.T) {
	var b strings.Builder
	b.WriteString("| Event | Level | Name | Fields | Meaning |\n|---|---|---|---|---|\n")
	for _, info := range All() {
		names := make([]string, len(info.Fields))
		for i, name := range info.Fields {
			names[i] = "`" + string(name) + "`"
		}
		fmt.Fprintf(&b, "| %d | %s | `%s` | %s | %s |\n", info.ID, info.Level, info.Name, strings.Join(names, ", "), info.Meaning)
	}
	text, err := os.ReadFile(catalogue)
	if err != nil {
		t.Fatal(err)
	}
	start := strings.Index(string(text), "| Event |")
	if start < 0 {
		t.Fatalf("%s has no table", catalogue)
	}
	if *update {
		if err := os.WriteFile(catalogue, append(text[:start:start], b.String()...), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if string(text)[start:] != b.String() {
		t.Errorf("%s differs from the code; run go test ./internal/events -update", catalogue)
	}
}

// Guards against two events with the same number or name, and against a constant
// without a table entry.
func TestTableIsComplete(t *testing.T) {
	source, err := os.ReadFile("table.go")
	if err != nil {
		t.Fatal(err)
	}
	constants := regexp.MustCompile(`(?m)^\t\w+ +ID = \d+$`).FindAllString(string(source), -1)
	seen := make(map[string]bool)
	for _, info := range All() {
		for _, key := range []string{fmt.Sprint(info.ID), info.Name} {
			if seen[key] {
				t.Errorf("%s is used twice", key)
			}
			seen[key] = true
		}
	}
	if len(constants) != len(All()) {
		t.Errorf("%d constants and %d entries", len(constants), len(All()))
	}
}

// Guards against a repeated event that floods the log, and against dropped lines
// that are not counted.
func TestRateLimitCountsDroppedLines(t *testing.T) {
	var out bytes.Buffer
	now := time.Unix(1000, 0)
	log := New(&out, logrus.InfoLevel, func() time.Time { return now })
	for range 100 {
		log.Emit(ServerShedding, Server("s1"), Count(1))
	}
	if n := strings.Count(out.String(), "server-shedding"); n != burst {
		t.Errorf("%d lines in the log, want %d", n, burst)
	}
	now = now.Add(lineInterval)
	log.Emit(ServerShedding, Server("s1"), Count(1))
	if !strings.Contains(out.String(), "dropped=90") {
		t.Errorf("no count of dropped lines in %s", out.String())
	}
	log.Emit(ServerShedding, Server("s1"))
	log.Flush()
	if !strings.Contains(out.String(), "event=1004") {
		t.Errorf("no count of the last dropped line in %s", out.String())
	}
}

// Guards against bodies in the log: an error that quotes a body is truncated and
// stays on one line, and a field that the event does not declare has no value.
func TestTextIsShortAndUndeclaredFieldsHaveNoValue(t *testing.T) {
	var out bytes.Buffer
	log := New(&out, logrus.InfoLevel, time.Now)
	body := strings.Repeat("x", 500) + "\nsecret"
	log.Emit(DaemonFailed, Reason(errors.New(body)), Address("10.9.9.9:1"))
	got := out.String()
	if strings.Contains(got, "secret") || strings.Contains(got, "10.9.9.9") || len(got) > 2*maxTextBytes || strings.Count(got, "\n") != 1 {
		t.Errorf("log %q", got)
	}
	if !strings.Contains(got, "undeclared=address") {
		t.Errorf("the undeclared field is not named in %q", got)
	}
}
