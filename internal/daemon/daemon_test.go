package daemon

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const validSettings = `[host]
id = a
environment = trial
region = r
failure-domain = d
[listen]
callers = 127.0.0.1:1
peers = 127.0.0.1:2
lookup = 127.0.0.1:3
agent = 127.0.0.1:4
operators = 127.0.0.1:5
[store]
url = http://127.0.0.1:6
`

type runner struct{ err error }

func (r runner) Run(context.Context) error { return r.err }

// Guards against --check-config that starts the daemon, and against exit code 0
// after a failure or a fault.
func TestExitCodes(t *testing.T) {
	for _, test := range []struct {
		name, text string
		args       []string
		err        error
		code       int
		output     string
	}{
		{"run", validSettings, nil, nil, ExitOK, "event=1000"},
		{"failure", validSettings, nil, errors.New("port taken"), ExitFailed, "port taken"},
		{"quiet", validSettings, []string{"--log-level", "error"}, nil, ExitOK, ""},
		{"check", validSettings, []string{"--check-config"}, errors.New("started"), ExitOK, "connections = 4096 ; default"},
		{"faults", strings.Replace(validSettings, ":5", "", 1) + "[x]\n", []string{"--check-config"}, nil, ExitSettings, "2 faults"},
		{"level", validSettings, []string{"--log-level", "loud"}, nil, ExitSettings, "accepted: debug"},
		{"flag", validSettings, []string{"--no-such-flag"}, nil, ExitSettings, "no-such-flag"},
	} {
		t.Run(test.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "host.ini")
			if err := os.WriteFile(path, []byte(test.text), 0o600); err != nil {
				t.Fatal(err)
			}
			var out bytes.Buffer
			p := Program{Name: "d", Build: func(Base) Runner { return runner{test.err} }}
			code := p.Execute(context.Background(), append([]string{"d", "--config", path}, test.args...), &out, &out)
			if code != test.code || !strings.Contains(out.String(), test.output) {
				t.Errorf("exit code %d, want %d; output\n%s", code, test.code, out.String())
			}
			if test.output == "" && out.Len() > 0 {
				t.Errorf("output %s", out.String())
			}
		})
	}
}
