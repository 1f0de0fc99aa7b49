package callers

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/wisteriacrank/wisteriacrank/internal/bounded"
)

// Guards against the memory of a response that stays reserved after the response was
// written or dropped, or that is free while the response waits to be written.
func TestMemoryOfResponsesIsReleased(t *testing.T) {
	const total = 64 << 20
	long := bytes.Repeat([]byte("l"), 12<<20)
	const (
		get   = "GET /p HTTP/1.1\r\nHost: h\r\n\r\n"
		last  = "GET /last HTTP/1.1\r\nHost: h\r\n\r\n"
		waits = "GET /waits HTTP/1.1\r\nHost: h\r\n\r\n"
		head  = "HEAD /p HTTP/1.1\r\nHost: h\r\n\r\n"
	)
	leave := func(_ *testing.T, conn *net.TCPConn) {
		time.Sleep(settleTime)
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
	read := func(responses int, method string) func(*testing.T, *net.TCPConn) {
		return func(t *testing.T, conn *net.TCPConn) {
			replies := bufio.NewReader(conn)
			for range responses {
				resp, err := http.ReadResponse(replies, &http.Request{Method: method})
				if err != nil {
					t.Fatal(err)
				}
				body, err := io.ReadAll(resp.Body)
				if err != nil || method == http.MethodGet && !bytes.Equal(body, long) {
					t.Errorf("%d bytes, %v; want the whole body", len(body), err)
				}
			}
		}
	}
	for name, c := range map[string]struct {
		requests string
		then     func(*testing.T, *net.TCPConn)
	}{
		"read":                       {get + get + get, read(3, http.MethodGet)},
		"without a body":             {head, read(1, http.MethodHead)},
		"behind the last":            {last + get + get, read(1, http.MethodGet)},
		"never read":                 {get + get, leave},
		"behind one that never ends": {waits + get + get, leave},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			memory := bounded.New(total)
			const requests = 3
			reserved := make(chan struct{}, requests)
			address := startServer(t, func(ctx context.Context, r *Request) Response {
				if r.Target == "/waits" {
					<-ctx.Done()
				}
				if !memory.Reserve(int64(len(long))) {
					t.Error("memory is exhausted")
				}
				reserved <- struct{}{}
				return Response{Status: http.StatusOK, Header: http.Header{}, Body: long, Memory: memory.Hold(int64(len(long))), Close: r.Target == "/last"}
			})
			conn := dialServer(t, address)
			send(t, conn, c.requests)
			<-reserved
			c.then(t, conn)
			const limit = 5 * time.Second
			for end := time.Now().Add(limit); memory.Free() != total && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			if free := memory.Free(); free != total {
				t.Errorf("%d bytes are free, want %d", free, total)
			}
		})
	}
}
