package ingress

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"

	"example.org/camphorhinge/internal/request/buffer"
)

// guardedTransport is hertz's transport over the standard library that wraps each connection in a guardedConn.
type guardedTransport struct {
	network.Transporter
	limits Limits
	reply  Reply
	conns  *Conns
}

// Conns tracks the open connections of a server. It is safe for concurrent use.
type Conns struct {
	mu   sync.Mutex
	open map[*guardedConn]struct{}
	// headers is the memory of incomplete headers; nil means no bound of their sum.
	headers *buffer.Pool
}

// NewConns creates a Conns to be passed to Options.
func NewConns() *Conns { return &Conns{open: map[*guardedConn]struct{}{}} }

func (c *Conns) add(g *guardedConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[g] = struct{}{}
}

func (c *Conns) remove(g *guardedConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, g)
}

// CloseIdle ends the connections on which no byte of a request has arrived since the last answer, and returns their
// number. A stopping server calls it, since callers send requests on open connections.
func (c *Conns) CloseIdle() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for g := range c.open {
		if g.endIdle() {
			n++
		}
	}
	return n
}

// netConnKey is the context key of a connection's net.Conn.
type netConnKey struct{}

// Transporter returns a transport that bounds the memory of headers and trailers and the time of headers, and that answers requests that
// can't be parsed with reply. TrackPhase must be the first handler. Connections are tracked in conns, which may be nil.
func Transporter(l Limits, reply Reply, conns *Conns) func(*config.Options) network.Transporter {
	return newTransporter(l, reply, conns)
}

func newTransporter(l Limits, reply Reply, conns *Conns) func(*config.Options) network.Transporter {
	return func(o *config.Options) network.Transporter {
		accept := o.OnAccept
		o.OnAccept = func(conn net.Conn) context.Context {
			ctx := context.Background()
			if accept != nil {
				ctx = accept(conn)
			}
			return context.WithValue(ctx, netConnKey{}, conn)
		}
		return &guardedTransport{Transporter: standard.NewTransporter(o), limits: l, reply: reply, conns: conns}
	}
}

// ListenAndServe implements network.Transporter.
func (g *guardedTransport) ListenAndServe(serve network.OnData) error {
	return g.Transporter.ListenAndServe(func(ctx context.Context, conn any) error {
		c, ok := conn.(network.Conn)
		netConn, found := ctx.Value(netConnKey{}).(net.Conn)
		if ok && found {
			gc := &guardedConn{Conn: c, netConn: netConn, limits: g.limits, reply: g.reply, conns: g.conns}
			if g.conns != nil {
				g.conns.add(gc)
				defer g.conns.remove(gc)
			}
			defer gc.answerSent()
			defer gc.freeHeader()
			conn = gc
		}
		return serve(ctx, conn)
	})
}

// phase is the state of the current request of a connection.
type phase int

const (
	// reading lasts until a handler starts.
	reading phase = iota
	// serving lasts while a handler runs.
	serving
	// answering lasts from the end of the handler to the next read.
	answering
)

// guardedConn bounds the time in which a header is received. It also replaces hertz's plain-text answers to requests that
// can't be parsed, which carry no run class. These are recognized as answers that are written before a handler ran.
type guardedConn struct {
	network.Conn
	netConn net.Conn
	limits  Limits
	reply   Reply
	phase   phase
	// mu guards idle, which is true while the connection waits for the first byte of a request, and ending, which is set
	// once endIdle has ended this wait.
	mu           sync.Mutex
	idle, ending bool
	// idleSince is when idle was set.
	idleSince time.Time
	// headerStart is when the first byte of the current header was received, or zero.
	headerStart time.Time
	// conns are the connections of the server, or nil.
	conns *Conns
	// lease is the memory of the current header, or nil.
	lease *buffer.Lease
	// headerSince is when the first byte of an incomplete header was received, in nanoseconds, or 0, and headerHeld is its size if that
	// takes memory of the pool. Other goroutines read both.
	headerSince, headerHeld atomic.Int64
	// headerRefused is true when there was no memory for a header.
	headerRefused bool
	// headerTimedOut is true when a header was not received within Limits.HeaderTimeout.
	headerTimedOut bool
	// onSent is called when the current answer was sent, or nil.
	onSent func()
	// replied is true once replyFault has been called.
	replied bool
}

// errTrailer marks a trailer over the limit of headers.
var errTrailer = errors.New("the trailer exceeds the limit of headers")

// TrackPhase is a middleware that records on the connection when a handler starts and ends. It must come before all
// handlers.
func TrackPhase(ctx context.Context, c *app.RequestContext) {
	if g, ok := c.GetConn().(*guardedConn); ok {
		g.phase = serving
		g.headerSince.Store(0)
		defer func() { g.phase = answering }()
	}
	c.Next(ctx)
}

// endIdle ends the wait for the first byte of a request, and reports whether there was one. The goroutine that waits
// closes the connection itself: closed by another one, a request that it has just received would be lost.
func (g *guardedConn) endIdle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.idle || g.ending || g.hasUnread() {
		return false
	}
	g.ending = g.netConn.SetReadDeadline(time.Unix(1, 0)) == nil
	return g.ending
}

// EndOldestIdle ends the wait of the connection that has waited longest for the first byte of a request, and reports whether there was one.
func (c *Conns) EndOldestIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	var oldest *guardedConn
	var since time.Time
	for g := range c.open {
		if t, idle := g.waitsSince(); idle && (oldest == nil || t.Before(since)) {
			oldest, since = g, t
		}
	}
	return oldest != nil && oldest.endIdle()
}

// waitsSince returns since when the connection has waited for the first byte of a request, if it does.
func (g *guardedConn) waitsSince() (time.Time, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.idleSince, g.idle && !g.ending
}

// hasUnread reports whether bytes have arrived that were not read from the socket yet.
func (g *guardedConn) hasUnread() bool {
	sc, ok := g.netConn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	// Unlike Read, Control does not wait for the goroutine that reads from the connection.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return err == nil && unread
}

// peekFirst waits for the first byte of a request. It returns io.EOF when endIdle has ended the wait and nothing has
// arrived meanwhile.
func (g *guardedConn) peekFirst(n int) ([]byte, error) {
	for {
		g.mu.Lock()
		g.idle, g.idleSince = true, time.Now()
		g.mu.Unlock()
		b, err := g.Conn.Peek(n)
		g.mu.Lock()
		ended := g.ending
		g.idle, g.ending = false, false
		g.mu.Unlock()
		if !ended {
			return b, err
		}
		if err != nil && !g.hasUnread() {
			return nil, io.EOF
		}
		if derr := g.netConn.SetReadDeadline(time.Time{}); derr != nil {
			return nil, derr
		}
		if err == nil {
			return b, nil
		}
	}
}

// answerSent calls onSent once.
func (g *guardedConn) answerSent() {
	if f := g.onSent; f != nil {
		g.onSent = nil
		f()
	}
}

// Peek implements network.Reader; hertz reads headers through it.
func (g *guardedConn) Peek(n int) ([]byte, error) {
	// Hertz bounds headers itself, but not trailers, which it also reads after the handler to find the next request. It panics if a Peek of
	// bytes that it has fails.
	if n > g.limits.MaxHeaderBytes+bodyPart && n > g.Len() {
		return nil, errTrailer
	}
	if g.phase == answering {
		g.answerSent()
		g.freeHeader()
		g.phase, g.headerStart = reading, time.Time{}
	}
	if g.phase != reading {
		return g.Conn.Peek(n)
	}
	if err := g.holdHeader(n); err != nil {
		return nil, err
	}
	// Hertz panics if a Peek of received bytes fails, as it would here after endSlowHeader has closed the connection or at the end of the time.
	if !g.headerStart.IsZero() && n <= g.Len() {
		return g.Conn.Peek(n)
	}
	if !g.headerStart.IsZero() {
		remaining := g.limits.HeaderTimeout - time.Since(g.headerStart)
		if remaining <= 0 {
			g.headerTimedOut = true
			return nil, os.ErrDeadlineExceeded
		}
		if err := g.SetReadTimeout(remaining); err != nil {
			return nil, err
		}
	}
	if g.headerStart.IsZero() {
		b, err := g.peekFirst(n)
		if err == nil {
			g.headerStart = time.Now()
			g.headerSince.Store(g.headerStart.UnixNano())
		}
		return b, err
	}
	b, err := g.Conn.Peek(n)
	if err != nil {
		g.headerTimedOut = time.Since(g.headerStart) >= g.limits.HeaderTimeout
	}
	return b, err
}

// WriteBinary implements network.Writer.
func (g *guardedConn) WriteBinary(b []byte) (int, error) {
	if g.phase != reading || bytes.HasPrefix(b, []byte("HTTP/1.1 100")) {
		// The timeout is needed here too, since a long buffer is written immediately instead of by Flush.
		if err := g.SetWriteTimeout(g.limits.WriteTimeout); err != nil {
			return 0, err
		}
		return g.Conn.WriteBinary(b)
	}
	return len(b), g.replyFault(b)
}

// Malloc implements network.Writer.
func (g *guardedConn) Malloc(n int) ([]byte, error) {
	if g.phase != reading {
		return g.Conn.Malloc(n)
	}
	return make([]byte, n), g.replyFault(nil)
}

// Flush implements network.Writer; it fails when the caller does not accept the data within Limits.WriteTimeout.
func (g *guardedConn) Flush() error {
	if err := g.SetWriteTimeout(g.limits.WriteTimeout); err != nil {
		return err
	}
	return g.Conn.Flush()
}

// CancelOnDisconnect calls cancel when the caller of a request closes its connection; hertz itself detects this only
// without streamed bodies. It must be called after the request's body was read. The returned function ends the detection
// and must be called before the handler returns.
func CancelOnDisconnect(c *app.RequestContext, group *errgroup.Group, cancel context.CancelFunc) (stop func()) {
	if g, ok := c.GetConn().(*guardedConn); ok {
		return g.cancelOnDisconnect(group, cancel)
	}
	return func() {}
}

func (g *guardedConn) cancelOnDisconnect(group *errgroup.Group, cancel context.CancelFunc) (stop func()) {
	sc, ok := g.netConn.(syscall.Conn)
	if !ok {
		return func() {}
	}
	raw, err := sc.SyscallConn()
	if err != nil || g.netConn.SetReadDeadline(time.Time{}) != nil {
		return func() {}
	}
	done := make(chan struct{})
	group.Go(func() error {
		defer close(done)
		disconnected := false
		err := raw.Read(func(fd uintptr) bool {
			var b [1]byte
			n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
			// A pipelined request hides a later close, which is then found when the answer is written.
			disconnected = n == 0 && err == nil || err != nil && !errors.Is(err, unix.EAGAIN)
			return !errors.Is(err, unix.EAGAIN)
		})
		if err == nil && disconnected {
			cancel()
		}
		return nil
	})
	return func() {
		// A deadline in the past ends the read. The calls fail only on a closed connection, where the read has ended too.
		_ = g.netConn.SetReadDeadline(time.Unix(1, 0))
		<-done
		_ = g.netConn.SetReadDeadline(time.Time{})
	}
}

// replyFault answers a request that could not be parsed, once per connection; original is the answer of hertz that it
// replaces. Hertz closes the connection afterwards.
func (g *guardedConn) replyFault(original []byte) error {
	if g.replied {
		return nil
	}
	g.replied = true
	fault := FaultMalformed
	switch {
	case g.headerRefused:
		fault = FaultMemory
	case g.headerTimedOut:
		fault = FaultSlow
	case bytes.HasPrefix(original, []byte("HTTP/1.1 431")):
		fault = FaultHeader
	case bytes.HasPrefix(original, []byte("HTTP/1.1 413")):
		fault = FaultBody
	}
	status, header, body := g.reply(fault)
	var head bytes.Buffer
	head.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\nConnection: close\r\n")
	_ = header.Write(&head) // Writes to a buffer don't fail.
	head.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n")
	_, err := g.Conn.WriteBinary(append(head.Bytes(), body...))
	return err
}

// HandleSpecificError implements network.HandleSpecificError.
func (g *guardedConn) HandleSpecificError(err error, rip string) bool {
	h, ok := g.Conn.(network.HandleSpecificError)
	return ok && h.HandleSpecificError(err, rip)
}
