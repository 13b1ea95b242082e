package tunnel

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"
)

// clientBufferSize is the size of the buffer of a connection through a relay, in bytes.
const clientBufferSize = 4 << 10

// headerKind names the Kind in a relay's answer without a connection.
const headerKind = "Camphorhinge-Tunnel"

// Client opens connections through relays.
type Client struct {
	// Dialer connects to the relays.
	Dialer NetDialer
}

var (
	errAnswer   = errors.New("the relay's answer is not usable")
	errBuffered = errors.New("bytes were received that are not read yet")
	errRetired  = errors.New("the target wants no further request on the connection")
)

// DialVia implements Via by the method CONNECT of HTTP/1.1.
func (c *Client) DialVia(ctx context.Context, relay, address string) (net.Conn, error) {
	fail := func(kind Kind, err error) error { return &Error{Op: "connect through " + relay, Kind: kind, Err: err} }
	conn, err := c.Dialer.DialContext(ctx, "tcp", relay)
	if err != nil {
		return nil, fail(KindRelay, err)
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	br := bufio.NewReaderSize(conn, clientBufferSize)
	resp, err := connect(conn, br, address) //nolint:bodyclose // connect closes it.
	if err == nil && resp.StatusCode == http.StatusOK {
		if !stop() {
			return nil, fail(KindRelay, ctx.Err())
		}
		return newClientConn(conn, br), nil
	}
	stop()
	conn.Close()
	if err != nil {
		return nil, fail(KindRelay, err)
	}
	switch kind := Kind(resp.Header.Get(headerKind)); kind {
	case KindBusy, KindUnknown, KindUnwanted, KindRefused, KindSilent:
		return nil, fail(kind, errors.New("the relay answered with status "+resp.Status))
	default:
		return nil, fail(KindRelay, errAnswer)
	}
}

func connect(conn net.Conn, br *bufio.Reader, address string) (*http.Response, error) {
	if _, err := io.WriteString(conn, "CONNECT "+address+" HTTP/1.1\r\nHost: "+address+"\r\n\r\n"); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(br, &http.Request{Method: http.MethodConnect})
	if err != nil {
		return nil, err
	}
	return resp, resp.Body.Close()
}

// clientConn is a connection through a relay. What it reads is framed, so that the end of the target's connection can be told
// from the loss of the relay; what it writes is not.
type clientConn struct {
	net.Conn
	br *bufio.Reader
	// left is the rest of the current frame in bytes.
	left int
	// ended is set after the frame that marks the end, retired after the retireMark.
	ended, retired bool
	// end is the result of reads after the end.
	end error
	// writing holds a value during a Write. The fields below it belong to who holds it.
	writing chan struct{}
	// written is the number of bytes that the relay's machine was sent, as far as Write has returned.
	written    uint64
	writeError bool
}

// writeGrace is the wait for a Write in progress at the end of the target's connection. The relay closes its connection then, so that
// the Write fails, unless it has just sent its last bytes.
const writeGrace = time.Second

// tcpClientConn is a clientConn whose socket can be examined.
type tcpClientConn struct {
	*clientConn
	tcp *net.TCPConn
}

// SyscallConn implements syscall.Conn. It fails when bytes have been received that were not read yet, which the socket does
// not show, and when the connection must not be used for a further request.
func (c *tcpClientConn) SyscallConn() (syscall.RawConn, error) {
	if c.retired {
		return nil, &Error{Op: "examine", Kind: KindUnwanted, Err: errRetired}
	}
	if c.ended || c.left > 0 || c.br.Buffered() > 0 {
		return nil, &Error{Op: "examine", Kind: KindRelay, Err: errBuffered}
	}
	return c.tcp.SyscallConn()
}

// Undelivered implements exchange.Undelivered.
func (c *tcpClientConn) Undelivered() int { return unacknowledged(c.tcp) }

func newClientConn(conn net.Conn, br *bufio.Reader) net.Conn {
	c := &clientConn{Conn: conn, br: br, writing: make(chan struct{}, 1)}
	if tcp, ok := conn.(*net.TCPConn); ok {
		return &tcpClientConn{c, tcp}
	}
	return c
}

// Write implements net.Conn.
func (c *clientConn) Write(p []byte) (int, error) {
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	n, err := c.Conn.Write(p)
	c.written += uint64(n)
	c.writeError = c.writeError || err != nil
	return n, err
}

// endResult returns io.EOF if the target has received all that was written, or io.ErrUnexpectedEOF. Bytes that arrived at the relay
// after the target had closed its connection are acknowledged by the relay's machine all the same.
func (c *clientConn) endResult() error {
	count, err := c.br.Peek(sentCountSize)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return err
	case errors.Is(err, io.EOF) && len(count) == 0:
		return io.EOF // The relay is of an earlier version.
	case err != nil:
		return io.ErrUnexpectedEOF
	}
	timer := time.NewTimer(writeGrace)
	defer timer.Stop()
	select {
	case c.writing <- struct{}{}:
		defer func() { <-c.writing }()
	case <-timer.C:
		return io.ErrUnexpectedEOF
	}
	if c.writeError || c.written != binary.BigEndian.Uint64(count) {
		return io.ErrUnexpectedEOF
	}
	return io.EOF
}

// readEnd returns the result of reads after the end mark. After a time-out the next call reads the number again.
func (c *clientConn) readEnd() error {
	if c.end == nil {
		err := c.endResult()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		c.end = err
	}
	return c.end
}

// Read implements net.Conn. It returns io.EOF only when the target has closed its connection after it had received all that was written.
func (c *clientConn) Read(p []byte) (int, error) {
	if c.ended {
		return 0, c.readEnd()
	}
	for c.left == 0 {
		// A time-out between the bytes of a header loses none of them.
		header, err := c.br.Peek(frameHeader)
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return 0, err
		}
		length := frameLength(header)
		if length > bufferSize && length != retireMark {
			return 0, &Error{Op: "read", Kind: KindRelay, Err: errAnswer}
		}
		if _, err := c.br.Discard(frameHeader); err != nil {
			return 0, err
		}
		switch length {
		case retireMark:
			c.retired = true
		case 0:
			c.ended = true
			return 0, c.readEnd()
		default:
			c.left = length
		}
	}
	n, err := c.br.Read(p[:min(len(p), c.left)])
	c.left -= n
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}
