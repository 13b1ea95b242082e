package exchange

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/request/buffer"
)

const (
	// maxEventBytes bounds one event of a stream, in bytes.
	maxEventBytes = 1 << 20
	// lineBuffer is the size of the buffer for lines, in bytes. Events up to this size take no memory of Call.Memory.
	lineBuffer = 16 << 10
	// eventCost is the memory that a byte of a longer event takes: the line grows as it is read, and is copied to the event and into the answer
	// of the caller.
	eventCost = 4
	// lastChunkTimeout bounds the wait for the end of a chunked body after the end mark.
	lastChunkTimeout = 50 * time.Millisecond
	// maxErrorBytes bounds the part of an error answer's body that is kept, in bytes.
	maxErrorBytes = 64 << 10
)

// Event is one event of a streamed answer.
type Event struct {
	// Offset numbers the events of a stream from 0.
	Offset int
	Data   []byte
	// Finish is true when the event has a finish reason.
	Finish bool
}

// Stream reads the streamed answer of one attempt. It is not safe for concurrent use.
type Stream struct {
	answer  *Answer
	attempt camphorhinge.AttemptID
	lines   *bufio.Reader
	// memory is Call.Memory.
	memory *buffer.Lease
	next   int
	// finished is true after an event with a finish reason.
	finished bool
	ended    bool
	err      error
}

// Stream sends a request whose answer is an event stream. A status other than 200 is returned as an Error of KindStatus, or
// of KindRefused if the class is not-run; a 200 without an event stream is one of KindProtocol.
func (c *Client) Stream(ctx context.Context, call Call) (*Stream, error) {
	a, err := c.Open(ctx, call)
	if err != nil {
		return nil, err
	}
	if a.Status != http.StatusOK {
		defer a.Close()
		a.conn.progressBy = time.Now().Add(c.cfg.StallTimeout)
		body, err := io.ReadAll(io.LimitReader(a, maxErrorBytes))
		if err != nil {
			return nil, err
		}
		e := &Error{
			Op: "stream", Kind: KindStatus, Run: a.Class(), Status: a.Status,
			Body: body, Err: statusError(a.Status),
		}
		c.countFailure(e)
		return nil, e
	}
	if !strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream") {
		defer a.Close()
		return nil, a.recordFailure("stream", errNoStream)
	}
	// A target may send the header before it has computed the first event.
	a.conn.readTimeout = c.cfg.FirstByteTimeout
	a.ExpectEvent()
	if c.probePath() != "" {
		a.conn.probe = c.probeFunc(call.Target.Address)
	}
	return &Stream{
		answer: a, attempt: call.Attempt, lines: bufio.NewReaderSize(a, lineBuffer), next: call.Resume,
		finished: call.Finished, memory: call.Memory,
	}, nil
}

// Answer returns the answer that carries the stream.
func (s *Stream) Answer() *Answer { return s.answer }

// Next returns the next event, or io.EOF after the end mark. Any other error is an *Error and ends the stream. The event must not be used after
// the next call, as its memory is free then.
func (s *Stream) Next() (Event, error) {
	if s.ended {
		return Event{}, io.EOF
	}
	if s.err != nil {
		return Event{}, s.err
	}
	s.freeMemory()
	e, err := s.readEvent()
	switch {
	case err == nil:
		s.answer.conn.readTimeout = s.answer.client.cfg.StallTimeout
		s.answer.ExpectEvent()
		return e, nil
	case s.ended:
		return Event{}, io.EOF
	case s.answer.err != nil:
		s.err = s.answer.err
	default:
		s.err = s.answer.recordFailure("stream", err)
	}
	return Event{}, s.err
}

// readEvent reads lines up to the end of the next event that has data, and checks it. Comments and empty lines before it
// count towards its size.
func (s *Stream) readEvent() (Event, error) {
	var id string
	var data []byte
	size, seen := 0, false
	for {
		line, err := s.readLine(&size)
		if err != nil {
			return Event{}, err
		}
		if len(line) == 0 {
			if !seen {
				id = ""
				continue
			}
			return s.checkEvent(id, data)
		}
		field, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(field) {
		case "id":
			id = string(value)
		case "data":
			if seen {
				data = append(data, '\n')
			}
			data, seen = append(data, value...), true
		}
	}
}

// readLine reads one line and trims its end; size counts the bytes of the event so far.
func (s *Stream) readLine(size *int) ([]byte, error) {
	var long []byte
	for {
		part, err := s.lines.ReadSlice('\n')
		if *size += len(part); *size > maxEventBytes {
			return nil, errTooLong
		}
		if s.memory != nil && *size > lineBuffer {
			if err := s.memory.Grow(int64(*size) * eventCost); err != nil {
				return nil, err
			}
		}
		switch {
		case err == nil && long == nil:
			return bytes.TrimRight(part, "\r\n"), nil
		case err == nil:
			return bytes.TrimRight(append(long, part...), "\r\n"), nil
		case errors.Is(err, bufio.ErrBufferFull):
			long = append(long, part...)
		case errors.Is(err, io.EOF):
			return nil, errNoEndMark
		default:
			return nil, err
		}
	}
}

// checkEvent validates the id of a received event against the attempt and the expected offset. It returns io.EOF for the
// end mark.
func (s *Stream) checkEvent(id string, data []byte) (Event, error) {
	done := string(data) == "[DONE]"
	if id != "" || !done {
		slash := strings.LastIndexByte(id, '/')
		if slash < 0 || id[:slash] != string(s.attempt) {
			return Event{}, fmt.Errorf("%w: id %.80q", errAttempt, id)
		}
		n, err := strconv.Atoi(id[slash+1:])
		if err != nil || n != s.next {
			return Event{}, fmt.Errorf("%w: id %.80q, expected offset %d", errOffset, id, s.next)
		}
	}
	if done {
		if !s.finished {
			return Event{}, errNoFinish
		}
		s.ended = true
		return Event{}, io.EOF
	}
	s.next++
	finish := hasFinishReason(data)
	s.finished = s.finished || finish
	return Event{Offset: s.next - 1, Data: data, Finish: finish}, nil
}

// freeMemory gives back the memory of the last event.
func (s *Stream) freeMemory() {
	if s.memory != nil {
		s.memory.Free()
	}
}

// Close ends the exchange. The connection is reused only if the end mark was received and nothing but the last chunk
// follows it; otherwise it is closed.
func (s *Stream) Close() {
	s.freeMemory()
	if s.ended && !s.answer.closed && s.lines.Buffered() == 0 {
		var b [1]byte
		// The last chunk normally comes with the end mark. If it is delayed, the connection is closed.
		s.answer.conn.readTimeout = lastChunkTimeout
		_, _ = s.answer.Read(b[:])
	}
	s.answer.Close()
}

// hasFinishReason reports whether an event carries a finish reason.
func hasFinishReason(data []byte) bool {
	if !bytes.Contains(data, []byte("finish_reason")) {
		return false
	}
	var e struct {
		Choices []struct {
			Finish *string `json:"finish_reason"`
		} `json:"choices"`
	}
	if json.Unmarshal(data, &e) != nil {
		return false
	}
	for _, c := range e.Choices {
		if c.Finish != nil && *c.Finish != "" {
			return true
		}
	}
	return false
}

// Offset returns the offset of the event that the following call of Next returns.
func (s *Stream) Offset() int { return s.next }
