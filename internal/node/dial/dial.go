package dial

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout is how long sent bytes may stay without an acknowledgement of the other end's TCP before the connection
// fails. When something between the ends has lost track of the connection, its packets vanish; without this bound the
// system would send them again for many minutes. A peer that is only slow acknowledges.
const UserTimeout = 3 * time.Second

// New returns a Dialer that bounds the connecting by timeout and sets UserTimeout. Source is the local address of new
// connections; nil leaves the choice to the system.
func New(timeout time.Duration, source net.Addr) *net.Dialer {
	return &net.Dialer{Timeout: timeout, LocalAddr: source, Control: userTimeout(UserTimeout)}
}

// probes is the number of keep-alive probes without an answer after which a connection fails.
const probes = 2

// NewProbing returns a Dialer whose connections fail after silent without a sign of their other end, also while nothing is
// sent: an answer that is waited for may never come on a connection that something between the ends has lost track of.
func NewProbing(timeout, silent time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout, Control: userTimeout(silent),
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: max(silent, time.Second), Interval: time.Second, Count: probes},
	}
}

func userTimeout(limit time.Duration) func(string, string, syscall.RawConn) error {
	return func(_, _ string, conn syscall.RawConn) error {
		var set error
		err := conn.Control(func(fd uintptr) {
			set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return set
	}
}
