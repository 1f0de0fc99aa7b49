package linkbudget

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

var lisToOpo = Direction{From: "lis", To: "opo"}

// Guards against hosts that together send more than the link's limit while the
// number of live hosts changes.
func TestHostsStayUnderLinkLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit, maxMessage, configured = 1_000_000.0, 10_000, 5
		hosts := make([]*Budget, configured)
		now := start
		for i := range hosts {
			hosts[i] = New(maxMessage)
			hosts[i].SetLink(now, lisToOpo, limit, configured, configured)
		}
		sent := 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			live := rapid.IntRange(1, configured).Draw(t, "live")
			for _, h := range hosts {
				h.SetLink(now, lisToOpo, limit, configured, live)
				size := rapid.IntRange(1, maxMessage).Draw(t, "size")
				for range 200 {
					if !h.Take(now, lisToOpo, size) {
						break
					}
					sent += size
				}
			}
			allowed := limit*now.Sub(start).Seconds() + configured*maxMessage
			if float64(sent) > allowed+1 {
				t.Fatalf("%d bytes after %v, limit %.0f", sent, now.Sub(start), allowed)
			}
			now = now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond)
		}
	})
}

// Guards against a delay that is too short for the bytes.
func TestDelay(t *testing.T) {
	b := New(1000)
	b.SetLink(start, lisToOpo, 1000, 1, 1)
	if !b.Take(start, lisToOpo, 1000) || b.Take(start, lisToOpo, 500) {
		t.Fatal("the burst is not 1000 bytes")
	}
	delay, ok := b.Delay(start, lisToOpo, 500)
	if !ok || delay != 500*time.Millisecond {
		t.Errorf("delay %v, %v, want 500ms", delay, ok)
	}
	if _, ok := b.Delay(start, lisToOpo, 1001); ok {
		t.Error("a message above the largest size got a delay")
	}
	if b.Take(start, Direction{From: "opo", To: "lis"}, 1) {
		t.Error("a direction without a link has a budget")
	}
}
