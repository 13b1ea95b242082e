package tunnel

import (
	"encoding/binary"
	"math"
)

const (
	// frameHeader is the size of the header of a frame, which is its length; a frame of length 0 marks the end.
	frameHeader = 4
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
