// Package responsehead checks the heads of HTTP/1 responses: the status line and the
// header lines. net/http accepts lines that other recipients read differently. If one
// of the two takes such a line for a length or a transfer encoding and the other does
// not, they find different ends of the body.
package responsehead

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
)

const (
	// VersionPrefix is what every response begins with.
	VersionPrefix = "HTTP/1."
	// MaxLines bounds the lines of a head: a parsed line takes far more memory than
	// its bytes.
	MaxLines = 256

	oldVersion = "HTTP/1.0"
	version    = "HTTP/1.1"
)

// Head checks the lines of one head in their order. The zero value is ready for use.
type Head struct {
	lines int
	// old is set for HTTP/1.0.
	old bool
	// informational is set for a status of the form 1xx.
	informational bool
}

// Line checks the next line, without its line feed. It reports whether the line ends
// the head.
func (h *Head) Line(line []byte) (ended bool, err error) {
	line = bytes.TrimSuffix(line, []byte("\r"))
	switch {
	case h.lines == 0:
		err = h.checkStatusLine(line)
	case len(line) == 0:
		return true, nil
	case h.lines >= MaxLines:
		err = errors.New("too many header lines")
	default:
		err = h.checkField(line)
	}
	h.lines++
	return false, err
}

func (h *Head) checkStatusLine(line []byte) error {
	begin, status, _ := bytes.Cut(line, []byte(" "))
	if string(begin) != version && string(begin) != oldVersion {
		return fmt.Errorf("version %q", begin)
	}
	h.old = string(begin) == oldVersion
	h.informational = bytes.HasPrefix(bytes.TrimLeft(status, " "), []byte("1"))
	return nil
}

func (h *Head) checkField(line []byte) error {
	name, _, colon := bytes.Cut(line, []byte(":"))
	folded := line[0] == ' ' || line[0] == '\t'
	switch {
	case folded && colon:
		// It continues the value before it, or is a field of its own, such as the
		// length, with a space before its name.
		return errors.New("folded header line with a colon")
	case folded:
		return nil
	case !colon:
		return errors.New("header line without a colon")
	case !isToken(name):
		return fmt.Errorf("header name %q", name)
	case h.old && bytes.EqualFold(name, []byte("Transfer-Encoding")):
		// net/http ignores it.
		return errors.New("transfer encoding in HTTP/1.0")
	}
	return nil
}

// isToken reports whether a name consists of the characters that HTTP allows in the
// names of fields.
func isToken(name []byte) bool {
	for _, b := range name {
		isLetter := 'a' <= b|0x20 && b|0x20 <= 'z'
		isDigit := '0' <= b && b <= '9'
		if !isLetter && !isDigit && strings.IndexByte("!#$%&'*+-.^_`|~", b) < 0 {
			return false
		}
	}
	return len(name) > 0
}

// Scanner checks the heads in the bytes that are read from a connection. It does not
// bound the length of a line. The zero value expects no head.
type Scanner struct {
	expecting bool
	head      Head
	// line is the beginning of a line that has not ended.
	line []byte
}

// Expect makes the next bytes those of a response: informational heads, and the final
// one.
func (s *Scanner) Expect() { *s = Scanner{expecting: true} }

// Scan checks the next bytes. Those behind the final head are ignored.
func (s *Scanner) Scan(p []byte) error {
	for s.expecting {
		piece, after, ends := bytes.Cut(p, []byte("\n"))
		s.line = append(s.line, piece...)
		if !ends {
			return nil
		}
		ended, err := s.head.Line(s.line)
		if err != nil {
			return err
		}
		if ended {
			s.expecting, s.head = s.head.informational, Head{}
		}
		s.line, p = s.line[:0], after
	}
	return nil
}
