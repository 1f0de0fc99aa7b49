package ctl

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/urfave/cli/v3"

	"github.com/wisteriacrank/wisteriacrank/internal/operator"
	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

// nearRequest is the time before and after a request in which other events are
// printed with it. A host stops dispatching to an unresponsive server after about
// 2 s.
const nearRequest = 3 * time.Second

// logLine is one parsed line of a log.
type logLine struct {
	at     time.Time
	host   string
	name   string
	fields map[string]string
}

// hiddenFields are printed in other ways or are the same on all lines.
var hiddenFields = []string{"time", "level", "msg", "event", "request", "host"}

func (l logLine) String() string {
	var shown []string
	for _, key := range slices.Sorted(maps.Keys(l.fields)) {
		if value := l.fields[key]; value != "" && !slices.Contains(hiddenFields, key) {
			if strings.ContainsAny(value, " =\"") {
				value = strconv.Quote(value)
			}
			shown = append(shown, key+"="+value)
		}
	}
	return l.host + " " + l.name + " " + strings.Join(shown, " ")
}

// explainRequest prints the log events of one request on all hosts.
func explainRequest(cmd *cli.Command, id string) error {
	lines, err := readLogs(cmd.Root().Reader, cmd.Args().Slice())
	if err != nil {
		return err
	}
	var trace []logLine
	for _, l := range lines {
		if l.fields["request"] == id {
			trace = append(trace, l)
		}
	}
	if len(trace) == 0 {
		return &operator.Problem{Code: result.NotFound, Detail: fmt.Sprintf("no line of request %q; ordinary requests are logged in part only, see docs/OPERATIONS.md", id)}
	}
	// The lines of a request are written when it ends. Their field elapsed is the
	// time of the event after the arrival.
	last := trace[len(trace)-1]
	arrival := last.at.Add(-last.elapsed())
	w := cmd.Root().Writer
	fmt.Fprintf(w, "request %s, arrived %s\n", id, arrival.UTC().Format(time.RFC3339Nano))
	for _, l := range trace {
		fmt.Fprintf(w, "%10s  %s\n", offset(l.elapsed()), l)
	}
	printNearby(w, lines, trace, arrival)
	printCode(w, last.fields["code"])
	return nil
}

// printNearby prints the events near the request on the hosts of the trace that
// concern its servers or no single server.
func printNearby(w io.Writer, lines, trace []logLine, arrival time.Time) {
	hosts, servers := make(map[string]bool), make(map[string]bool)
	for _, l := range trace {
		hosts[l.host] = true
		servers[l.fields["server"]] = true
	}
	end := trace[len(trace)-1].at
	title := "events around the request:\n"
	for _, l := range lines {
		near := !l.at.Before(arrival.Add(-nearRequest)) && !l.at.After(end.Add(nearRequest))
		relevant := l.fields["server"] == "" || servers[l.fields["server"]]
		if l.fields["request"] != "" || !near || !relevant || !hosts[l.host] {
			continue
		}
		fmt.Fprint(w, title)
		title = ""
		fmt.Fprintf(w, "%10s  %s\n", offset(l.at.Sub(arrival)), l)
	}
}

func printCode(w io.Writer, text string) {
	code, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		return
	}
	if info, ok := result.Code(code).Info(); ok {
		fmt.Fprintf(w, "code %d %s: %s\nWhat to do: %s\n", code, info.Name, info.Meaning, info.Action)
	}
}

func offset(d time.Duration) string {
	return fmt.Sprintf("%+.1f ms", float64(d)/float64(time.Millisecond))
}

func (l logLine) elapsed() time.Duration {
	d, err := time.ParseDuration(l.fields["elapsed"])
	if err != nil {
		return 0
	}
	return d
}

// readLogs returns the lines of all files in the order of their times.
func readLogs(stdin io.Reader, files []string) ([]logLine, error) {
	if len(files) == 0 {
		return readLog(stdin, "standard input")
	}
	var all []logLine
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, fmt.Errorf("read log: %w", err)
		}
		lines, err := readLog(f, name)
		_ = f.Close()
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	slices.SortStableFunc(all, func(a, b logLine) int { return a.at.Compare(b.at) })
	return all, nil
}

// maxLogLine is the longest accepted line in bytes. Lines with long reasons are
// far shorter.
const maxLogLine = 1 << 20

// readLog reads one log. It skips lines that are no log events, such as those of
// other programs. A line without the field host belongs to the last host that was
// named.
func readLog(r io.Reader, name string) ([]logLine, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLine)
	host := name
	var lines []logLine
	for scanner.Scan() {
		l, ok := parseLine(scanner.Bytes())
		if !ok {
			continue
		}
		if named := l.fields["host"]; named != "" {
			host = named
		}
		l.host = host
		lines = append(lines, l)
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read log %s: %w", name, err)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.at.Compare(b.at) })
	return lines, nil
}

func parseLine(text []byte) (logLine, bool) {
	l := logLine{fields: make(map[string]string)}
	decoder := logfmt.NewDecoder(bytes.NewReader(text))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			l.fields[string(decoder.Key())] = string(decoder.Value())
		}
	}
	at, err := time.Parse(time.RFC3339Nano, l.fields["time"])
	l.at, l.name = at, l.fields["msg"]
	return l, err == nil && decoder.Err() == nil
}
