package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/wisteriacrank/wisteriacrank/internal/bounded"
)

const (
	readBuffer = 4 << 10
	// concurrentWriteBytes is the body size from which the request is written
	// while the response is read, because the server may respond before it has
	// read the whole request.
	concurrentWriteBytes = 16 << 10
	// maxHeaderBytes bounds the status line and header of a response.
	maxHeaderBytes = 64 << 10
	// maxResponseBytes bounds the body of a response as sent, with its content
	// encoding and the framing of chunks.
	maxResponseBytes = 16 << 20
	// maxInformational is how many informational responses (1xx) are skipped.
	maxInformational = 8
	// maxMismatched is how many late responses to earlier requests are skipped
	// before the connection is closed.
	maxMismatched = 2
	// maxIdleTimeout bounds the timeout that a server states in its Keep-Alive
	// header.
	maxIdleTimeout = time.Hour
)

// errUnmarked is the failure of a request whose response cannot be told from a
// copy of an earlier one.
var errUnmarked = errors.New("response without a request ID on a connection that has carried another request")

// conn is one connection. It is used for one request at a time.
type conn struct {
	raw     net.Conn
	limited *bounded.Reader
	base    *bufio.Reader
	// reader is base, or a larger buffer while a response has a long header.
	reader *bufio.Reader
	// memory bounds the responses that are read or in use.
	memory *bounded.Budget
	// headerMemory is what a long header has reserved.
	headerMemory int64
	written      atomic.Int64
	useUntil     time.Time
	// used is set once the connection has carried a request.
	used bool
}

func newConn(raw net.Conn, memory *bounded.Budget) *conn {
	limit := &bounded.Reader{From: raw}
	base := bufio.NewReaderSize(limit, readBuffer)
	return &conn{raw: raw, limited: limit, base: base, reader: base, memory: memory}
}

// isIdle reports whether the connection is open and has no unread bytes. Bytes
// that arrive between requests belong to no request.
func (c *conn) isIdle() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sys, ok := c.raw.(syscall.Conn)
	if !ok {
		return true
	}
	rawConn, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = rawConn.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && idle
}

// Write counts the bytes that the kernel accepted.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.raw.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// roundTrip sends the request and reads its response. reusable reports whether
// the connection can carry another request.
func (c *conn) roundTrip(ctx context.Context, req Request) (response *Response, reusable bool, err error) {
	c.written.Store(0)
	reused := c.used
	c.used = true
	defer c.shrinkBuffer()
	stop := context.AfterFunc(ctx, func() { _ = c.raw.SetDeadline(time.Unix(1, 0)) })
	defer func() {
		if !stop() {
			reusable = false
		}
	}()
	wrote := c.send(req)
	if len(req.Body) < concurrentWriteBytes {
		err := <-wrote
		if err != nil && c.written.Load() == 0 {
			return nil, false, &Failure{Err: fmt.Errorf("send request: %w", err)}
		}
		wrote <- err
	}
	resp, err := c.readMatching(req, reused)
	if err != nil {
		return nil, false, c.failure(ctx, wrote, err)
	}
	body, err := c.readBody(resp, wrote)
	if err != nil {
		return nil, false, c.failure(ctx, wrote, fmt.Errorf("read answer: %w", err))
	}
	memory := c.memory.Hold(int64(cap(body)) + c.takeHeaderMemory())
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: body, Memory: memory}, c.isReusable(resp, wrote), nil
}

// send writes the request. The channel receives the result of the write.
func (c *conn) send(req Request) chan error {
	wrote := make(chan error, 1)
	header := encodeHeader(req)
	if len(req.Body) < concurrentWriteBytes {
		_, err := c.Write(append(header, req.Body...))
		wrote <- err
		return wrote
	}
	go func() {
		_, err := c.Write(header)
		if err == nil {
			_, err = c.Write(req.Body)
		}
		wrote <- err
	}()
	return wrote
}

func encodeHeader(req Request) []byte {
	var b bytes.Buffer
	b.Grow(512)
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", req.Method, req.Target, req.Host)
	// Header.Write replaces line breaks in values, which could end the header.
	_ = req.Header.Write(&b) // a bytes.Buffer does not fail
	if len(req.Body) > 0 || mayHaveBody(req.Method) {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(req.Body))
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

func mayHaveBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// readMatching returns the response to the request. It skips informational
// responses and late responses to earlier requests. On a reused connection, a
// response without a request ID may be a copy of the response to an earlier
// request, so it says nothing about this one.
func (c *conn) readMatching(req Request, reused bool) (*http.Response, error) {
	for skipped, informational := 0, 0; ; {
		c.limited.Left = maxHeaderBytes
		resp, err := c.readHeader(req.Method)
		if err != nil {
			return nil, fmt.Errorf("read answer: %w", err)
		}
		if resp.StatusCode < http.StatusOK {
			if informational++; informational > maxInformational {
				return nil, errors.New("too many informational responses")
			}
			continue
		}
		c.limited.Left = maxResponseBytes
		switch match := req.MatchResponse(resp.Header); {
		case match == Matching, match == Unmarked && !reused && skipped == 0:
			return resp, nil
		case match == Unmarked:
			return nil, errUnmarked
		}
		if skipped++; skipped > maxMismatched {
			return nil, errors.New("too many responses to other requests")
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxResponseBytes)); err != nil {
			return nil, fmt.Errorf("skip response to another request: %w", err)
		}
	}
}

// readBody reads the whole body of the response. Without an error, the capacity of the
// body stays reserved in the memory for responses.
func (c *conn) readBody(resp *http.Response, wrote chan error) ([]byte, error) {
	body, err := c.memory.ReadAll(resp.Body, resp.ContentLength, maxResponseBytes)
	if err != nil || !endsWithConnection(resp) {
		return body, err
	}
	if err := c.lossDuringWrite(wrote); err != nil {
		c.memory.Release(int64(cap(body)))
		return nil, err
	}
	return body, nil
}

// endsWithConnection reports whether only the end of the connection shows where the
// body of the response ends.
func endsWithConnection(resp *http.Response) bool {
	return resp.Body != http.NoBody && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// lossDuringWrite is called when a read has found the end of the connection. It ends
// the write of the request, and returns its error if the connection was reset or its
// peer was lost, or nil if the server has closed the connection. The kernel returns the
// error of a connection only once: if the write gets it, a read finds the same end as
// after a close.
func (c *conn) lossDuringWrite(wrote chan error) error {
	var err error
	select {
	case err = <-wrote:
	default:
		_ = c.raw.SetDeadline(time.Unix(1, 0))
		err = <-wrote
	}
	wrote <- err
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.EPIPE) {
		// The write was still waiting, or it met a reset after the close, for which
		// Linux returns EPIPE.
		return nil
	}
	return err
}

// failure closes the connection and returns the failure of its request.
func (c *conn) failure(ctx context.Context, wrote <-chan error, err error) *Failure {
	// The number of bytes that the kernel accepted is known once the write ended.
	_ = c.raw.Close()
	<-wrote
	f := &Failure{Sent: c.written.Load() > 0, Err: err}
	if cause := context.Cause(ctx); cause != nil {
		f.Err = cause
		return f
	}
	var network *net.OpError
	f.InvalidResponse = !errors.As(err, &network) && !errors.Is(err, io.EOF)
	return f
}

// isReusable reports whether the connection can carry another request, and sets
// until when.
func (c *conn) isReusable(resp *http.Response, wrote chan error) bool {
	select {
	case err := <-wrote:
		if err != nil {
			return false
		}
	default:
		// The server responded before it had the whole request.
		return false
	}
	if resp.Close || c.reader.Buffered() > 0 || c.base.Buffered() > 0 {
		return false
	}
	c.useUntil = time.Now().Add(idleTimeout(resp.Header))
	return true
}

// idleTimeout returns how long the connection may stay idle, from the timeout in
// the Keep-Alive header less idleTimeoutMargin.
func idleTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			stated := time.Duration(min(max(seconds, 0), int(maxIdleTimeout/time.Second))) * time.Second
			return max(stated-idleTimeoutMargin, 0)
		}
	}
	return defaultIdleTimeout
}
