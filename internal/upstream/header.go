package upstream

import (
	"fmt"
	"net/http"
	"strings"
)

// readHeader reads a response up to its body. It refuses what http.ReadResponse
// accepts although the end of the body cannot be told.
func (c *conn) readHeader(method string) (*http.Response, error) {
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	for name := range resp.Header {
		// Such a name is kept as it is, so a length or an encoding is overlooked.
		if strings.Contains(name, " ") {
			return nil, fmt.Errorf("space in header name %q", name)
		}
	}
	return resp, nil
}
