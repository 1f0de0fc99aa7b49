package entry

import (
	"testing"

	"github.com/wisteriacrank/wisteriacrank/internal/standin"
	"github.com/wisteriacrank/wisteriacrank/pkg/retrybudget"
)

// Guards against retries that multiply the load while every response is lost.
func TestRetriesStayWithinTheirBudget(t *testing.T) {
	f := newFleet(t, 2, 2, standin.BackendConfig{Slots: 50})
	for _, b := range f.backend {
		b.SetFaults(standin.BackendFaults{ReportedBusy: -1, Response: standin.ResponseLost})
	}
	const clients, each = 4, 100
	if served := f.whileOthersRun(clients, each, func() {}); served != 0 {
		t.Errorf("%d served although every response is lost", served)
	}
	runs := len(f.backend[0].Runs()) + len(f.backend[1].Runs())
	// Each of the two owners has its own burst.
	if limit := clients*each*11/10 + 2*retrybudget.Burst; runs > limit {
		t.Errorf("%d runs of %d requests, want at most %d", runs, clients*each, limit)
	}
	t.Logf("%d runs of %d requests", runs, clients*each)
}
