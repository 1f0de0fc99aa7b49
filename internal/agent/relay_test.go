package agent

import (
	"net"
	"sync"
	"testing"

	"github.com/wisteriacrank/wisteriacrank/internal/settings"
	"github.com/wisteriacrank/wisteriacrank/internal/wire"
	"github.com/wisteriacrank/wisteriacrank/pkg/model"
)

// relays forward the connections between agents. A connection that carries
// bytes while its hosts are cut from each other stays silent for good; new
// connections work when the cut is over.
type relays struct {
	t *testing.T

	mu  sync.Mutex
	cut func(from, to model.HostID) bool
	// epoch rises when all open connections go silent.
	epoch int
	conns []net.Conn
}

func newRelays(t *testing.T) *relays {
	return &relays{t: t, cut: func(_, _ model.HostID) bool { return false }}
}

func (r *relays) setCut(cut func(from, to model.HostID) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
}

func (r *relays) silenceOpen() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.epoch++
}

func (r *relays) blocked(from, to model.HostID, epoch int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return epoch != r.epoch || r.cut(from, to)
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
	up, err := net.Dial("tcp", target)
	if err != nil {
		_ = conn.Close()
		return
	}
	r.mu.Lock()
	r.conns = append(r.conns, conn, up)
	epoch := r.epoch
	r.mu.Unlock()
	from := model.HostID(hello.GetHello().GetHost())
	if !r.blocked(from, to, epoch) {
		_ = wire.WriteFrame(up, hello)
	}
	blocked := func() bool { return r.blocked(from, to, epoch) }
	go pipe(up, conn, blocked)
	go pipe(conn, up, blocked)
}

// pipe copies until the source ends. It drops everything from the first byte
// that is blocked.
func pipe(dst, src net.Conn, blocked func() bool) {
	silent := false
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		silent = silent || blocked()
		if n > 0 && !silent {
			_, _ = dst.Write(buf[:n])
		}
		if err != nil {
			if !silent {
				_ = dst.Close()
			}
			return
		}
	}
}
