package document

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/wisteriacrank/wisteriacrank/pkg/inicheck"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func readFile(t testing.TB, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// Guards against a check that stops at the first fault, reports the wrong line
// or omits the accepted values.
func TestEveryFaultIsReportedInOneRun(t *testing.T) {
	_, faults := Check("faults.ini", readFile(t, "testdata/faults.ini"))
	got := inicheck.Faults(faults).Error() + "\n"
	const golden = "testdata/faults.golden"
	if *update {
		if err := os.WriteFile(golden, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	if want := readFile(t, golden); got != want {
		t.Errorf("faults:\n%s\nwant:\n%s", got, want)
	}
}

// Guards against examples that the check rejects and against sizes that differ
// from the design page.
func TestExamplesHaveTheSizesOfTheDesign(t *testing.T) {
	for _, example := range []struct {
		name                                string
		servers, slots, connections, blocks int
	}{
		{"demo", 4, 4, 650, 2},
		{"ceu-ligado", 32, 3, 800, 12},
		{"dhuwaa-sweep-sewa", 28, 4, 650, 12},
	} {
		doc, faults := Check(example.name, readFile(t, "../../examples/"+example.name+"/document.ini"))
		if len(faults) > 0 {
			t.Errorf("%s", inicheck.Faults(faults))
			continue
		}
		if len(doc.Servers) != example.servers || len(doc.Blocks) != example.blocks {
			t.Errorf("%s: %d servers and %d blocks", example.name, len(doc.Servers), len(doc.Blocks))
		}
		for _, s := range doc.Servers {
			if s.Slots != example.slots || s.Connections != example.connections {
				t.Errorf("%s: server %+v", example.name, s)
			}
		}
	}
}

// Guards against a change that the diff does not show to operators.
func TestDiffListsEveryChange(t *testing.T) {
	text := readFile(t, "../../examples/demo/document.ini")
	edited := strings.NewReplacer(
		"[rank booking]\npriority = 2", "[rank booking]\npriority = 4",
		"limit = 4 Gbit/s", "limit = 4000 Mbit/s",
		"[server booking-desk-2]", "[server booking-desk-9]",
		"connections = 650\n\n[server inspection-log-1]", "connections = 650\ndrain = true\n\n[server inspection-log-1]",
	).Replace(text)
	before, err := Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	after, err := Parse(edited)
	if err != nil {
		t.Fatal(err)
	}
	got := fmt.Sprint(Diff(before, after))
	want := "[~ [rank booking] priority: 2 -> 4 + [server booking-desk-9] - [server booking-desk-2]]"
	if got != want {
		t.Errorf("diff %s\nwant %s", got, want)
	}
	if n := len(Diff(nil, before)); n != 15 {
		t.Errorf("%d sections added to an empty document", n)
	}
}

// largeDocument returns a document with the given numbers of servers and
// blocks, in the form of the largest one that operators may write at the
// design size.
func largeDocument(servers, blocks int) string {
	var b strings.Builder
	b.WriteString("[environment]\nname = large\ncache-time = 10s\nmove-cap = 10%\nmove-interval = 10s\n")
	b.WriteString("[region r]\nfailure-domains = a, b\nentry-hosts = 20\nweight = 1\n")
	b.WriteString("[rank check]\npriority = 1\ndeadline = 1s\nguaranteed-share = 50%\nqueue = 10\n")
	b.WriteString("[service desk]\nanswer-timeout = 1s\nmax-body = 64 KB\n")
	for i := range servers {
		fmt.Fprintf(&b, "[server s%d]\nservice = desk\nregion = r\nfailure-domain = a\naddress = 10.0.%d.%d:80\nslots = 3\nconnections = 800\n", i, i/250, i%250)
	}
	for i := range blocks {
		fmt.Fprintf(&b, "[block 11.%d.%d.0/24]\nregion = r\n", i/256, i%256)
	}
	return b.String()
}

func BenchmarkParse(b *testing.B) {
	for _, scale := range []int{1, 10, 100} {
		text := largeDocument(35*scale, 200*scale)
		b.Run(fmt.Sprintf("servers=%d/blocks=%d", 35*scale, 200*scale), func(b *testing.B) {
			for b.Loop() {
				if _, err := Parse(text); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// Guards against a text on which the check panics, reports a line outside the
// text, or returns both a document and faults or neither, and against a
// document that differs from itself.
func FuzzCheck(f *testing.F) {
	for _, path := range []string{"testdata/faults.ini", "../../examples/demo/document.ini", "../../examples/ceu-ligado/document.ini"} {
		f.Add(readFile(f, path))
	}
	for _, text := range []string{"", "=", "[", "[]", "x", "[ ]\n:", "[a\nb=", "a = `b\nc`", "a = \"\"\"b\n", "[environment]\nname =\n", "\ufeff[environment]", "[DEFAULT]\n-=1\n-=2", "a=%(b)s\r\n[a] ; c", "[block ::ffff:1.2.3.4/120]\nregion=NaN%"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		doc, faults := Check("f", text)
		if (doc == nil) != (len(faults) > 0) {
			t.Fatalf("document %v with %d faults", doc, len(faults))
		}
		lines := strings.Count(text, "\n") + 1
		for _, fault := range faults {
			if fault.Line < 1 || fault.Line > lines || fault.Problem == "" {
				t.Errorf("fault %+v of a text with %d lines", fault, lines)
			}
		}
		if doc != nil && len(Diff(doc, doc)) > 0 {
			t.Errorf("a document differs from itself: %v", Diff(doc, doc))
		}
	})
}
