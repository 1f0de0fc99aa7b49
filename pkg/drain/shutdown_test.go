package drain

import (
	"testing"
	"time"
)

// Guards against a shutdown that is killed before its last response is sent.
func TestShutdownEndsBeforeTheKill(t *testing.T) {
	const lookupTime = 3300 * time.Millisecond
	for _, grace := range []time.Duration{0, 500 * time.Millisecond, time.Second, 6 * time.Second, 10 * time.Second, time.Minute} {
		s := PlanShutdown(start, grace, lookupTime)
		kill := start.Add(grace)
		inOrder := !s.AcceptUntil.Before(s.Began) && !s.RespondBy.Before(s.AcceptUntil) && !s.ExitBy.Before(s.RespondBy) && !kill.Before(s.ExitBy)
		if !inOrder {
			t.Errorf("grace %v: %+v is out of order, or ends after the kill", grace, s)
		}
		if early := kill.Add(-grace / 6).Sub(s.RespondBy); early > 0 {
			t.Errorf("grace %v: ends runs %v before the last sixth", grace, early)
		}
	}
	if got := PlanShutdown(start, time.Minute, lookupTime).AcceptUntil; !got.Equal(start.Add(lookupTime)) {
		t.Errorf("accepts until %v after the signal, want until no caller uses the host", got.Sub(start))
	}
}
