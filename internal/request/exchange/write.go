package exchange

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"strings"

	"golang.org/x/net/http/httpguts"
)

var (
	errTarget = errors.New("the request target does not begin with a slash, or has spaces or control bytes")
	errMethod = errors.New("the method is no token")
	errHost   = errors.New("the Host header is not valid")
	// errBodyLength marks a body that is longer than its length.
	errBodyLength = errors.New("the body is longer than its length")
)

// checkCall returns an error if the request line or the Host header can't be written as they are.
func checkCall(call *Call) error {
	switch {
	case !strings.HasPrefix(call.Path, "/") || strings.ContainsFunc(call.Path, func(r rune) bool { return r <= ' ' || r == 0x7f }):
		return fmt.Errorf("%w: %.80q", errTarget, call.Path)
	case !httpguts.ValidHeaderFieldName(call.Method):
		return fmt.Errorf("%w: %.80q", errMethod, call.Method)
	case !httpguts.ValidHostHeader(call.Host):
		return fmt.Errorf("%w: %.80q", errHost, call.Host)
	}
	return nil
}

// writeRequest writes a request; body is nil if there is none. Unlike net/http, it writes each request target verbatim, also one that begins
// with two slashes.
func writeRequest(w io.Writer, call *Call, h http.Header, host string, body *callerBody) error {
	out := bufio.NewWriterSize(w, 4<<10)
	fmt.Fprintf(out, "%s %s HTTP/1.1\r\nHost: %s\r\n", call.Method, call.Path, host)
	framing := map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Trailer": true}
	if err := h.WriteSubset(out, framing); err != nil {
		return err
	}
	switch {
	case body != nil && call.Length < 0:
		fmt.Fprint(out, "Transfer-Encoding: chunked\r\n\r\n")
		chunks := httputil.NewChunkedWriter(out)
		_, err := io.Copy(chunks, body)
		if err = errors.Join(err, chunks.Close()); err != nil {
			return err
		}
		fmt.Fprint(out, "\r\n") // There are no trailers.
	case body != nil:
		fmt.Fprintf(out, "Content-Length: %d\r\n\r\n", call.Length)
		if err := writeExactly(out, body, call.Length); err != nil {
			return err
		}
	case call.Method == http.MethodPost || call.Method == http.MethodPut || call.Method == http.MethodPatch:
		fmt.Fprint(out, "Content-Length: 0\r\n\r\n")
	default:
		fmt.Fprint(out, "\r\n")
	}
	return out.Flush()
}

// writeExactly copies a body of the given size; a shorter or longer one is an error.
func writeExactly(w io.Writer, body io.Reader, size int64) error {
	if _, err := io.CopyN(w, body, size); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return err
	}
	var extra [1]byte
	if n, err := io.ReadFull(body, extra[:]); n > 0 || !errors.Is(err, io.EOF) {
		return errors.Join(errBodyLength, err)
	}
	return nil
}
