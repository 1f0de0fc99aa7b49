package e2e

import (
	"encoding/json"
	"io"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/operator"
)

// ctl runs wisteriactl with the agent of the first host and returns its output.
func (f *fleet) ctl(args ...string) []byte {
	f.t.Helper()
	args = append([]string{"--agent", f.hosts[0].operatorAddress}, args...)
	out, err := exec.Command(filepath.Join(binaryDir, "wisteriactl"), args...).CombinedOutput()
	if err != nil {
		f.t.Fatalf("wisteriactl %v: %v\n%s", args, err, out)
	}
	return out
}

func (f *fleet) status() operator.Status {
	f.t.Helper()
	var status operator.Status
	out := f.ctl("status", "--output", "json")
	if err := json.Unmarshal(out, &status); err != nil {
		f.t.Fatalf("status: %v\n%s", err, out)
	}
	return status
}

// Guards against a drain whose progress the operator cannot see: the command
// changes the document, the wait ends when all hosts apply it, and the status
// shows the drain also if the dispatcher of the server is on another host.
func TestOperatorDrainsAServer(t *testing.T) {
	f := newFleet(t, defaultSpec())
	f.waitReady(len(f.hosts))
	l := f.startLoad(4, 5*time.Millisecond)
	const server = "booking-desk-gandaki-1"
	f.ctl("drain", server)
	f.ctl("status", "--wait", "--timeout", "1m")
	f.waitFor("the status shows the drain", func() bool {
		drains := f.status().Drains
		return len(drains) == 1 && drains[0].Server == server && drains[0].Cause == "document" && drains[0].InFlight == 0
	})
	before := len(f.backends[server].Runs())
	f.ctl("undrain", server)
	f.waitFor("the server gets requests again", func() bool { return len(f.backends[server].Runs()) > before })
	l.finish()
	status := f.status()
	if len(status.Hosts) != len(f.hosts) || len(status.Regions) != 2 || len(status.Lagging) != 0 {
		t.Errorf("status %+v", status)
	}
	for _, failure := range l.failures {
		t.Error(failure)
	}
	if !f.publishesLatency("booking-desk", "check") {
		t.Error("no host publishes the latency of checks of booking-desk")
	}
}

// publishesLatency reports whether an entry daemon publishes a latency of the service
// and rank.
func (f *fleet) publishesLatency(service, rank string) bool {
	for _, h := range f.hosts {
		resp, err := http.Get("http://" + h.entryMetricsAddress + "/debug/vars")
		if err != nil {
			f.t.Fatal(err)
		}
		text, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil {
			f.t.Fatal(err)
		}
		if strings.Contains(string(text), service) && strings.Contains(string(text), rank) && strings.Contains(string(text), "p99_ms") {
			return true
		}
	}
	return false
}
