package responsehead

import (
	"strings"
	"testing"
)

// Guards against a head that is checked only in part because its bytes arrive in
// pieces, and against a check of the body.
func TestScannerChecksHeadsInPieces(t *testing.T) {
	const informational, final, body = "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 200 OK\nName: a\r\n\r\n", "Na me: b\r\n\r\n"
	for text, valid := range map[string]bool{
		final + body:                 true,
		informational + final + body: true,
		informational + body:         false,
		"HTTP/1.1 200 OK\r\n" + body: false,
		strings.Replace(final, "a\r\n", "a\r\n"+strings.Repeat("L:\r\n", MaxLines), 1): false,
		"HTTP/2.0 200 OK\r\n\r\n": false,
		"\r\n" + final:            false,
	} {
		for size := 1; size <= len(text); size++ {
			var s Scanner
			s.Expect()
			var err error
			for left := text; left != "" && err == nil; {
				n := min(size, len(left))
				err = s.Scan([]byte(left[:n]))
				left = left[n:]
			}
			if (err == nil) != valid {
				t.Fatalf("%.60q in pieces of %d bytes: %v, want valid %v", text, size, err, valid)
			}
		}
	}
}
