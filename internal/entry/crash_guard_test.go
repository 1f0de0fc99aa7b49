package entry

import (
	"testing"
	"time"

	"github.com/wisteriacrank/wisteriacrank/pkg/result"
)

// Guards against admitting a suspect for a trial although another trial has
// convicted it since its status was looked up: it would crash a third server.
func TestSuspectConvictedMeanwhileIsNotAdmitted(t *testing.T) {
	now := time.Unix(1000, 0)
	for code, want := range map[result.Code]result.Code{
		result.ServerCrashed: result.Quarantined,
		result.Served:        0,
	} {
		g := newCrashGuard()
		req := Request{Service: "desk", Path: "/p", Body: []byte("crash")}
		g.recordOutcome(req, result.ServerCrashed, false, now)
		otherTrial := func() bool {
			if exclusive, refused := g.admit(req, func() bool { return true }, now); !exclusive || refused != nil {
				t.Fatalf("the first trial is refused: %v", refused)
			}
			g.recordOutcome(req, code, true, now)
			g.endTrial(req)
			return true
		}
		exclusive, refused := g.admit(req, otherTrial, now)
		got := result.Code(0)
		if refused != nil {
			got = refused.Code
		}
		if exclusive || got != want {
			t.Errorf("after a trial that ended with %v: exclusive %v, refused %v; want %v", code, exclusive, got, want)
		}
	}
}
