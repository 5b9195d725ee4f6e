package setup

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// TCPUserTimeout returns a control function for dialers that sets TCP_USER_TIMEOUT
// (RFC 5482): the kernel closes a connection if sent data stays unacknowledged for that
// long.
func TCPUserTimeout(d time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var err error
		if e := c.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		}); e != nil {
			return e
		}
		return err
	}
}
