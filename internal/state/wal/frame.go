package wal

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"example.org/camphorhinge"
)

// frameKind is the first byte of a payload; the values are part of the file format.
type frameKind byte

const (
	frameSegmentHeader frameKind = 1
	frameEntry         frameKind = 2
	frameState         frameKind = 3
	// frameReset drops all entries before it; the next entry follows the snapshot whose index and term it contains.
	frameReset    frameKind = 4
	frameSnapshot frameKind = 5
	frameIdentity frameKind = 6
)

// formatVersion is written to the identity file and to the header of each segment.
const formatVersion = 1

const (
	// frameHeaderBytes is the size of the length and the checksum before each payload.
	frameHeaderBytes = 12
	// payloadHeaderBytes is the size of the kind, the offset and the synced length at the start of each payload.
	payloadHeaderBytes = 9
	// entryOverhead is an upper bound on the frame size of an entry without its data: the index and the term take at most
	// 10 bytes each, and the entry's kind takes one.
	entryOverhead = frameHeaderBytes + payloadHeaderBytes + 30
)

var errBadFrame = errors.New("bad frame")

// frame is a decoded frame.
type frame struct {
	kind frameKind
	// synced is the durable length of the segment when the frame was written.
	synced int
	body   []byte
	// size is the size of the frame including its header.
	size int
}

// appendFrame appends a frame to b; offset is its offset in the file, and synced the durable length of the segment.
func appendFrame(b []byte, kind frameKind, offset, synced int64, body []byte) []byte {
	start := len(b)
	b = append(b, make([]byte, frameHeaderBytes)...)
	b = append(b, byte(kind))
	b = binary.LittleEndian.AppendUint32(b, uint32(offset))
	b = binary.LittleEndian.AppendUint32(b, uint32(synced))
	b = append(b, body...)
	payload := b[start+frameHeaderBytes:]
	binary.LittleEndian.PutUint32(b[start:], uint32(len(payload)))
	binary.LittleEndian.PutUint64(b[start+4:], xxhash.Sum64(payload))
	return b
}

// readFrame decodes the frame at an offset of a file's contents.
func readFrame(file []byte, offset int) (frame, error) {
	return decodeFrame(file[offset:], int64(offset))
}

// decodeFrame decodes the frame at the start of b, which is at the given offset of its file. The frame's body shares
// memory with b.
func decodeFrame(b []byte, offset int64) (frame, error) {
	if len(b) < frameHeaderBytes+payloadHeaderBytes {
		return frame{}, errBadFrame
	}
	length := int(binary.LittleEndian.Uint32(b))
	if length < payloadHeaderBytes || length > len(b)-frameHeaderBytes {
		return frame{}, errBadFrame
	}
	payload := b[frameHeaderBytes : frameHeaderBytes+length]
	if xxhash.Sum64(payload) != binary.LittleEndian.Uint64(b[4:]) || int64(binary.LittleEndian.Uint32(payload[1:])) != offset {
		return frame{}, errBadFrame
	}
	return frame{
		kind:   frameKind(payload[0]),
		synced: int(binary.LittleEndian.Uint32(payload[5:])),
		body:   payload[payloadHeaderBytes:],
		size:   frameHeaderBytes + length,
	}, nil
}

// syncedPast reports whether a valid frame after the bad one at an offset proves that the bad one had been synced.
func syncedPast(file []byte, bad int) bool {
	for offset := bad + 1; offset+frameHeaderBytes+payloadHeaderBytes <= len(file); offset++ {
		// Comparing the offset stored in the frame first avoids the checksum at almost all positions.
		if int(binary.LittleEndian.Uint32(file[offset+frameHeaderBytes+1:])) != offset {
			continue
		}
		if f, err := readFrame(file, offset); err == nil && f.synced > bad {
			return true
		}
	}
	return false
}

// decodeSingleFrame returns the body of the only frame of a file, which must be of the given kind.
func decodeSingleFrame(file []byte, kind frameKind) ([]byte, error) {
	f, err := readFrame(file, 0)
	if err != nil {
		return nil, err
	}
	if f.kind != kind || f.size != len(file) {
		return nil, fmt.Errorf("want one frame of kind %d, got a frame of kind %d that takes %d of %d bytes", kind, f.kind, f.size, len(file))
	}
	return f.body, nil
}

// bodyReader decodes the fields of a frame's body; err is set once the body is too short.
type bodyReader struct {
	b   []byte
	err error
}

func (r *bodyReader) uvarint() uint64 {
	v, n := binary.Uvarint(r.b)
	if n <= 0 {
		r.err, r.b = errors.New("truncated frame body"), nil
		return 0
	}
	r.b = r.b[n:]
	return v
}

func (r *bodyReader) octet() byte {
	if len(r.b) == 0 {
		r.err = errors.New("truncated frame body")
		return 0
	}
	v := r.b[0]
	r.b = r.b[1:]
	return v
}

func (r *bodyReader) text() string {
	n := r.uvarint()
	if n > uint64(len(r.b)) {
		r.err = errors.New("truncated frame body")
		return ""
	}
	text := string(r.b[:n])
	r.b = r.b[n:]
	return text
}

// finish returns the decoding error, or an error if the body has bytes after its last field.
func (r *bodyReader) finish() error {
	if r.err == nil && len(r.b) > 0 {
		return fmt.Errorf("%d unexpected bytes at the end of the frame body", len(r.b))
	}
	return r.err
}

func appendUvarints(b []byte, numbers ...uint64) []byte {
	for _, n := range numbers {
		b = binary.AppendUvarint(b, n)
	}
	return b
}

func appendEntry(b []byte, e Entry) []byte {
	b = appendUvarints(b, uint64(e.Index), uint64(e.Term))
	b = append(b, e.Kind)
	return append(b, e.Data...)
}

// decodeEntry decodes an entry, whose Data shares memory with body.
func decodeEntry(body []byte) (Entry, error) {
	r := bodyReader{b: body}
	e := Entry{Index: camphorhinge.Index(r.uvarint()), Term: camphorhinge.Term(r.uvarint()), Kind: r.octet()}
	e.Data = r.b
	return e, r.err
}

func appendState(b []byte, s State) []byte {
	return appendUvarints(b, uint64(s.Term), uint64(s.Vote), uint64(s.Commit))
}

func (r *bodyReader) state() State {
	return State{Term: camphorhinge.Term(r.uvarint()), Vote: camphorhinge.ReplicaID(r.uvarint()), Commit: camphorhinge.Index(r.uvarint())}
}

func encodeIdentity(b []byte, id Identity) []byte {
	b = appendUvarints(b, formatVersion, uint64(id.Replica), uint64(len(id.Cluster)))
	return append(b, id.Cluster...)
}

func (r *bodyReader) identity() Identity {
	if version := r.uvarint(); version != formatVersion && r.err == nil {
		r.err = fmt.Errorf("unsupported format version %d, want %d", version, formatVersion)
	}
	return Identity{Replica: camphorhinge.ReplicaID(r.uvarint()), Cluster: camphorhinge.ClusterID(r.text())}
}

// encodeHeader returns the body of the header frame of segment number.
func encodeHeader(id Identity, number uint64, s State) []byte {
	return appendState(appendUvarints(encodeIdentity(nil, id), number), s)
}

func decodeHeader(body []byte) (id Identity, number uint64, s State, err error) {
	r := bodyReader{b: body}
	id, number, s = r.identity(), r.uvarint(), r.state()
	return id, number, s, r.finish()
}
