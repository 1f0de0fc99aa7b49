package callers

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/bounded"
)

const (
	// maxPipelined bounds the requests of one connection that run at the same
	// time; further ones are not read.
	maxPipelined = 32
	// writeTimeout ends a connection whose caller does not read its answers.
	writeTimeout = 10 * time.Second
	// lingerTimeout is how long unread bytes are drained after the last answer,
	// so that closing does not reset the connection before the answer arrives.
	lingerTimeout = 500 * time.Millisecond
	readBuffer    = 4 << 10
	// headerSlack is room for the request line beside the header limit.
	headerSlack = 1 << 10
	// unknownSize is that of a body in chunks.
	unknownSize = -1
)

// exchange is a request with its answer to be.
type exchange struct {
	answer Response
	ready  chan struct{}
	method string
	last   bool
}

type conn struct {
	server *Server
	raw    net.Conn
	limit  *bounded.Reader
	reader *bufio.Reader

	mu       sync.Mutex
	stopped  bool
	inFlight int
}

func newConn(s *Server, raw net.Conn) *conn {
	limit := &bounded.Reader{From: raw}
	return &conn{server: s, raw: raw, limit: limit, reader: bufio.NewReaderSize(limit, readBuffer)}
}

// serve reads requests until the caller or the server ends the connection.
func (c *conn) serve() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	pending := make(chan *exchange, maxPipelined)
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.writeAnswers(pending, cancel)
	}()
	gone := c.readRequests(ctx, pending)
	close(pending)
	if gone {
		cancel()
	}
	<-written
	c.linger(gone)
}

// readRequests returns whether the caller has closed the connection.
func (c *conn) readRequests(ctx context.Context, pending chan<- *exchange) (gone bool) {
	for {
		limits := c.server.limits()
		stop, gone := c.awaitRequest(limits)
		if stop {
			return gone
		}
		req, failure := c.readRequest(limits)
		if req == nil && failure == nil {
			return true
		}
		ex := &exchange{ready: make(chan struct{})}
		if failure != nil {
			c.server.refused.Add(1)
			ex.answer, ex.last = *failure, true
			close(ex.ready)
			c.begin()
			pending <- ex
			return false
		}
		ex.method = req.Method
		ex.last = req.Close || c.server.draining.Load()
		c.begin()
		go c.run(ctx, req, ex)
		pending <- ex
		if ex.last {
			return c.awaitClose(ctx)
		}
	}
}

func (c *conn) run(ctx context.Context, req *Request, ex *exchange) {
	defer close(ex.ready)
	defer c.server.memory.Release(int64(cap(req.Body)))
	ex.answer = c.server.handler(ctx, req)
}

func (c *conn) begin() {
	c.mu.Lock()
	c.inFlight++
	c.mu.Unlock()
}

func (c *conn) end() (idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight--
	return c.inFlight == 0
}

func (c *conn) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inFlight > 0
}

// stopReading interrupts the wait for the next request.
func (c *conn) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	_ = c.raw.SetReadDeadline(time.Unix(1, 0))
}

// setReadDeadline does not undo stopReading.
func (c *conn) setReadDeadline(d time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return false
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(d))
	return true
}

// awaitRequest waits for the first byte of the next request.
func (c *conn) awaitRequest(limits Limits) (stop, gone bool) {
	for {
		if !c.setReadDeadline(limits.IdleTimeout) {
			return true, false
		}
		c.limit.Left = int64(limits.MaxHeaderBytes) + headerSlack
		_, err := c.reader.Peek(1)
		switch {
		case err == nil:
			return false, false
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return true, true
		case c.busy() && !c.isStopped():
			continue
		default:
			return true, false
		}
	}
}

func (c *conn) isStopped() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stopped
}

// awaitClose watches for the caller's close while the last request runs.
func (c *conn) awaitClose(ctx context.Context) (gone bool) {
	for c.busy() {
		const step = 5 * time.Second
		if !c.setReadDeadline(step) {
			return false
		}
		c.limit.Left = readBuffer
		if _, err := c.reader.Peek(c.reader.Buffered() + 1); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				continue
			}
			return !errors.Is(err, bufio.ErrBufferFull) && ctx.Err() == nil
		}
	}
	return false
}

// readRequest reads one request with its body. Without a request, the failure
// is the answer to give; without both, the caller has left.
func (c *conn) readRequest(limits Limits) (*Request, *Response) {
	c.setReadDeadline(limits.HeaderTimeout)
	parsed, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil, c.headerFailure(err)
	}
	req := &Request{Request: parsed, Target: parsed.RequestURI, Received: time.Now()}
	if parsed.ContentLength > limits.MaxBodyBytes {
		return nil, failure(http.StatusRequestEntityTooLarge)
	}
	if parsed.ContentLength == 0 {
		return req, nil
	}
	if parsed.Header.Get("Expect") == "100-continue" {
		_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
		if !c.busy() {
			_, _ = io.WriteString(c.raw, "HTTP/1.1 100 Continue\r\n\r\n")
		}
	}
	c.limit.Left = limits.MaxBodyBytes + int64(limits.MaxHeaderBytes)
	c.setReadDeadline(limits.BodyTimeout)
	body, whole, answer := c.readBody(parsed, limits)
	if !whole {
		return nil, answer
	}
	req.Body = body
	return req, nil
}

func (c *conn) headerFailure(err error) *Response {
	switch {
	case c.limit.Left <= 0:
		return failure(http.StatusRequestHeaderFieldsTooLarge)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return failure(http.StatusRequestTimeout)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), isNetworkError(err):
		return nil
	default:
		return failure(http.StatusBadRequest)
	}
}

func isNetworkError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op)
}

// readBody reads the whole body within the memory budget. Of a body that is
// not whole nothing is returned but the answer to give, or none if the caller
// has left.
func (c *conn) readBody(parsed *http.Request, limits Limits) (body []byte, whole bool, answer *Response) {
	size := parsed.ContentLength
	if size < 0 {
		return c.readChunked(parsed.Body, limits)
	}
	if !c.server.memory.Reserve(size) {
		return nil, false, retryLater()
	}
	body = make([]byte, size)
	if _, err := io.ReadFull(parsed.Body, body); err != nil {
		c.server.memory.Release(size)
		return nil, false, bodyFailure(err)
	}
	return body, true, nil
}

func (c *conn) readChunked(r io.Reader, limits Limits) (body []byte, whole bool, answer *Response) {
	body, err := c.server.memory.ReadAll(r, unknownSize, limits.MaxBodyBytes)
	switch {
	case err == nil:
		return body, true, nil
	case errors.Is(err, bounded.ErrTooLong):
		return nil, false, failure(http.StatusRequestEntityTooLarge)
	case errors.Is(err, bounded.ErrExhausted):
		return nil, false, retryLater()
	default:
		return nil, false, bodyFailure(err)
	}
}

// bodyFailure is the answer to a body that is not whole; nil if the caller has
// left.
func bodyFailure(err error) *Response {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return failure(http.StatusRequestTimeout)
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF), isNetworkError(err):
		return nil
	default:
		return failure(http.StatusBadRequest)
	}
}

func failure(status int) *Response {
	return &Response{Status: status, Header: http.Header{}, Close: true}
}

// retryLater refuses a body that the memory of this host cannot hold now.
func retryLater() *Response {
	a := failure(http.StatusServiceUnavailable)
	a.Header.Set("Retry-After", "0.5")
	return a
}

// writeAnswers writes the answers in the order of their requests.
func (c *conn) writeAnswers(pending <-chan *exchange, cancel context.CancelFunc) {
	broken := false
	for ex := range pending {
		<-ex.ready
		if !broken {
			last := ex.last || ex.answer.Close
			if err := c.write(ex, last); err != nil {
				broken = true
				cancel()
				c.stopReading()
			}
			if last {
				broken = true
				c.stopReading()
			}
		}
		c.end()
	}
}

func (c *conn) write(ex *exchange, last bool) error {
	_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	out := make([]byte, 0, 512+len(ex.answer.Body))
	out = append(out, "HTTP/1.1 "...)
	out = strconv.AppendInt(out, int64(ex.answer.Status), 10)
	out = append(out, ' ')
	out = append(out, http.StatusText(ex.answer.Status)...)
	out = append(out, "\r\n"...)
	for name, values := range ex.answer.Header {
		for _, value := range values {
			out = append(out, name...)
			out = append(out, ": "...)
			out = append(out, value...)
			out = append(out, "\r\n"...)
		}
	}
	if hasBody(ex.answer.Status) {
		out = append(out, "Content-Length: "...)
		out = strconv.AppendInt(out, int64(len(ex.answer.Body)), 10)
		out = append(out, "\r\n"...)
	}
	if last {
		out = append(out, "Connection: close\r\n"...)
	}
	out = append(out, "\r\n"...)
	if hasBody(ex.answer.Status) && ex.method != http.MethodHead {
		out = append(out, ex.answer.Body...)
	}
	_, err := c.raw.Write(out)
	return err
}

// hasBody reports whether an answer of that status has a body.
func hasBody(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// linger ends the connection without destroying the last answer.
func (c *conn) linger(gone bool) {
	if tcp, ok := c.raw.(*net.TCPConn); ok && !gone {
		_ = tcp.CloseWrite()
		_ = c.raw.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.Copy(io.Discard, c.raw)
	}
	_ = c.raw.Close()
}
