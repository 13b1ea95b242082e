package wire

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge"
)

// pair returns both ends of a new connection to l.
func pair(t *testing.T, l *Listener) (server, client net.Conn) {
	t.Helper()
	var g errgroup.Group
	g.Go(func() error {
		var err error
		server, err = l.Accept()
		return err
	})
	client, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	require.NoError(t, g.Wait())
	t.Cleanup(func() {
		server.Close()
		client.Close()
	})
	return server, client
}

func listen(t *testing.T) *Listener {
	t.Helper()
	l, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	return l
}

// readAnswer sends a byte from the server's end, closes that and returns what the client got.
func readAnswer(t *testing.T, server, client net.Conn) string {
	t.Helper()
	_, err := server.Write([]byte("x"))
	require.NoError(t, err)
	require.NoError(t, server.Close())
	got, err := io.ReadAll(client)
	require.NoError(t, err)
	return string(got)
}

// Guards against faults that tests rely on and that don't happen, or outlast their end.
func TestDown(t *testing.T) {
	l := listen(t)
	_, open := pair(t, l)
	l.Down()
	_, err := open.Read(make([]byte, 1))
	require.ErrorIs(t, err, syscall.ECONNRESET, "an open connection is reset, not closed in order")

	var g errgroup.Group
	var later net.Conn
	g.Go(func() error {
		var err error
		later, err = l.Accept()
		return err
	})
	// The reset of a new connection may come before or after the end of the dial.
	during, err := net.Dial("tcp", l.Addr().String())
	if err == nil {
		defer during.Close()
		_, err = during.Read(make([]byte, 1))
	}
	require.ErrorIs(t, err, syscall.ECONNRESET, "a new connection while down")
	l.Up()
	client, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer client.Close()
	require.NoError(t, g.Wait())
	require.Equal(t, "x", readAnswer(t, later, client))
}

// Guards against a mute that reaches new connections, or lets a byte through on an open one.
func TestSilenceConnections(t *testing.T) {
	l := listen(t)
	mutedServer, muted := pair(t, l)
	l.SilenceConnections()
	server, client := pair(t, l)
	require.Equal(t, "x", readAnswer(t, server, client))
	require.Empty(t, readAnswer(t, mutedServer, muted))
	require.Len(t, l.conns, 0, "closed connections are forgotten")
}

// Guards against announcements that one node which is gone keeps from the others, that are sent when the target is
// silent, or that go to another path.
func TestAnnouncer(t *testing.T) {
	heard := make(chan camphorhinge.Sequence)
	node := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		var a camphorhinge.Announcement
		if r.URL.Path == announcePath && r.Method == http.MethodPost && json.NewDecoder(r.Body).Decode(&a) == nil {
			heard <- a.Seq
		}
	}))
	defer node.Close()
	gone := listen(t)
	require.NoError(t, gone.Close())

	a := NewAnnouncer([]string{"http://" + gone.Addr().String(), node.URL, node.URL + "/", node.URL + announcePath})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	wake := make(chan struct{})
	turn := camphorhinge.Sequence(0)
	var g errgroup.Group
	g.Go(func() error {
		return a.Run(ctx, wake, func() (camphorhinge.Announcement, bool) {
			turn++
			return camphorhinge.Announcement{Seq: turn}, turn%2 == 1 // Each second turn is skipped.
		})
	})
	var got []camphorhinge.Sequence
	for len(got) < 6 {
		select {
		case seq := <-heard:
			got = append(got, seq)
		case wake <- struct{}{}:
		}
	}
	require.Equal(t, []camphorhinge.Sequence{1, 1, 1, 3, 3, 3}, got)
	cancel()
	require.NoError(t, g.Wait())
}
