package dial_test

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"example.org/camphorhinge/internal/node/dial"
)

// Guards against a request that waits indefinitely for the response on a connection that died after the request was
// acknowledged: nothing more is sent, so only keep-alive probes detect the failure. Accepted connections that wait for the end
// of another one are guarded alike.
func TestProbing(t *testing.T) {
	const silent = 1500 * time.Millisecond
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	dialed, err := dial.NewProbing(time.Second, silent).DialContext(t.Context(), "tcp", l.Addr().String())
	require.NoError(t, err)
	defer dialed.Close()
	accepted, err := l.Accept()
	require.NoError(t, err)
	defer accepted.Close()
	require.NoError(t, dial.SetProbing(accepted.(*net.TCPConn), silent))
	for _, tc := range []struct {
		name string
		conn net.Conn
	}{
		{"dialed", dialed},
		{"accepted", accepted},
	} {
		t.Run(tc.name, func(t *testing.T) {
			raw, err := tc.conn.(*net.TCPConn).SyscallConn()
			require.NoError(t, err)
			require.NoError(t, raw.Control(func(fd uintptr) {
				option := func(level, name int) int {
					v, err := unix.GetsockoptInt(int(fd), level, name)
					require.NoError(t, err)
					return v
				}
				require.EqualValues(t, silent.Milliseconds(), option(unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT))
				require.Equal(t, 1, option(unix.SOL_SOCKET, unix.SO_KEEPALIVE))
				require.LessOrEqual(t, option(unix.IPPROTO_TCP, unix.TCP_KEEPIDLE), 2)
				require.LessOrEqual(t, option(unix.IPPROTO_TCP, unix.TCP_KEEPCNT), 2)
			}))
		})
	}
}
