//go:build !linux

package livedial

import (
	"syscall"
	"time"
)

// controlUnacknowledged does nothing: the option exists on Linux only.
func controlUnacknowledged(time.Duration) func(network, address string, raw syscall.RawConn) error {
	return nil
}
