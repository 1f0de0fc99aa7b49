package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/wisteriacrank/wisteriacrank/internal/bounded"
)

// upload returns a request with a body of the given size.
func upload(size int) Request {
	return Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: make([]byte, size), MatchResponse: matchID("own")}
}

// earlyConn returns a response and its end while the request is being written. The
// write fails with writeErr before the end is read; without one it lasts until its
// deadline.
type earlyConn struct {
	net.Conn
	response        io.Reader
	writeErr        error
	failed, expired chan struct{}
	fail, expire    sync.Once
}

func newEarlyConn(response string, writeErr error) *earlyConn {
	return &earlyConn{response: strings.NewReader(response), writeErr: writeErr, failed: make(chan struct{}), expired: make(chan struct{})}
}

func (c *earlyConn) Write(p []byte) (int, error) {
	if c.writeErr == nil {
		<-c.expired
		return 0, os.ErrDeadlineExceeded
	}
	c.fail.Do(func() { close(c.failed) })
	return len(p) / 2, c.writeErr
}

func (c *earlyConn) Read(p []byte) (int, error) {
	n, err := c.response.Read(p)
	if err != nil && c.writeErr != nil {
		<-c.failed
	}
	return n, err
}

func (c *earlyConn) SetDeadline(time.Time) error {
	c.expire.Do(func() { close(c.expired) })
	return nil
}

func (c *earlyConn) Close() error { return c.SetDeadline(time.Time{}) }

// Guards against a truncated response that is taken for a whole one because the write
// of the request got the error of the connection, and against a whole one that is lost.
func TestResponseWithoutLengthIsCutOffIfItsConnectionIsLost(t *testing.T) {
	const memory = 1 << 20
	lost := func(errno syscall.Errno) error {
		return &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", errno)}
	}
	noLength := signedHead + "\r\n" + lastBody
	for name, c := range map[string]struct {
		response string
		writeErr error
		whole    bool
	}{
		"reset":                    {noLength, lost(syscall.ECONNRESET), false},
		"reset, HTTP/1.0":          {strings.Replace(noLength, "1.1", "1.0", 1), lost(syscall.ECONNRESET), false},
		"reset, empty body":        {signedHead + "\r\n", lost(syscall.ECONNRESET), false},
		"unresponsive":             {noLength, lost(syscall.ETIMEDOUT), false},
		"closed":                   {noLength, nil, true},
		"closed, then reset":       {noLength, lost(syscall.EPIPE), true},
		"whole length, then reset": {signedHead + "Content-Length: 12\r\n\r\n" + lastBody, lost(syscall.ECONNRESET), true},
		"whole chunks, then reset": {signedHead + "Transfer-Encoding: chunked\r\n\r\nc\r\n" + lastBody + "\r\n0\r\n\r\n", lost(syscall.ECONNRESET), true},
	} {
		for _, size := range []int{1, concurrentWriteBytes} {
			if size < concurrentWriteBytes && c.writeErr == nil {
				continue // A small request is written before the response is read.
			}
			budget := bounded.New(memory)
			resp, reusable, err := newConn(newEarlyConn(c.response, c.writeErr), budget).roundTrip(context.Background(), upload(size))
			var failure *Failure
			switch {
			case c.whole && (err != nil || string(resp.Body) != lastBody || reusable):
				t.Errorf("%s, request of %d bytes: %+v, %v, reusable %v; want the response", name, size, resp, err, reusable)
			case !c.whole && (!errors.As(err, &failure) || !failure.Sent || failure.InvalidResponse || resp != nil):
				t.Errorf("%s, request of %d bytes: %+v, %+v; want a lost connection", name, size, resp, err)
			}
			if resp != nil {
				resp.Memory.Release()
			}
			if budget.Free() != memory {
				t.Errorf("%s, request of %d bytes: %d bytes stay reserved", name, size, memory-budget.Free())
			}
		}
	}
}

// reset closes the connection with a reset.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// closeSide ends what is sent on the connection, and waits until the peer's kernel
// has received all of it.
func closeSide(t *testing.T, conn *net.TCPConn) {
	_ = conn.CloseWrite()
	raw, err := conn.SyscallConn()
	if err != nil {
		t.Error(err)
		return
	}
	const finWait1 = 4 // TCP_FIN_WAIT1 of Linux: the end is not acknowledged yet
	for state := uint8(finWait1); state == finWait1; time.Sleep(time.Millisecond) {
		_ = raw.Control(func(fd uintptr) {
			info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
			if err != nil {
				t.Error(err)
				state = 0
				return
			}
			state = info.State
		})
	}
}

// Guards against a truncated response that is taken for a whole one, and against a whole
// one that is lost, when a server responds during an upload. The kernel decides whether
// the write or the read gets the error of the connection.
func TestResponseDuringAnUpload(t *testing.T) {
	const attempts = 20
	for name, c := range map[string]struct {
		response string
		end      func(conn *net.TCPConn)
		whole    bool
	}{
		"no length, reset":              {signedHead + "\r\n" + lastBody, reset, false},
		"no length, request not read":   {signedHead + "\r\n" + lastBody, func(conn *net.TCPConn) { _ = conn.Close() }, false},
		"no length, closed":             {signedHead + "\r\n" + lastBody, func(conn *net.TCPConn) { closeSide(t, conn) }, true},
		"no length, closed, reads on":   {signedHead + "\r\n" + lastBody, func(conn *net.TCPConn) { closeSide(t, conn); _, _ = io.Copy(io.Discard, conn) }, true},
		"no length, closed, then reset": {signedHead + "\r\n" + lastBody, func(conn *net.TCPConn) { closeSide(t, conn); reset(conn) }, true},
		"length, reset":                 {signedHead + "Content-Length: 12\r\n\r\n" + lastBody, reset, true},
		"cut length, reset":             {signedHead + "Content-Length: 13\r\n\r\n" + lastBody, reset, false},
		"chunks, reset":                 {signedHead + "Transfer-Encoding: chunked\r\n\r\nc\r\n" + lastBody + "\r\n0\r\n\r\n", reset, true},
		"cut chunks, reset":             {signedHead + "Transfer-Encoding: chunked\r\n\r\nc\r\n" + lastBody + "\r\n", reset, false},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			received := make(chan struct{})
			go func() {
				for {
					raw, err := listener.Accept()
					if err != nil {
						return
					}
					_, _ = raw.Read(make([]byte, 10))
					_, _ = io.WriteString(raw, c.response)
					c.end(raw.(*net.TCPConn))
					<-received
					_ = raw.Close()
				}
			}()
			wrong, last := 0, ""
			for range attempts {
				pool := NewPool(listener.Addr().String(), bounded.New(64<<20))
				resp, err := pool.Do(context.Background(), upload(8<<20), func(time.Duration) {})
				received <- struct{}{}
				var failure *Failure
				if c.whole && (err != nil || string(resp.Body) != lastBody) || !c.whole && (!errors.As(err, &failure) || !failure.Sent) {
					wrong++
					last = fmt.Sprintf("%+v, %v", resp, err)
				}
				pool.Close()
			}
			if wrong > 0 {
				t.Errorf("%d of %d responses, the last is %s; want whole %v", wrong, attempts, last, c.whole)
			}
		})
	}
}
