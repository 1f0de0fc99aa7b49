package backend

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// setUserTimeout makes the kernel give up a connection whose sent bytes are
// not acknowledged within SilenceTimeout; keepalive covers only idle ones.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(SilenceTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
