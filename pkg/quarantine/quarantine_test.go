package quarantine

import (
	"testing"
	"time"
)

var start = time.Unix(1_800_000_000, 0)

// Guards against a conviction without proof, a third crash, and a notice from
// another host that lowers a status.
func TestStatusFollowsCrashes(t *testing.T) {
	h := HashOf("booking-desk", "run", []byte("body"))
	table := NewTable(10, DefaultLifetimes)
	want := func(what string, status Status) {
		t.Helper()
		if got := table.Status(h, start); got != status {
			t.Errorf("%s: status %d, want %d", what, got, status)
		}
	}
	table.Crashed(h, true, start)
	want("first crash, alone on the server", Suspect)
	table.Crashed(h, false, start)
	want("crash beside other work", Suspect)
	if table.Completed(h, false, start) {
		t.Error("completion beside other work cleared the suspect")
	}
	if !table.Completed(h, true, start) {
		t.Error("completion alone did not clear the suspect")
	}
	want("completed alone", Clear)
	table.Raise(h, Suspect, start)
	table.Crashed(h, true, start)
	want("crash as a suspect, alone", Convicted)
	table.Clear(h)
	table.Raise(h, Suspect, start)
	want("notices after the conviction", Convicted)
	if got := table.Status(h, start.Add(DefaultLifetimes.Convicted)); got != Clear || table.Len() != 0 {
		t.Errorf("after the lifetime: status %d, %d entries", got, table.Len())
	}
}

// Guards against a table that grows without bound, and against suspects that
// evict convictions.
func TestFullTableKeepsConvictions(t *testing.T) {
	table := NewTable(3, DefaultLifetimes)
	convicted := HashOf("s", "p", []byte("convicted"))
	table.Raise(convicted, Convicted, start)
	for i := range 100 {
		table.Raise(HashOf("s", "p", []byte{byte(i)}), Suspect, start.Add(time.Second))
	}
	if table.Len() != 3 || table.Status(convicted, start) != Convicted {
		t.Errorf("%d entries, status %d of the convicted request", table.Len(), table.Status(convicted, start))
	}
}
