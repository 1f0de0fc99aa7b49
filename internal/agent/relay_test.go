package agent

import (
	"net"
	"sync"
	"testing"

	"github.com/wisteriacrank/wisteriacrank/internal/settings"
	"github.com/wisteriacrank/wisteriacrank/internal/wire"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// relays are TCP proxies between agents that can simulate partitions. A connection
// that carries bytes while its hosts are partitioned drops all bytes from then on;
// new connections work once the partition is over.
type relays struct {
	t *testing.T

	mu          sync.Mutex
	partitioned func(from, to model.HostID) bool
	// epoch is incremented to make all open connections drop their bytes.
	epoch int
	conns []net.Conn
}

func newRelays(t *testing.T) *relays {
	return &relays{t: t, partitioned: func(_, _ model.HostID) bool { return false }}
}

func (r *relays) setPartition(partitioned func(from, to model.HostID) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.partitioned = partitioned
}

func (r *relays) blackholeOpen() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.epoch++
}

func (r *relays) blocked(from, to model.HostID, epoch int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return epoch != r.epoch || r.partitioned(from, to)
}

// adjust puts a relay in front of an agent.
func (r *relays) adjust(s *settings.Settings) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.t.Fatal(err)
	}
	to, target := s.Host.ID, s.Listen.Agent
	s.Listen.Agent = listener.Addr().String()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go r.forward(conn, to, target)
		}
	}()
	r.t.Cleanup(func() {
		_ = listener.Close()
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, conn := range r.conns {
			_ = conn.Close()
		}
	})
}

func (r *relays) forward(conn net.Conn, to model.HostID, target string) {
	hello, err := wire.ReadFrame(conn, frameBytes)
	if err != nil {
		_ = conn.Close()
		return
	}
	targetConn, err := net.Dial("tcp", target)
	if err != nil {
		_ = conn.Close()
		return
	}
	r.mu.Lock()
	r.conns = append(r.conns, conn, targetConn)
	epoch := r.epoch
	r.mu.Unlock()
	from := model.HostID(hello.GetHello().GetHost())
	if !r.blocked(from, to, epoch) {
		_ = wire.WriteFrame(targetConn, hello)
	}
	blocked := func() bool { return r.blocked(from, to, epoch) }
	go pipe(targetConn, conn, blocked)
	go pipe(conn, targetConn, blocked)
}

// pipe copies from src to dst until src ends. It drops all bytes from the first
// blocked read on.
func pipe(dst, src net.Conn, blocked func() bool) {
	dropping := false
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		dropping = dropping || blocked()
		if n > 0 && !dropping {
			_, _ = dst.Write(buf[:n])
		}
		if err != nil {
			if !dropping {
				_ = dst.Close()
			}
			return
		}
	}
}
