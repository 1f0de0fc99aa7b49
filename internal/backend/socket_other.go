//go:build !linux

package backend

import "syscall"

// setUserTimeout does nothing: the option exists on Linux only.
func setUserTimeout(_, _ string, _ syscall.RawConn) error { return nil }
