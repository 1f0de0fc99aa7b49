package linkbudget

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

var there = Direction{From: "lis", To: "opo"}

// Guards against hosts that together send more than the link's limit while
// the number of hosts changes.
func TestHostsStayUnderLinkLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit, largest, documented = 1_000_000.0, 10_000, 5
		hosts := make([]*Budget, documented)
		now := start
		for i := range hosts {
			hosts[i] = New(largest)
			hosts[i].SetLink(now, there, limit, documented, documented)
		}
		sent := 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			seen := rapid.IntRange(1, documented).Draw(t, "seen")
			for _, h := range hosts {
				h.SetLink(now, there, limit, documented, seen)
				size := rapid.IntRange(1, largest).Draw(t, "size")
				for range 200 {
					if !h.Take(now, there, size) {
						break
					}
					sent += size
				}
			}
			allowed := limit*now.Sub(start).Seconds() + documented*largest
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
	b.SetLink(start, there, 1000, 1, 1)
	if !b.Take(start, there, 1000) || b.Take(start, there, 500) {
		t.Fatal("the burst is not 1000 bytes")
	}
	delay, ok := b.Delay(start, there, 500)
	if !ok || delay != 500*time.Millisecond {
		t.Errorf("delay %v, %v, want 500ms", delay, ok)
	}
	if _, ok := b.Delay(start, there, 1001); ok {
		t.Error("a message above the largest size got a delay")
	}
	if b.Take(start, Direction{From: "opo", To: "lis"}, 1) {
		t.Error("a direction without a link has a budget")
	}
}
