package ctl

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/wisteriacrank/wisteriacrank/internal/envobject"
	"github.com/wisteriacrank/wisteriacrank/internal/operator"
	"github.com/wisteriacrank/wisteriacrank/internal/platform"
	"github.com/wisteriacrank/wisteriacrank/internal/standin"
)

// acceptedAt is the acceptance time of all changes in the scripts.
var acceptedAt = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// session is the state of one script: a store and the API of one agent.
type session struct {
	store    *standin.Store
	client   *platform.Client
	statuses statuses
}

// statuses returns its statuses in order, then repeats the last one.
type statuses struct {
	mu        sync.Mutex
	remaining []operator.Status
}

func (s *statuses) Status(context.Context) (operator.Status, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	status := s.remaining[0]
	if len(s.remaining) > 1 {
		s.remaining = s.remaining[1:]
	}
	return status, nil
}

const sessionKey = "session"

// Guards against commands whose output or exit code differs from the operators'
// guide. The commands run inside the test process.
func TestSessions(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:             "testdata",
		Setup:           setup,
		UpdateScripts:   os.Getenv("UPDATE_SCRIPTS") != "",
		ContinueOnError: true,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"wisteriactl": func(ts *testscript.TestScript, _ bool, args []string) { run(ts, ExitOK, args) },
			"exits": func(ts *testscript.TestScript, _ bool, args []string) {
				want, err := strconv.Atoi(args[0])
				ts.Check(err)
				run(ts, want, args[1:])
			},
			"store":  setStoreFaults,
			"stored": printStored,
			"status": setStatus,
		},
	})
}

func setup(env *testscript.Env) error {
	s := &session{store: standin.NewStore()}
	store := httptest.NewServer(s.store.Handler())
	s.client = platform.NewClient(store.URL)
	handler := operator.NewHandler(s.client, operator.WithStatus(&s.statuses),
		operator.WithClock(func() time.Time { return acceptedAt }))
	agent, lossy := httptest.NewServer(handler), httptest.NewServer(dropResponses(handler))
	env.Defer(func() { agent.Close(); lossy.Close(); store.Close() })
	env.Setenv("LOSSY", strings.TrimPrefix(lossy.URL, "http://"))
	env.Values[sessionKey] = s
	env.Setenv("AGENT", strings.TrimPrefix(agent.URL, "http://"))
	text, err := os.ReadFile("../../examples/demo/document.ini")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(env.WorkDir, "document.ini"), text, 0o600)
}

// dropResponses carries out changes and closes the connection without a response,
// as an agent does that dies after the write.
func dropResponses(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			next.ServeHTTP(w, r)
			return
		}
		next.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	})
}

func sessionOf(ts *testscript.TestScript) *session { return ts.Value(sessionKey).(*session) }

func run(ts *testscript.TestScript, want int, args []string) {
	all := []string{"wisteriactl", "--author", "ana", "--agent", ts.Getenv("AGENT")}
	if len(args) > 0 && args[0] == "--agent" {
		all = []string{"wisteriactl", "--author", "ana"}
	}
	for _, arg := range args {
		if strings.HasSuffix(arg, ".ini") || strings.HasSuffix(arg, ".log") {
			arg = ts.MkAbs(arg)
		}
		all = append(all, arg)
	}
	stderr := &workDirFilter{ts.Stderr(), ts.Getenv("WORK") + "/"}
	if code := Main(context.Background(), all, ts.Stdout(), stderr); code != want {
		ts.Fatalf("exit code %d, want %d", code, want)
	}
}

// workDirFilter removes the script's directory from file names.
type workDirFilter struct {
	io.Writer
	dir string
}

func (f *workDirFilter) Write(p []byte) (int, error) {
	_, err := io.WriteString(f.Writer, strings.ReplaceAll(string(p), f.dir, ""))
	return len(p), err
}

func setStoreFaults(ts *testscript.TestScript, _ bool, args []string) {
	var faults standin.Faults
	switch args[0] {
	case "down":
		faults.Down = true
	case "loses-responses":
		n, err := strconv.Atoi(args[1])
		ts.Check(err)
		faults.LoseResponses = n
	case "up":
	default:
		ts.Fatalf("unknown fault %q", args[0])
	}
	sessionOf(ts).store.SetFaults(faults)
}

// printStored prints the stored document of an environment.
func printStored(ts *testscript.TestScript, _ bool, args []string) {
	stored, err := sessionOf(ts).client.Get(context.Background(), envobject.Key(args[0]))
	ts.Check(err)
	object, err := envobject.Decode(stored.Value)
	ts.Check(err)
	_, err = io.WriteString(ts.Stdout(), object.Document)
	ts.Check(err)
}

// setStatus sets the statuses that the agent reports, one file for each call.
func setStatus(ts *testscript.TestScript, _ bool, args []string) {
	var list []operator.Status
	for _, file := range args {
		var status operator.Status
		ts.Check(json.Unmarshal([]byte(ts.ReadFile(file)), &status))
		list = append(list, status)
	}
	s := &sessionOf(ts).statuses
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remaining = list
}
