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

// readAnswer sends a byte from the server, closes that end and returns what the client received.
func readAnswer(t *testing.T, server, client net.Conn) string {
	t.Helper()
	_, err := server.Write([]byte("x"))
	require.NoError(t, err)
	require.NoError(t, server.Close())
	got, err := io.ReadAll(client)
	require.NoError(t, err)
	return string(got)
}

// TestDown guards against a Down that leaves connections open or closes them in order, and against an Up without
// effect: tests would then miss the faults that they mean to inject.
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

// TestSilenceConnections guards against silencing that affects new connections, or that lets a byte through on an open
// one.
func TestSilenceConnections(t *testing.T) {
	l := listen(t)
	silentServer, silentClient := pair(t, l)
	l.SilenceConnections()
	server, client := pair(t, l)
	require.Equal(t, "x", readAnswer(t, server, client))
	require.Empty(t, readAnswer(t, silentServer, silentClient))
	require.Len(t, l.conns, 0, "closed connections are removed")
}

// TestAnnouncer guards against announcements that an unreachable node keeps from the others, that are sent although
// next returns false, or that go to another path.
func TestAnnouncer(t *testing.T) {
	received := make(chan camphorhinge.Sequence)
	node := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		var a camphorhinge.Announcement
		if r.URL.Path == announcePath && r.Method == http.MethodPost && json.NewDecoder(r.Body).Decode(&a) == nil {
			received <- a.Seq
		}
	}))
	defer node.Close()
	closed := listen(t)
	require.NoError(t, closed.Close())

	a := NewAnnouncer([]string{"http://" + closed.Addr().String(), node.URL, node.URL + "/", node.URL + announcePath})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	wake := make(chan struct{})
	calls := camphorhinge.Sequence(0)
	var g errgroup.Group
	g.Go(func() error {
		return a.Run(ctx, wake, func() (camphorhinge.Announcement, bool) {
			calls++
			return camphorhinge.Announcement{Seq: calls}, calls%2 == 1
		})
	})
	var got []camphorhinge.Sequence
	for len(got) < 6 {
		select {
		case seq := <-received:
			got = append(got, seq)
		case wake <- struct{}{}:
		}
	}
	require.Equal(t, []camphorhinge.Sequence{1, 1, 1, 3, 3, 3}, got)
	cancel()
	require.NoError(t, g.Wait())
}
