package dial

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout is how long sent data may stay unacknowledged by the peer's TCP before the connection fails. If a device
// on the network path has lost the state of the connection, its packets are dropped; without this limit the system
// would retransmit them for many minutes. A peer that is merely slow still acknowledges.
const UserTimeout = 3 * time.Second

// New returns a Dialer with the given connect timeout, whose connections have UserTimeout set. Source is their local
// address; with nil the system chooses it.
func New(timeout time.Duration, source net.Addr) *net.Dialer {
	return &net.Dialer{Timeout: timeout, LocalAddr: source, Control: userTimeout(UserTimeout)}
}

// probes is the number of unanswered keep-alive probes after which a connection fails.
const probes = 2

// NewProbing returns a Dialer with the given connect timeout, whose connections fail if sent data or keep-alive probes
// stay unacknowledged for about silent. The probes detect a dead connection even while nothing is sent, as when a
// response is awaited that can never arrive.
func NewProbing(timeout, silent time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, Control: userTimeout(silent), KeepAliveConfig: keepAlive(silent)}
}

func keepAlive(silent time.Duration) net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: max(silent, time.Second), Interval: time.Second, Count: probes}
}

// SetProbing makes an accepted connection fail like those of NewProbing.
func SetProbing(conn *net.TCPConn, silent time.Duration) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	if err := userTimeout(silent)("", "", raw); err != nil {
		return err
	}
	return conn.SetKeepAliveConfig(keepAlive(silent))
}

func userTimeout(limit time.Duration) func(string, string, syscall.RawConn) error {
	return func(_, _ string, conn syscall.RawConn) error {
		var optErr error
		err := conn.Control(func(fd uintptr) {
			optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return optErr
	}
}
