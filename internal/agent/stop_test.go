package agent

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/wire/wirepb"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// Guards against an agent that leaves while its entry daemon still completes requests.
func TestAgentAwaitsLongStopOfEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const entryStop = 12 * time.Minute
		a := newAgent(hostSettings(0, "127.0.0.1:1", nil), nil, time.Now())
		began := time.Now()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() {
			for ; ctx.Err() == nil; sleep(ctx, tickInterval) {
				state := model.HostStopping
				if time.Since(began) >= entryStop {
					state = model.HostLeft
				}
				a.acceptReport(time.Now(), wirepb.Role_ROLE_ENTRY, entryReport(state, 0))
			}
		}()
		synctest.Wait()
		a.shutdown(ctx)
		if took := time.Since(began); took < entryStop || took > entryStop+reportTimeout {
			t.Errorf("the agent left after %v, its entry daemon after %v", took, entryStop)
		}
	})
}
