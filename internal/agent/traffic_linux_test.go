package agent

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"golang.org/x/sys/unix"

	"github.com/wisteriacrank/wisteriacrank/pkg/membership"
)

const (
	// controlLimit is the required limit of a host's control traffic in bytes per
	// second.
	controlLimit = 5000.0
	// headerBytes are the IPv4 and TCP headers of a segment with timestamps.
	headerBytes = 20 + 32
	// closingSegments are sent after the counts of a connection are read: its
	// FIN and the acknowledgement of the peer's.
	closingSegments = 2
)

// trafficMeter sums the bytes and segments that one agent sends, as counted by the
// kernel. Only the length of the segments' headers is an estimate.
type trafficMeter struct {
	bytes, segments atomic.Int64

	mu   sync.Mutex
	open map[*meteredConn]bool
}

type meteredConn struct {
	*net.TCPConn
	meter *trafficMeter
	once  sync.Once
	// seenBytes and seenSegments are already included in the meter.
	seenBytes, seenSegments int64
}

func (m *trafficMeter) wrap(conn net.Conn) net.Conn {
	metered := &meteredConn{TCPConn: conn.(*net.TCPConn), meter: m}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.open[metered] = true
	return metered
}

// update adds what the kernel counted since the last call.
func (c *meteredConn) update() {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return
		}
		// Bytes_acked would miss bytes in flight.
		sent := int64(info.Bytes_sent)
		c.meter.bytes.Add(sent - c.seenBytes)
		c.meter.segments.Add(int64(info.Segs_out) - c.seenSegments)
		c.seenBytes, c.seenSegments = sent, int64(info.Segs_out)
	})
}

// Close implements net.Conn.
func (c *meteredConn) Close() error {
	c.once.Do(func() {
		c.meter.mu.Lock()
		defer c.meter.mu.Unlock()
		delete(c.meter.open, c)
		c.update()
		c.meter.segments.Add(closingSegments)
	})
	return c.TCPConn.Close()
}

// sent returns the bytes sent, including the headers of all segments.
func (m *trafficMeter) sent() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	for conn := range m.open {
		conn.update()
	}
	return float64(m.bytes.Load() + headerBytes*m.segments.Load())
}

type meteredListener struct {
	net.Listener
	meter *trafficMeter
}

func (l meteredListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.meter.wrap(conn), nil
}

// meter makes the fleet measure the traffic that each agent sends. The result has
// one meter per agent in the order of their starts.
func (f *fleet) meter() *[]*trafficMeter {
	meters := new([]*trafficMeter)
	f.prepare = func(a *Agent, peers net.Listener) net.Listener {
		m := &trafficMeter{open: make(map[*meteredConn]bool)}
		*meters = append(*meters, m)
		dial := a.dial
		a.dial = func(address string) (net.Conn, error) {
			conn, err := dial(address)
			if err != nil {
				return nil, err
			}
			return m.wrap(conn), nil
		}
		return meteredListener{peers, m}
	}
	return meters
}

// probes returns how many probes all agents have started.
func (f *fleet) probes() int64 {
	var sum int64
	for _, a := range f.agents {
		sum += a.probesStarted.Load()
	}
	return sum
}

// Guards against control traffic of an idle fleet above the limit per host.
// Traffic is counted per probe, whose rate is fixed, so that a slow machine
// doesn't change the result.
func TestQuietFleetStaysUnderTheControlLimit(t *testing.T) {
	for _, hosts := range []int{8, 24} {
		t.Run(fmt.Sprintf("hosts=%d", hosts), func(t *testing.T) {
			t.Parallel()
			checkIdleTraffic(t, hosts)
		})
	}
}

func checkIdleTraffic(t *testing.T, hosts int) {
	const rounds = 10
	f := newFleet(t)
	meters := f.meter()
	for range hosts {
		f.start()
	}
	first := f.promote(0)
	f.wait("first generation in force", func() bool { return f.inForceEverywhere(hosts, first) })
	started := f.probes()
	f.wait("records of the starts have been distributed", func() bool { return f.probes()-started > int64(20*hosts) })

	before := make([]float64, hosts)
	for i, m := range *meters {
		before[i] = m.sent()
	}
	started = f.probes()
	calls := f.store.Calls()
	f.wait("probes", func() bool { return f.probes()-started >= int64(rounds*hosts) })
	elapsed := float64(f.probes()-started) / float64(hosts) * membership.DefaultConfig().ProbeInterval.Seconds()
	var sum, highest float64
	for i, m := range *meters {
		sent := (m.sent() - before[i]) / elapsed
		sum += sent
		highest = max(highest, sent)
	}
	t.Logf("%.0f B/s sent per agent, highest %.0f, headers estimated as %d bytes per segment", sum/float64(hosts), highest, headerBytes)
	if testing.Verbose() {
		// make capacity reads this line.
		callRate := float64(f.store.Calls()-calls) / elapsed
		fmt.Printf("\nBenchmarkQuietAgent/members=%d 1 %.0f bytes/s %.2f store-calls/s\n", hosts, highest, callRate)
	}
	if highest > controlLimit {
		t.Errorf("%.0f B/s sent by one agent, want at most %.0f", highest, controlLimit)
	}
}
