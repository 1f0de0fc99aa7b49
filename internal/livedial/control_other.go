//go:build !linux

package livedial

import (
	"syscall"
	"time"
)

// userTimeoutControl returns nil: TCP_USER_TIMEOUT exists on Linux only.
func userTimeoutControl(time.Duration) func(network, address string, raw syscall.RawConn) error {
	return nil
}
