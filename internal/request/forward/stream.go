package forward

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/request/exchange"
	"example.org/camphorhinge/internal/request/place"
)

// eventLimit bounds one event of a stream, in bytes.
const eventLimit = 1 << 20

// stream passes the events of an answer on as they come. The header is sent with the first event, so that an attempt which
// breaks off before it leaves nothing behind.
func (j *job) stream(answer *exchange.Answer, flight *place.InFlight) *exchange.Error {
	events := bufio.NewReaderSize(answer, 4<<10)
	for {
		event, id, err := nextEvent(events)
		whole := errors.Is(err, io.EOF)
		if err != nil && !whole {
			return asExchange(err)
		}
		if len(event) > 0 || whole {
			flight.RecordFirstEvent(j.f.cfg.Clock.Now())
			if werr := j.send(answer, event); werr != nil {
				return &exchange.Error{Op: "write", Kind: exchange.KindLeft, Run: camphorhinge.Run, Err: werr}
			}
		}
		if whole {
			return nil
		}
		if id != "" {
			j.after = id
		}
	}
}

// send sends the answer's header, unless that was done, and one event.
func (j *job) send(answer *exchange.Answer, event []byte) error {
	if !j.headed {
		header := passOn(answer.Header)
		j.f.cfg.Protocol.Answer(header)
		j.status = http.StatusOK
		j.first = j.f.cfg.Clock.Now()
		j.out.Head(http.StatusOK, header)
		j.headed = true
	}
	if len(event) == 0 {
		return nil
	}
	_, err := j.out.Write(event)
	return err
}

// errLongEvent marks an event over the limit.
var errLongEvent = errors.New("an event exceeds the size limit")

// nextEvent returns the bytes of the next event with the empty line that ends it, and its id. At the end of the stream it
// returns what is left with io.EOF. An event that was cut off is not returned.
func nextEvent(r *bufio.Reader) (event []byte, id string, err error) {
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			if len(event) > eventLimit {
				return nil, "", errLongEvent
			}
			continue
		case errors.Is(err, io.EOF):
			return event, "", io.EOF
		case err != nil:
			return nil, "", err
		case len(event) > eventLimit:
			return nil, "", errLongEvent
		}
		start := bytes.LastIndexByte(event[:len(event)-1], '\n') + 1
		text := bytes.TrimRight(event[start:], "\r\n")
		if len(text) == 0 {
			return event, id, nil
		}
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
	}
}
