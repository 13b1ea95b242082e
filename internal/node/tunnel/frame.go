package tunnel

import (
	"encoding/binary"
	"math"
)

const (
	// frameHeader is the size of the header of a frame, which is its length; a frame of length 0 marks the end.
	frameHeader = 4
	// sentCountSize is the size of the number that follows the end mark: how many bytes of the node the target has received. Relays of
	// earlier versions close the connection without it.
	sentCountSize = 8
	// bufferSize is the size of the buffer for each direction of a connection, in bytes. A frame is at most that long.
	bufferSize = 16 << 10
	// retireMark stands in place of a length. It may come between two frames and means that the connection must not be used for
	// a further request.
	retireMark = math.MaxUint32
)

// frameLength returns the length in a header of a frame, or the retireMark; another one above bufferSize is that of no frame.
func frameLength(header []byte) int { return int(binary.BigEndian.Uint32(header)) }

// putFrameLength writes the header of a frame.
func putFrameLength(header []byte, n int) { binary.BigEndian.PutUint32(header, uint32(n)) }

// putEnd writes the end mark with the number of bytes that the target has received, and returns it.
func putEnd(buffer []byte, sent uint64) []byte {
	putFrameLength(buffer, 0)
	binary.BigEndian.PutUint64(buffer[frameHeader:], sent)
	return buffer[:frameHeader+sentCountSize]
}
