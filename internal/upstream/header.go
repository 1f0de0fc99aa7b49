package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// readHeader reads a response up to its body. It refuses what http.ReadResponse
// accepts although the end of the body cannot be told.
func (c *conn) readHeader(method string) (*http.Response, error) {
	const oldVersion, version = "HTTP/1.0", "HTTP/1.1"
	start, err := c.reader.Peek(len(oldVersion))
	if err != nil && len(start) == 0 {
		return nil, err
	}
	isOld := string(start) == oldVersion
	if isOld {
		// http.ReadResponse ignores a transfer encoding in HTTP/1.0.
		_, _ = c.reader.Discard(len(oldVersion))
		c.reader = bufio.NewReaderSize(io.MultiReader(strings.NewReader(version), c.reader), readBuffer)
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	resp.Close = resp.Close || isOld
	if isOld && len(resp.TransferEncoding) > 0 {
		return nil, errors.New("transfer encoding in HTTP/1.0")
	}
	if resp.Proto != version || resp.StatusCode < http.StatusContinue {
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
