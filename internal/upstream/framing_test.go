package upstream

import (
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"

	"github.com/wisteriacrank/wisteriacrank/internal/bounded"
	"github.com/wisteriacrank/wisteriacrank/internal/responsehead"
)

const (
	signedHead = "HTTP/1.1 200 OK\r\nId: own\r\nSignature: proof\r\n"
	lastBody   = "0123456789ab"
)

// truncatableResponses are whole responses whose end is known before the
// connection ends.
var truncatableResponses = map[string]string{
	"length":              signedHead + "Content-Length: 12\r\n\r\n" + lastBody,
	"length first":        "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nId: own\r\nSignature: proof\r\n\r\n" + lastBody,
	"equal lengths":       signedHead + "Content-Length: 12\r\nContent-Length: 12\r\n\r\n" + lastBody,
	"chunked":             signedHead + "Transfer-Encoding: chunked\r\n\r\n10\r\n0123456789abcdef\r\n2\r\nxy\r\n0\r\n\r\n",
	"chunk extension":     signedHead + "Transfer-Encoding: chunked\r\n\r\n2;a=b\r\nxy\r\n0;c\r\n\r\n",
	"trailer":             signedHead + "Trailer: Sum\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nxy\r\n0\r\nSum: 1\r\n\r\n",
	"length and chunked":  signedHead + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nxy\r\n0\r\n\r\n",
	"line feeds only":     strings.ReplaceAll(signedHead, "\r\n", "\n") + "Content-Length: 12\n\n" + lastBody,
	"folded header":       signedHead + "Folded: a\r\n  b\r\nContent-Length: 12\r\n\r\n" + lastBody,
	"informational first": "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" + signedHead + "Content-Length: 12\r\n\r\n" + lastBody,
	"mismatched first":    response("Id: other\r\n", "other") + signedHead + "Content-Length: 12\r\n\r\n" + lastBody,
	"HTTP/1.0":            strings.Replace(signedHead, "1.1", "1.0", 1) + "Content-Length: 12\r\n\r\n" + lastBody,
}

// endings are the errors of a read after the last byte: the server closed or reset
// the connection.
var endings = map[string]error{
	"closed": io.EOF,
	"reset":  &net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET},
}

type endingReader struct{ err error }

func (r endingReader) Read([]byte) (int, error) { return 0, r.err }

// exchangeUntil is exchangeOn with a connection that ends in an error.
func exchangeUntil(script string, end error, reused bool) (*Response, error) {
	c := newConn(scriptedConn{Reader: io.MultiReader(strings.NewReader(script), endingReader{end})}, bounded.New(1<<20))
	return exchange(c, reused)
}

// Guards against a truncated response that is taken for a whole one, and against a
// request that is reported as not sent when its response is cut off.
func TestResponseCutOffAtAnyByteIsAFailure(t *testing.T) {
	for name, text := range truncatableResponses {
		for how, end := range endings {
			for cut := range len(text) {
				for _, reused := range []bool{false, true} {
					resp, err := exchangeUntil(text[:cut], end, reused)
					var failure *Failure
					if !errors.As(err, &failure) || !failure.Sent || resp != nil {
						t.Errorf("%s, %s after %q: %+v, %v, want a failure that may have reached the server", name, how, text[:cut], resp, err)
					}
				}
			}
			if resp, err := exchangeUntil(text, end, true); err != nil || len(resp.Body) == 0 {
				t.Errorf("%s, %s after the whole response: %+v, %v", name, how, resp, err)
			}
		}
	}
}

// Guards against a truncated header, or a reset, of a response whose body ends with
// its connection.
func TestResponseWithoutLengthEndsOnlyWithAClose(t *testing.T) {
	for _, head := range []string{signedHead, strings.Replace(signedHead, "1.1", "1.0", 1)} {
		text := head + "\r\n" + lastBody
		for how, end := range endings {
			for cut := range len(text) + 1 {
				resp, err := exchangeUntil(text[:cut], end, false)
				if inBody := cut >= len(head)+len("\r\n"); inBody && how == "closed" {
					if err != nil || !strings.HasPrefix(lastBody, string(resp.Body)) {
						t.Errorf("%s after %q: %+v, %v", how, text[:cut], resp, err)
					}
					continue
				}
				if err == nil {
					t.Errorf("%s after %q: %+v, want a failure", how, text[:cut], resp)
				}
			}
		}
	}
}

// Guards against a response whose framing is ambiguous or unknown, so that its end
// cannot be told.
func TestAmbiguousFramingIsAFailure(t *testing.T) {
	old := strings.Replace(signedHead, "1.1", "1.0", 1)
	for name, text := range map[string]string{
		"different lengths":          signedHead + "Content-Length: 12\r\nContent-Length: 2\r\n\r\n" + lastBody,
		"list of lengths":            signedHead + "Content-Length: 12, 2\r\n\r\n" + lastBody,
		"no number":                  signedHead + "Content-Length: 1x\r\n\r\n" + lastBody,
		"negative length":            signedHead + "Content-Length: -1\r\n\r\n" + lastBody,
		"signed length":              signedHead + "Content-Length: +2\r\n\r\n" + lastBody,
		"empty length":               signedHead + "Content-Length: \r\n\r\n" + lastBody,
		"huge length":                signedHead + "Content-Length: 99999999999999999999\r\n\r\n" + lastBody,
		"unknown encoding":           signedHead + "Transfer-Encoding: gzip\r\n\r\n" + lastBody,
		"two encodings":              signedHead + "Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nxy\r\n0\r\n\r\n",
		"encoding twice":             signedHead + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nxy\r\n0\r\n\r\n",
		"tab before colon":           signedHead + "Content-Length\t: 1200\r\n\r\n" + lastBody,
		"space before colon":         signedHead + "Content-Length : 1200\r\n\r\n" + lastBody,
		"spaced encoding":            signedHead + "Transfer-Encoding : chunked\r\n\r\n2\r\nxy\r\n",
		"space in a name":            signedHead + "Content Length: 1200\r\n\r\n" + lastBody,
		"encoding in HTTP/1.0":       old + "Transfer-Encoding: chunked\r\n\r\n2\r\nxy\r\n",
		"encoding, length, HTTP/1.0": old + "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n2\r\nxy\r\n0\r\n\r\n",
		"version 2":                  strings.Replace(signedHead, "1.1", "2.0", 1) + "\r\n" + lastBody,
		"version 0":                  strings.Replace(signedHead, "1.1", "0.9", 1) + "\r\n" + lastBody,
		"status 000":                 strings.Replace(signedHead, "200", "000", 1) + "Content-Length: 12\r\n\r\n" + lastBody,
		"status below 100":           strings.Replace(signedHead, "200", "099", 1) + "\r\n" + signedHead + "Content-Length: 12\r\n\r\n" + lastBody,
		"signed status":              strings.Replace(signedHead, "200", "+20", 1) + "\r\n" + signedHead + "Content-Length: 12\r\n\r\n" + lastBody,
		"chunk size is no number":    signedHead + "Transfer-Encoding: chunked\r\n\r\nzz\r\nxy\r\n0\r\n\r\n",
		"chunk longer than its size": signedHead + "Transfer-Encoding: chunked\r\n\r\n1\r\nxy\r\n0\r\n\r\n",
	} {
		resp, err := exchangeUntil(text, io.EOF, false)
		var failure *Failure
		if !errors.As(err, &failure) || !failure.Sent {
			t.Errorf("%s: %+v, %v, want a failure", name, resp, err)
		}
	}
}

// Guards against a header line without a valid name that is forwarded, or overlooked
// although other recipients take it for the length.
func TestInvalidHeaderNameIsAFailure(t *testing.T) {
	invalid := []byte("\x7f\x80\xff ()<>@,;\\\"/[]?={}")
	for c := byte(0); c < ' '; c++ {
		invalid = append(invalid, c)
	}
	lines := []string{": 1200"}
	for _, c := range invalid {
		for _, name := range []string{"%sContent-Length", "Content%sLength", "Content-Length%s", "%s"} {
			if line := strings.Replace(name, "%s", string([]byte{c}), 1) + ": 1200"; !strings.HasPrefix(line, "\n") {
				lines = append(lines, line)
			}
		}
	}
	for _, line := range lines {
		for where, text := range map[string]string{
			"first": strings.Replace(signedHead, "\r\n", "\r\n"+line+"\r\n", 1),
			"last":  signedHead + line + "\r\n",
		} {
			for framing, rest := range map[string]string{"none": "\r\n", "length": "Content-Length: 12\r\n\r\n"} {
				resp, err := exchangeUntil(text+rest+lastBody, io.EOF, false)
				var failure *Failure
				if !errors.As(err, &failure) || !failure.Sent {
					t.Errorf("%q as the %s line, framing %s: %+v, %v; want a failure", line, where, framing, resp, err)
				}
			}
		}
	}
}

// Guards against a lost connection that is counted as an invalid response.
func TestConnectionThatEndsWithoutAByteIsNoInvalidResponse(t *testing.T) {
	for how, end := range endings {
		for script, invalid := range map[string]bool{"": false, "HTTP/1.1 200 OK\r\nId: o": how == "closed"} {
			_, err := exchangeUntil(script, end, false)
			var failure *Failure
			if !errors.As(err, &failure) || failure.InvalidResponse != invalid {
				t.Errorf("%s after %q: %+v, want an invalid response: %v", how, script, failure, invalid)
			}
		}
	}
}

// Guards against header lines that take more memory than their bytes, and against a
// long header that is refused or costs the memory of the next ones.
func TestLongHeaderIsReadWithinTheMemory(t *testing.T) {
	const (
		memory  = 100 << 10
		allowed = 40 << 10
	)
	for name, c := range map[string]struct {
		header string
		whole  bool
	}{
		"long line":     {"Long: " + strings.Repeat("x", allowed) + "\r\n", true},
		"many lines":    {strings.Repeat("Line: x\r\n", responsehead.MaxLines-5), true},
		"too many":      {strings.Repeat("L:\r\n", responsehead.MaxLines), false},
		"too long":      {"Long: " + strings.Repeat("x", maxHeaderBytes) + "\r\n", false},
		"without colon": {"Line\r\n", false},
	} {
		text := strings.Replace(signedHead, "\r\n", "\r\n"+c.header, 1) + "Content-Length: 12\r\n\r\n" + lastBody
		budget := bounded.New(memory)
		conn := newConn(scriptedConn{Reader: io.MultiReader(strings.NewReader(text), strings.NewReader(text), endingReader{io.EOF})}, budget)
		for range 2 {
			resp, err := exchange(conn, true)
			if (err == nil) != c.whole || err == nil && string(resp.Body) != lastBody {
				t.Errorf("%s: %+.100v, %v", name, resp, err)
			}
			if resp != nil {
				if reserved := memory - int(budget.Free()); reserved < cap(resp.Body) || reserved < min(len(c.header)-readBuffer, maxHeaderBytes) {
					t.Errorf("%s: %d bytes are reserved for the response", name, reserved)
				}
				resp.Memory.Release()
			}
			if budget.Free() != memory {
				t.Errorf("%s: %d bytes stay reserved", name, memory-budget.Free())
			}
		}
	}
	conn := newConn(scriptedConn{Reader: strings.NewReader(signedHead + "Long: " + strings.Repeat("x", allowed))}, bounded.New(maxHeaderBytes-1))
	if _, err := exchange(conn, false); !errors.Is(err, bounded.ErrExhausted) {
		t.Errorf("%v for a long header without memory for it", err)
	}
}
