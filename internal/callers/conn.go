package callers

import (
	"bufio"
	"cmp"
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
	// maxPipelined bounds the requests of one connection whose responses are
	// pending; further ones are not read.
	maxPipelined = 32
	// writeTimeout ends a connection whose caller does not read its responses.
	writeTimeout = 10 * time.Second
	readBuffer   = 4 << 10
	// maxCopiedBody is the size up to which a body is copied behind its header.
	maxCopiedBody = 16 << 10
	// headerSlack allows for the request line, on top of the header limit.
	headerSlack = 1 << 10
	// unknownSize is the length given for a chunked body.
	unknownSize = -1
)

// exchange is a request with its response, which is set when ready is closed.
type exchange struct {
	response Response
	ready    chan struct{}
	method   string
	last     bool
}

// dropResponse releases the memory of a response that is written or not needed.
func (ex *exchange) dropResponse() {
	memory := ex.response.Memory
	ex.response = Response{}
	memory.Release()
}

// closeReason is why a connection ends.
type closeReason int

const (
	// callerClosed means that the caller closed the connection.
	callerClosed closeReason = iota
	// idle means that no request was in flight and none arrived in time.
	idle
	// afterResponse means that the last response announces the end.
	afterResponse
)

// source reads from a connection and keeps the error of the last read, because
// the standard library's parser drops one that ends a line.
type source struct {
	raw net.Conn
	err error
}

func (s *source) Read(p []byte) (n int, err error) {
	n, err = s.raw.Read(p)
	s.err = err
	return n, err
}

type conn struct {
	server  *Server
	raw     net.Conn
	source  *source
	limited *bounded.Reader
	reader  *bufio.Reader

	mu      sync.Mutex
	stopped bool
	// refusing is set once requests that are not in flight are to be refused.
	refusing bool
	inFlight int
	// idleSince is when the last response was written, or the connection accepted.
	idleSince time.Time
	// begun is set while bytes of a request that is not in flight have arrived.
	begun bool
	// continueDue is set while a 100 response waits for earlier responses.
	continueDue bool
	// lastChosen is set once a response was chosen to be the last.
	lastChosen bool
	// finishBy, if set, is when the wait for a last request ends.
	finishBy time.Time
	// awaiting is set while the connection waits for the next request.
	awaiting bool
}

func newConn(s *Server, raw net.Conn) *conn {
	from := &source{raw: raw}
	limit := &bounded.Reader{From: from}
	return &conn{
		server: s, raw: raw, source: from, limited: limit, reader: bufio.NewReaderSize(limit, readBuffer),
		idleSince: time.Now(),
	}
}

// serve reads requests until the caller or the server ends the connection.
func (c *conn) serve() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	pending := make(chan *exchange, maxPipelined)
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.writeResponses(pending, cancel)
	}()
	reason := c.readRequests(ctx, pending)
	close(pending)
	if reason == callerClosed {
		cancel()
	}
	<-written
	c.close(reason)
}

// readRequests reads and starts requests until no further one may follow.
func (c *conn) readRequests(ctx context.Context, pending chan<- *exchange) closeReason {
	for {
		limits := c.server.limits()
		if reason, ended := c.awaitRequest(limits); ended {
			return reason
		}
		req, refusal := c.readRequest(limits)
		if req == nil && refusal == nil {
			return callerClosed
		}
		ex := &exchange{ready: make(chan struct{})}
		if !c.beginRequest() && refusal == nil {
			c.server.memory.Release(int64(cap(req.Body)))
			refusal = retryLaterResponse()
		}
		if refusal != nil {
			c.server.refused.Add(1)
			ex.response, ex.last = *refusal, true
			close(ex.ready)
			pending <- ex
			return afterResponse
		}
		ex.method = req.Method
		ex.last = req.Close || c.server.draining.Load()
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
	ex.response = c.server.handler(ctx, req)
}

// beginRequest counts a request as in flight. It reports whether the request may
// be passed to the handler.
func (c *conn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight++
	c.begun = c.reader.Buffered() > 0
	c.continueDue = false
	return !c.refusing
}

// endRequest counts a response as written. It reports whether the 100 response of
// the next request is due.
func (c *conn) endRequest() (continueDue bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight--
	c.idleSince = time.Now()
	c.awaitLast()
	if c.inFlight > 0 {
		return false
	}
	continueDue, c.continueDue = c.continueDue, false
	return continueDue
}

func (c *conn) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inFlight > 0
}

// setReadDeadline sets the deadline d from now, unless stopReading was called.
func (c *conn) setReadDeadline(d time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return false
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(d))
	return true
}

// setRequestDeadline sets the deadline of a request that is being read, unless
// stopReading or refuseUnread was called.
func (c *conn) setRequestDeadline(d time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped || c.refusing {
		return false
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(d))
	return true
}

// awaitRequest waits for the first byte of the next request.
func (c *conn) awaitRequest(limits Limits) (reason closeReason, ended bool) {
	defer c.endAwaiting()
	for {
		if !c.beginAwaiting(limits.IdleTimeout) {
			return afterResponse, true
		}
		c.limited.Left = int64(limits.MaxHeaderBytes) + headerSlack
		_, err := c.reader.Peek(1)
		switch {
		case err == nil:
			return afterResponse, !c.beginReading()
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return callerClosed, true
		case c.isStopped():
			return afterResponse, true
		case c.isIdle(limits.IdleTimeout) && !c.hasInput():
			return idle, true
		}
	}
}

// awaitClose watches for the caller's close while the last request runs.
func (c *conn) awaitClose(ctx context.Context) closeReason {
	for c.busy() {
		const step = 5 * time.Second
		if !c.setReadDeadline(step) {
			return afterResponse
		}
		c.limited.Left = readBuffer
		if _, err := c.reader.Peek(c.reader.Buffered() + 1); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				continue
			}
			if errors.Is(err, bufio.ErrBufferFull) || ctx.Err() != nil {
				return afterResponse
			}
			return callerClosed
		}
	}
	return afterResponse
}

// readRequest reads one request with its body, or returns the error response to
// send. Both are nil if the caller has closed the connection.
func (c *conn) readRequest(limits Limits) (*Request, *Response) {
	if !c.setRequestDeadline(limits.HeaderTimeout) {
		return nil, c.timeoutResponse()
	}
	parsed, err := http.ReadRequest(c.reader)
	if err := cmp.Or(c.source.err, err); err != nil {
		return nil, c.headerErrorResponse(err)
	}
	req := &Request{Request: parsed, Target: parsed.RequestURI, Received: time.Now()}
	if parsed.ContentLength > limits.MaxBodyBytes {
		return nil, errorResponse(http.StatusRequestEntityTooLarge)
	}
	if parsed.ContentLength == 0 {
		return req, nil
	}
	if parsed.Header.Get("Expect") == "100-continue" {
		c.requestContinue()
	}
	c.limited.Left = limits.MaxBodyBytes + int64(limits.MaxHeaderBytes)
	if !c.setRequestDeadline(limits.BodyTimeout) {
		return nil, c.timeoutResponse()
	}
	body, whole, refusal := c.readBody(parsed, limits)
	if !whole {
		return nil, refusal
	}
	req.Body = body
	return req, nil
}

// requestContinue sends the 100 response for which the caller holds the body back,
// or has it sent after the responses to earlier requests.
func (c *conn) requestContinue() {
	c.mu.Lock()
	c.continueDue = c.inFlight > 0
	due := !c.continueDue
	c.mu.Unlock()
	if due {
		c.writeContinue()
	}
}

func (c *conn) writeContinue() {
	_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, _ = io.WriteString(c.raw, "HTTP/1.1 100 Continue\r\n\r\n")
}

func (c *conn) headerErrorResponse(err error) *Response {
	switch {
	case c.limited.Left <= 0:
		return errorResponse(http.StatusRequestHeaderFieldsTooLarge)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return c.timeoutResponse()
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), isNetworkError(err):
		return nil
	default:
		return errorResponse(http.StatusBadRequest)
	}
}

func isNetworkError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op)
}

// readBody reads the whole body within the memory budget. If that fails, it
// returns only the error response to send, or nil if the caller has closed the
// connection.
func (c *conn) readBody(parsed *http.Request, limits Limits) (body []byte, whole bool, refusal *Response) {
	size := parsed.ContentLength
	if size < 0 {
		return c.readChunked(parsed.Body, limits)
	}
	if !c.server.memory.Reserve(size) {
		return nil, false, retryLaterResponse()
	}
	body = make([]byte, size)
	if _, err := io.ReadFull(parsed.Body, body); err != nil {
		c.server.memory.Release(size)
		return nil, false, c.bodyErrorResponse(cmp.Or(c.source.err, err))
	}
	return body, true, nil
}

func (c *conn) readChunked(r io.Reader, limits Limits) (body []byte, whole bool, refusal *Response) {
	body, err := c.server.memory.ReadAll(r, unknownSize, limits.MaxBodyBytes)
	switch {
	case err == nil:
		return body, true, nil
	case errors.Is(err, bounded.ErrTooLong):
		return nil, false, errorResponse(http.StatusRequestEntityTooLarge)
	case errors.Is(err, bounded.ErrExhausted):
		return nil, false, retryLaterResponse()
	default:
		return nil, false, c.bodyErrorResponse(cmp.Or(c.source.err, err))
	}
}

// bodyErrorResponse returns the response to a body that could not be read whole,
// or nil if the caller has closed the connection.
func (c *conn) bodyErrorResponse(err error) *Response {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return c.timeoutResponse()
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF), isNetworkError(err):
		return nil
	default:
		return errorResponse(http.StatusBadRequest)
	}
}

func errorResponse(status int) *Response {
	return &Response{Status: status, Header: http.Header{}, Close: true}
}

// timeoutResponse returns the response to a request that did not arrive whole in
// time.
func (c *conn) timeoutResponse() *Response {
	if c.isRefusing() {
		return retryLaterResponse()
	}
	return errorResponse(http.StatusRequestTimeout)
}

// retryLaterResponse refuses a request that did not run because its body exceeds
// the remaining memory budget of this host, or because the host stops.
func retryLaterResponse() *Response {
	resp := errorResponse(http.StatusServiceUnavailable)
	resp.Header.Set("Retry-After", "0.5")
	return resp
}

// writeResponses writes the responses in the order of their requests.
func (c *conn) writeResponses(pending <-chan *exchange, cancel context.CancelFunc) {
	done := false
	for ex := range pending {
		<-ex.ready
		if !done {
			last := ex.last || ex.response.Close || c.chooseLastResponse()
			if err := c.write(ex, last); err != nil {
				done = true
				cancel()
				c.stopReading()
			}
			if last {
				done = true
				c.stopReading()
			}
		}
		ex.dropResponse()
		if c.endRequest() && !done {
			c.writeContinue()
		}
	}
}

func (c *conn) write(ex *exchange, last bool) error {
	_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	out := make([]byte, 0, 512)
	out = append(out, "HTTP/1.1 "...)
	out = strconv.AppendInt(out, int64(ex.response.Status), 10)
	out = append(out, ' ')
	out = append(out, http.StatusText(ex.response.Status)...)
	out = append(out, "\r\n"...)
	for name, values := range ex.response.Header {
		for _, value := range values {
			out = append(out, name...)
			out = append(out, ": "...)
			out = append(out, value...)
			out = append(out, "\r\n"...)
		}
	}
	if hasBody(ex.response.Status) {
		out = append(out, "Content-Length: "...)
		out = strconv.AppendInt(out, int64(len(ex.response.Body)), 10)
		out = append(out, "\r\n"...)
	}
	if last {
		out = append(out, "Connection: close\r\n"...)
	}
	out = append(out, "\r\n"...)
	body := ex.response.Body
	if !hasBody(ex.response.Status) || ex.method == http.MethodHead {
		body = nil
	}
	if len(body) <= maxCopiedBody {
		_, err := c.raw.Write(append(out, body...))
		return err
	}
	_, err := (&net.Buffers{out, body}).WriteTo(c.raw)
	return err
}

// hasBody reports whether a response with the status has a body.
func hasBody(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}
