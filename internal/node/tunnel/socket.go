package tunnel

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// unacknowledged returns the number of bytes that were sent on a connection and that the other machine has not acknowledged, or 0 if that
// is not known.
func unacknowledged(c net.Conn) int { return queued(c, unix.SIOCOUTQ) }

// unread returns the number of bytes that were received on a connection and not read, or 0 if that is not known.
func unread(c net.Conn) int { return queued(c, unix.SIOCINQ) }

func queued(c net.Conn, request uint) int {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	if cerr := raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), request) }); cerr != nil || err != nil {
		return 0
	}
	return n
}
