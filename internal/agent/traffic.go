package agent

import "net"

// Counters of the bytes on connections between agents and with the daemons of
// this host, without the headers of TCP and IP.
const (
	counterBytesSent     = "wire_bytes_sent"
	counterBytesReceived = "wire_bytes_received"
)

// Counters of calls between agents.
const (
	counterProbes         = "probes"
	counterIndirectProbes = "indirect_probes"
	counterProbesMissed   = "probes_missed"
	counterPushes         = "pushes"
	counterPulls          = "pulls"
)

// count adds n to a counter if the agent has metrics.
func (a *Agent) count(name string, n int64) {
	if a.metrics != nil && n > 0 {
		a.metrics.Add(name, n)
	}
}

// dialCounted connects to a peer and counts the bytes on the connection.
func (a *Agent) dialCounted(address string) (net.Conn, error) {
	conn, err := a.dial(address)
	if err != nil {
		return nil, err
	}
	return &countingConn{conn, a}, nil
}

// countingListener counts the bytes of accepted connections.
type countingListener struct {
	net.Listener
	agent *Agent
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{conn, l.agent}, nil
}

// countingConn counts the bytes of one connection.
type countingConn struct {
	net.Conn
	agent *Agent
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.agent.count(counterBytesReceived, int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.agent.count(counterBytesSent, int64(n))
	return n, err
}
