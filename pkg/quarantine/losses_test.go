package quarantine

import (
	"testing"
	"time"
)

// Guards against a lost connection that counts as a crash, and against a crash
// that is missed because it is detected before or after the connection is lost.
func TestLossesNeedACrash(t *testing.T) {
	a, b := HashOf("s", "a", nil), HashOf("s", "b", nil)
	l := NewLosses()
	if l.Lost("one", a, start) {
		t.Error("a lost connection alone counts as a crash")
	}
	if got := l.Crashed("two", start); len(got) != 0 {
		t.Errorf("the crash of another server is attributed to %v", got)
	}
	if got := l.Crashed("one", start.Add(time.Second)); len(got) != 1 || got[0] != a {
		t.Errorf("crash after the loss: %v, want the lost request", got)
	}
	if !l.Lost("one", b, start.Add(2*time.Second)) {
		t.Error("a loss right after the crash does not count")
	}
	if l.Lost("one", b, start.Add(2*lossWindow)) {
		t.Error("an old crash still counts")
	}
	if got := l.Crashed("one", start.Add(4*lossWindow)); len(got) != 0 {
		t.Errorf("a crash is attributed to old losses: %v", got)
	}
}
