package envobject

import (
	"fmt"
	"math"
	"os"
	"strings"
	"testing"
	"time"
)

func demoDocument(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile("../../examples/demo/document.ini")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// Guards against a second change that starts from the document's weights instead
// of the effective ones, and so moves more than the cap.
func TestNextStartsFromTheEffectiveWeights(t *testing.T) {
	start := time.Unix(1000, 0)
	text := strings.Replace(demoDocument(t), "move-cap = 50%", "move-cap = 10%", 1)
	drained := strings.Replace(text, "weight = 1", "weight = 0", 1)
	object := Next(nil, 0, Change{Document: text, WriteID: "w0", Accepted: start})
	object = Next(&object, 1, Change{Document: drained, WriteID: "w1", Accepted: start})
	object = Next(&object, 2, Change{Document: text, WriteID: "w2", Accepted: start.Add(2 * time.Second)})
	if got := object.WeightsBefore["bagmati"]; math.Abs(got-0.3) > 1e-9 {
		t.Errorf("share at acceptance is %g, want 0.5 less two intervals of 0.1", got)
	}
}

// Guards against a write that cannot be found again, and against a list that
// grows with every write.
func TestWritesAreFoundWithTheirVersion(t *testing.T) {
	object := Next(nil, 0, Change{Document: demoDocument(t), WriteID: "w0"})
	for i := 1; i < 20; i++ {
		object = Next(&object, uint64(100+i-1), Change{Document: demoDocument(t), WriteID: fmt.Sprint("w", i)})
	}
	if len(object.Writes) != maxWrites {
		t.Errorf("%d writes", len(object.Writes))
	}
	for id, want := range map[string]uint64{"w19": 119, "w18": 118, "w4": 104} {
		if got, ok := object.Find(id, 119); !ok || got != want {
			t.Errorf("write %s has version %d, %v", id, got, ok)
		}
	}
	if _, ok := object.Find("w3", 119); ok {
		t.Error("the 17th newest write is still recorded")
	}
}

// Guards against an encoded document of the design size (20,000 blocks, 3500
// servers) that exceeds the store's limit, and against a compressed value that
// expands without bound.
func TestLargeDocumentsAreCompressed(t *testing.T) {
	var b strings.Builder
	for i := range 20_000 {
		fmt.Fprintf(&b, "[block 10.%d.%d.0/24]\nregion = bagmati\n", i/256, i%256)
	}
	for i := range 3500 {
		fmt.Fprintf(&b, "[server s%d]\nservice = desk\nregion = bagmati\nfailure-domain = bagmati-a\naddress = 10.9.%d.%d:80\nslots = 3\nconnections = 800\n", i, i/250, i%250)
	}
	value, err := Object{Document: b.String()}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("document of %d bytes, object of %d bytes", b.Len(), len(value))
	if len(value) > MaxBytes {
		t.Errorf("object has %d bytes", len(value))
	}
	object, err := Decode(value)
	if err != nil || object.Document != b.String() {
		t.Errorf("document changed: %v", err)
	}
	oversized, err := Object{Document: strings.Repeat("x", MaxDocumentBytes+1)}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Decode(oversized); err == nil {
		t.Error("a document over the limit was decoded")
	}
}
