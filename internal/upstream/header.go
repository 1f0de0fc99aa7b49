package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/wisteriacrank/wisteriacrank/internal/bounded"
)

const (
	// maxHeaderLines bounds the status line and the header lines of a response: a
	// parsed line takes far more memory than its bytes.
	maxHeaderLines = 256

	versionPrefix = "HTTP/1."
	oldVersion    = "HTTP/1.0"
	version       = "HTTP/1.1"
)

// readHeader reads a response up to its body. It refuses what http.ReadResponse
// accepts although the end of the body cannot be told.
func (c *conn) readHeader(method string) (*http.Response, error) {
	text, err := c.peekHeader()
	if err != nil {
		return nil, err
	}
	// http.ReadResponse ignores and removes a transfer encoding in HTTP/1.0.
	oldEncoding := bytes.HasPrefix(text, []byte(oldVersion)) && bytes.Contains(bytes.ToLower(text), []byte("\ntransfer-encoding:"))
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	if oldEncoding {
		return nil, errors.New("transfer encoding in HTTP/1.0")
	}
	if resp.Proto != version && resp.Proto != oldVersion || resp.StatusCode < http.StatusContinue {
		return nil, fmt.Errorf("version %q and status %d", resp.Proto, resp.StatusCode)
	}
	for name := range resp.Header {
		// Such a name is kept as it is, so a length or an encoding is overlooked.
		if strings.Contains(name, " ") {
			return nil, fmt.Errorf("space in header name %q", name)
		}
	}
	return resp, nil
}

// peekHeader waits for a whole header, within the limits, and leaves it unread.
func (c *conn) peekHeader() ([]byte, error) {
	// line is where the line begins that is being received.
	lines, line := 0, 0
	for scanned := 0; ; {
		if _, err := c.reader.Peek(scanned + 1); err != nil {
			if errors.Is(err, bufio.ErrBufferFull) {
				err = c.enlargeBuffer()
			} else if errors.Is(err, io.EOF) && scanned > 0 {
				err = io.ErrUnexpectedEOF
			}
			if err != nil {
				return nil, err
			}
			continue
		}
		text, _ := c.reader.Peek(c.reader.Buffered())
		if n := min(len(text), len(versionPrefix)); string(text[:n]) != versionPrefix[:n] {
			return nil, errors.New("response does not begin with a version of HTTP")
		}
		for ; scanned < len(text); scanned++ {
			if text[scanned] != '\n' {
				continue
			}
			ended, err := checkLine(text[line:scanned], lines)
			if ended || err != nil {
				return text[:scanned+1], err
			}
			lines, line = lines+1, scanned+1
		}
	}
}

// checkLine checks a line, without its line feed, that follows n others. It reports
// whether the line ends the header.
func checkLine(line []byte, n int) (ended bool, err error) {
	line = bytes.TrimSuffix(line, []byte("\r"))
	if len(line) == 0 {
		return true, nil
	}
	folded := line[0] == ' ' || line[0] == '\t'
	colon := bytes.Contains(line, []byte(":"))
	switch {
	case n >= maxHeaderLines:
		return false, errors.New("too many header lines")
	case n > 0 && !folded && !colon:
		return false, errors.New("header line without a colon")
	case n > 0 && folded && colon:
		// It continues the value before it, or is a field of its own with a space
		// before its name, such as the length.
		return false, errors.New("folded header line with a colon")
	}
	return false, nil
}

// enlargeBuffer makes room for a header that exceeds the buffer.
func (c *conn) enlargeBuffer() error {
	if c.reader != c.base {
		return errors.New("header is too long")
	}
	if !c.memory.Reserve(maxHeaderBytes) {
		return bounded.ErrExhausted
	}
	c.headerMemory = maxHeaderBytes
	c.reader = bufio.NewReaderSize(c.base, maxHeaderBytes)
	return nil
}

// shrinkBuffer ends the use of an enlarged buffer. Its unread bytes are lost.
func (c *conn) shrinkBuffer() {
	c.reader = c.base
	c.memory.Release(c.takeHeaderMemory())
}

// takeHeaderMemory returns the memory that a long header has reserved, which the
// caller releases.
func (c *conn) takeHeaderMemory() int64 {
	n := c.headerMemory
	c.headerMemory = 0
	return n
}
