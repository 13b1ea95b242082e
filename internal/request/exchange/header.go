package exchange

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// maxInformational bounds the informational answers (1xx) before an answer, which are skipped.
const maxInformational = 4

// readHeader reads the head of the answer to a request with the given method.
func readHeader(br *bufio.Reader, method string) (*http.Response, error) {
	for range maxInformational + 1 {
		if err := checkStatusLine(br); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(br, &http.Request{Method: method})
		switch {
		case err != nil:
			return nil, err
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, errSwitched
		case resp.StatusCode >= http.StatusOK:
			return resp, nil
		}
	}
	return nil, errInformational
}

// checkStatusLine checks the begin of a status line, up to the byte behind the status, as it arrives. It reads nothing. ReadResponse takes
// any three characters that make a number for a status, and waits for the end of the head first.
func checkStatusLine(br *bufio.Reader) error {
	// Digits stand for themselves, 'd' for any digit, 's' for the first digit of a status, and 'e' for a space or the end of the line.
	const form = "HTTP/1.d sdde"
	for i := range len(form) {
		head, err := br.Peek(i + 1)
		if err != nil {
			if i > 0 && errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return err
		}
		c, ok := head[i], false
		switch form[i] {
		case 'd':
			ok = c >= '0' && c <= '9'
		case 's':
			ok = c >= '1' && c <= '5'
		case 'e':
			ok = c == ' ' || c == '\r' || c == '\n'
		default:
			ok = c == form[i]
		}
		if !ok {
			return fmt.Errorf("%w: %q", errStatusLine, head)
		}
	}
	return nil
}
