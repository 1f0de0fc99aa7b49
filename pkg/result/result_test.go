package result

import (
	"flag"
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "rewrite the table in docs")

const page = "../../docs/result-codes.md"

// Guards against a code that callers receive but docs/result-codes.md lacks.
func TestPageMatchesTheTable(t *testing.T) {
	var b strings.Builder
	b.WriteString("| Code | Name | Class | HTTP | Safe | Meaning | Action |\n|---|---|---|---|---|---|---|\n")
	for _, info := range All() {
		safe := map[bool]string{true: "yes", false: "no"}[info.ResendSafe]
		fmt.Fprintf(&b, "| %d | `%s` | %s | %d | %s | %s | %s |\n",
			info.Code, info.Name, info.Code.Class(), info.HTTPStatus, safe, info.Meaning, info.Action)
	}
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	start := strings.Index(string(text), "| Code |")
	if start < 0 {
		t.Fatalf("%s has no table", page)
	}
	if *update {
		if err := os.WriteFile(page, append(text[:start:start], b.String()...), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if string(text)[start:] != b.String() {
		t.Errorf("%s differs from the code; run go test ./pkg/result -update", page)
	}
}

// Guards against a constant without an entry, a duplicate entry and a code
// without a class.
func TestTableIsComplete(t *testing.T) {
	source, err := os.ReadFile("result.go")
	if err != nil {
		t.Fatal(err)
	}
	constants := regexp.MustCompile(`(?m)^\t\w+ +Code = \d+$`).FindAllString(string(source), -1)
	seen := make(map[string]bool)
	for _, info := range All() {
		if seen[info.Name] || seen[fmt.Sprint(info.Code)] || info.Code.Class() == ClassInvalid {
			t.Errorf("%v is used twice or has no class", info.Code)
		}
		seen[info.Name], seen[fmt.Sprint(info.Code)] = true, true
	}
	if len(constants) != len(All()) {
		t.Errorf("%d constants and %d entries", len(constants), len(All()))
	}
}
