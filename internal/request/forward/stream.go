package forward

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/request/buffer"
	"example.org/camphorhinge/internal/request/exchange"
	"example.org/camphorhinge/internal/request/place"
)

// maxEventSize bounds an event of a stream, in bytes.
const maxEventSize = 1 << 20

// streamAnswer forwards the events of an answer as they arrive. The header is sent with the first event, so that an
// attempt that breaks off earlier can still be retried or answered with an error.
func (j *job) streamAnswer(answer *exchange.Answer, inFlight *place.InFlight) *exchange.Error {
	events := bufio.NewReaderSize(answer, 4<<10)
	event := j.answerBuffer(j.plan.Serve)
	defer event.Free()
	j.unframed = j.unframed || !answer.Framed()
	for received := 0; ; received++ {
		answer.ExpectEvent()
		id, err := nextEvent(events, event)
		atEOF := errors.Is(err, io.EOF)
		if atEOF && endsEarly(event.Bytes(), received, answer.Framed()) {
			return asExchangeError(answer.BrokenOff(errIncompleteStream))
		}
		if err != nil && !atEOF {
			return asExchangeError(err)
		}
		if len(event.Bytes()) > 0 || atEOF {
			inFlight.RecordFirstEvent(j.f.cfg.Clock.Now())
			if werr := j.sendEvent(answer, event.Bytes()); werr != nil {
				return &exchange.Error{Op: "write", Kind: exchange.KindCallerLeft, Run: camphorhinge.Run, Err: werr}
			}
		}
		if atEOF {
			return nil
		}
		j.events++
		if id != "" {
			j.lastEventID = id
		}
	}
}

// sendEvent sends the answer's header, unless it was already sent, and one event.
func (j *job) sendEvent(answer *exchange.Answer, event []byte) error {
	if !j.leave.answers() {
		return errLeavesBefore
	}
	if !j.headerSent {
		header := forwardableHeader(answer.Header)
		j.f.cfg.Protocol.StripInternal(header)
		j.status = http.StatusOK
		j.firstEventAt = j.f.cfg.Clock.Now()
		j.recordRun(j.firstEventAt)
		j.pinOrigin()
		j.out.StartStream(http.StatusOK, header)
		j.headerSent = true
	}
	if len(event) == 0 {
		return nil
	}
	_, err := j.out.Write(event)
	return err
}

// errEventTooLarge marks an event that exceeds maxEventSize.
var errEventTooLarge = errors.New("an event exceeds the size limit")

// errIncompleteStream marks a stream that ended inside an event, or without any event and framing.
var errIncompleteStream = errors.New("the stream ended inside or before an event")

// isEventStream reports whether an answer states that its body is an event stream.
func isEventStream(answer *exchange.Answer) bool {
	return strings.HasPrefix(answer.Header.Get("Content-Type"), "text/event-stream")
}

// endsEarly reports whether a stream of the given number of events, with rest after the last one, was broken off.
func endsEarly(rest []byte, events int, framed bool) bool {
	// Without framing, the end of the connection is the only sign of the end, and a crash before the first event looks the
	// same.
	return insideEvent(rest) || events == 0 && !framed
}

// isWholeStream reports whether body is a stream that was not broken off; event is an empty buffer, which it frees.
func isWholeStream(body []byte, framed bool, event *buffer.Buffer) bool {
	defer event.Free()
	events := bufio.NewReader(bytes.NewReader(body))
	for received := 0; ; received++ {
		if _, err := nextEvent(events, event); err != nil {
			return errors.Is(err, io.EOF) && !endsEarly(event.Bytes(), received, framed)
		}
	}
}

// insideEvent reports whether the bytes after the last event of a stream contain more than whole comments and empty lines.
func insideEvent(rest []byte) bool {
	for line := range bytes.Lines(rest) {
		if !bytes.HasSuffix(line, []byte("\n")) {
			return true
		}
		if text := bytes.TrimRight(line, "\r\n"); len(text) > 0 && text[0] != ':' {
			return true
		}
	}
	return false
}

// nextEvent replaces the content of to by the bytes of the next event, including comments and empty lines before it and the empty line
// that ends it, and returns its id. At the end of the stream it returns io.EOF with the remaining bytes in to. After any other error
// the event is not complete.
func nextEvent(r *bufio.Reader, to *buffer.Buffer) (id string, err error) {
	to.Reset()
	hasField := false
	for {
		line, err := r.ReadSlice('\n')
		if ferr := to.Append(line); ferr != nil {
			return "", ferr
		}
		event := to.Bytes()
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			if len(event) > maxEventSize {
				return "", errEventTooLarge
			}
			continue
		case err != nil:
			return "", err
		case len(event) > maxEventSize:
			return "", errEventTooLarge
		}
		start := bytes.LastIndexByte(event[:len(event)-1], '\n') + 1
		text := bytes.TrimRight(event[start:], "\r\n")
		switch {
		case len(text) == 0 && hasField:
			return id, nil
		case len(text) == 0 || text[0] == ':':
			continue
		}
		hasField = true
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
	}
}
