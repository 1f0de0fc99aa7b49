// Package livedial opens TCP connections on which a lost peer is detected within
// a given time. A connection can lose its peer without a reset.
package livedial

import (
	"net"
	"time"
)

// Limits bound how long the peer of a connection may be unresponsive.
type Limits struct {
	// Dial bounds the opening of a connection.
	Dial time.Duration
	// Unacknowledged bounds how long sent bytes may stay unacknowledged, which
	// keepalive does not cover.
	Unacknowledged time.Duration
	// KeepAlive is the time before and between keepalive probes on an idle
	// connection. After KeepAliveCount unacknowledged probes it is closed.
	KeepAlive      time.Duration
	KeepAliveCount int
}

// NewDialer returns a dialer that applies the limits to its connections.
func NewDialer(l Limits) *net.Dialer {
	return &net.Dialer{
		Timeout: l.Dial,
		Control: userTimeoutControl(l.Unacknowledged),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     l.KeepAlive,
			Interval: l.KeepAlive,
			Count:    l.KeepAliveCount,
		},
	}
}
