// Package livedial opens TCP connections on which a silent peer is found within
// a given time: a connection can lose its peer without a reset.
package livedial

import (
	"net"
	"time"
)

// Limits bound how long a connection may be silent.
type Limits struct {
	// Dial bounds the opening of a connection.
	Dial time.Duration
	// Unacknowledged bounds how long sent bytes may stay unacknowledged, which
	// keepalive does not cover.
	Unacknowledged time.Duration
	// KeepAlive is the pause before and between probes on an idle connection,
	// and KeepAliveCount the number of probes without an answer.
	KeepAlive      time.Duration
	KeepAliveCount int
}

// NewDialer returns a dialer whose connections keep the limits.
func NewDialer(l Limits) *net.Dialer {
	return &net.Dialer{
		Timeout: l.Dial,
		Control: controlUnacknowledged(l.Unacknowledged),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     l.KeepAlive,
			Interval: l.KeepAlive,
			Count:    l.KeepAliveCount,
		},
	}
}
