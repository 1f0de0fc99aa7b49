package livedial

import (
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// userTimeoutControl returns a function that sets TCP_USER_TIMEOUT on a socket.
func userTimeoutControl(limit time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var optErr error
		err := raw.Control(func(fd uintptr) {
			optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
		})
		return errors.Join(err, optErr)
	}
}
