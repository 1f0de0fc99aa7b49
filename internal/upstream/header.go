package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/wisteriacrank/wisteriacrank/internal/bounded"
	"github.com/wisteriacrank/wisteriacrank/internal/responsehead"
)

// readHeader reads a response up to its body.
func (c *conn) readHeader(method string) (*http.Response, error) {
	if err := c.awaitHeader(); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	// http.ReadResponse accepts 000 to 099, and signs.
	if resp.StatusCode < http.StatusContinue {
		return nil, fmt.Errorf("status %q", resp.Status)
	}
	return resp, nil
}

// awaitHeader waits for a whole header, within the limits, checks it and leaves it
// unread.
func (c *conn) awaitHeader() error {
	var head responsehead.Head
	// line is where the line begins that is being received.
	line := 0
	for scanned := 0; ; {
		if _, err := c.reader.Peek(scanned + 1); err != nil {
			if errors.Is(err, bufio.ErrBufferFull) {
				err = c.enlargeBuffer()
			} else if errors.Is(err, io.EOF) && scanned > 0 {
				err = io.ErrUnexpectedEOF
			}
			if err != nil {
				return err
			}
			continue
		}
		text, _ := c.reader.Peek(c.reader.Buffered())
		if n := min(len(text), len(responsehead.VersionPrefix)); string(text[:n]) != responsehead.VersionPrefix[:n] {
			return errors.New("response does not begin with a version of HTTP")
		}
		for ; scanned < len(text); scanned++ {
			if text[scanned] != '\n' {
				continue
			}
			ended, err := head.Line(text[line:scanned])
			if ended || err != nil {
				return err
			}
			line = scanned + 1
		}
	}
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
