package dial_test

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"example.org/camphorhinge/internal/node/dial"
)

// Guards against connections that retransmit lost packets for many minutes.
func TestUserTimeoutIsSet(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	c, err := dial.New(time.Second, nil).DialContext(t.Context(), "tcp", l.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	raw, err := c.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) {
		ms, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		require.NoError(t, err)
		require.EqualValues(t, dial.UserTimeout.Milliseconds(), ms)
	}))
}
