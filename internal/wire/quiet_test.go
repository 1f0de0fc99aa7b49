package wire

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// writeCounter counts the writes on one connection. Each short write is a TCP
// segment.
type writeCounter struct {
	net.Conn
	writes *atomic.Int64
}

func (c writeCounter) Write(p []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(p)
}

type counterListener struct {
	net.Listener
	writes *atomic.Int64
}

func (l counterListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return writeCounter{conn, l.writes}, err
}

func quietPair(t *testing.T, environment string) (*Client, string, *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var writes atomic.Int64
	server := NewServer(Identity{Environment: environment, Host: "server"}, echoHandler{}, DefaultMaxFrameBytes, nil)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(t.Context(), counterListener{listener, &writes})
	}()
	client := NewQuietClient(Identity{Environment: "trial"}, DefaultMaxFrameBytes)
	client.ConnectWith(func(address string) (net.Conn, error) {
		conn, err := Dial(address)
		return writeCounter{conn, &writes}, err
	})
	t.Cleanup(func() { client.Close(); <-done })
	return client, listener.Addr().String(), &writes
}

// Guards against a short call that costs a TCP segment for each part of a frame
// and for the greeting.
func TestQuietCallIsOneWriteEachWay(t *testing.T) {
	client, address, writes := quietPair(t, "trial")
	reply, err := client.Call(t.Context(), address, recall("a"))
	if err != nil || reply.GetRecallRequest().GetRequestId() != "a" {
		t.Fatalf("reply %v, error %v", reply, err)
	}
	if got := writes.Load(); got != 2 {
		t.Errorf("%d writes for a call and its reply, want 2", got)
	}
	for _, id := range []string{"b", "c"} {
		if reply, err := client.Call(t.Context(), address, recall(id)); err != nil || reply.GetRecallRequest().GetRequestId() != id {
			t.Errorf("reply %v, error %v", reply, err)
		}
	}
}

// Guards against a quiet greeting that skips the check of the environment.
func TestQuietCallToOtherEnvironmentFails(t *testing.T) {
	client, address, _ := quietPair(t, "production")
	if reply, err := client.Call(t.Context(), address, recall("a")); err == nil {
		t.Errorf("reply %v from another environment", reply)
	}
}

// blackholeConn drops what is written once dropWrites is set.
type blackholeConn struct {
	net.Conn
	dropWrites *atomic.Bool
}

func (c blackholeConn) Write(p []byte) (int, error) {
	if c.dropWrites.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Guards against a quiet session that stays in use after its peer stopped
// responding, which no keepalive would show.
func TestQuietSessionEndsWithAFailedCall(t *testing.T) {
	client, address, _ := quietPair(t, "trial")
	connect, dropOnFirst := client.connect, new(atomic.Bool)
	dials := 0
	client.ConnectWith(func(address string) (net.Conn, error) {
		conn, err := connect(address)
		if dials++; dials == 1 {
			return blackholeConn{conn, dropOnFirst}, err
		}
		return conn, err
	})
	call := func(timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		_, err := client.Call(ctx, address, recall("a"))
		return err
	}
	const long = 10 * time.Second
	if err := call(long); err != nil {
		t.Fatal(err)
	}
	dropOnFirst.Store(true)
	if call(100*time.Millisecond) == nil {
		t.Error("a call got a reply on an unresponsive connection")
	}
	if err := call(long); err != nil {
		t.Errorf("call after the unresponsive connection: %v", err)
	}
}
