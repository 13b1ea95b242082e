package buffer

import (
	"errors"
	"io"
)

const (
	// firstSize is the size of a buffer's first allocation, in bytes.
	firstSize = 4 << 10
	// growth is the factor by which a buffer grows while the size of its content is not known.
	growth = 2
	// knownGrowth is the factor by which it grows towards a known size, so that less is copied.
	knownGrowth = 4
)

// Buffer is a growing byte slice whose memory is taken from a Pool. It is not safe for concurrent use.
type Buffer struct {
	pool  *Pool
	owner string
	data  []byte
	// block is the memory of data; nil if there is none, or no limit.
	block *block
	// intake is the content that ReadAll receives or has received, or nil.
	intake *intake
}

// Buffer returns an empty Buffer of an owner. Free must be called once its content is not needed any more.
func (p *Pool) Buffer(owner string) *Buffer { return &Buffer{pool: p, owner: owner} }

// Bytes returns the content, which is valid until the next call of another method.
func (b *Buffer) Bytes() []byte { return b.data }

// Fits reports whether n more bytes can be held now; see Pool.Fits.
func (b *Buffer) Fits(n int64) bool { return b.pool.Fits(b.owner, n) }

// Reset empties the buffer and keeps its memory.
func (b *Buffer) Reset() { b.data = b.data[:0] }

// Free returns the memory to the Pool. Further calls have no effect.
func (b *Buffer) Free() {
	b.data = nil
	b.pool.discard(b.owner, b.block)
	b.block = nil
	b.pool.freeIntake(b.intake)
	b.intake = nil
}

// Append adds bytes to the content. It returns an Error of KindFull if the Pool has no memory for them.
func (b *Buffer) Append(p []byte) error {
	if need := len(b.data) + len(p); need > cap(b.data) {
		if err := b.resize(max(need, growth*cap(b.data), firstSize)); err != nil {
			return err
		}
	}
	b.data = append(b.data, p...)
	return nil
}

// resize moves the content to memory of the given size. Both sizes are reserved during the copy.
func (b *Buffer) resize(size int) error {
	if err := b.pool.reserve(b.owner, int64(size)); err != nil {
		return err
	}
	data, k := b.pool.allocate(len(b.data), size)
	copy(data, b.data)
	b.data = data
	b.pool.discard(b.owner, b.block)
	b.block = k
	return nil
}

// ReadAll adds all of r to the content, at most limit bytes, and returns whether r has more. Length is the number of bytes that are
// expected, or -1; memory is taken as they arrive. Errors of r are returned as they are, those of the Pool as an Error of KindFull, or of
// KindSlow if the content was ended for other content.
func (b *Buffer) ReadAll(r io.Reader, length, limit int64) (more bool, err error) {
	// One byte beyond the limit tells whether there is more, one beyond the length whether there is an end.
	limit++
	b.intake = b.pool.startIntake(b.owner, r)
	defer b.pool.stopIntake(b.intake)
	for {
		if len(b.data) == cap(b.data) {
			size, factor, most := int64(cap(b.data)), int64(growth), limit
			if length >= 0 {
				factor, most = knownGrowth, min(length+1, limit)
			}
			size = max(factor*size, firstSize)
			if size > most && most > int64(cap(b.data)) {
				size = most
			}
			if err := b.resize(int(size)); err != nil {
				return false, err
			}
		}
		space := min(int64(cap(b.data)), limit)
		b.pool.await(b.intake, int64(cap(b.data)))
		n, err := r.Read(b.data[len(b.data):space])
		b.data = b.data[:len(b.data)+n]
		ended := b.pool.received(b.intake, n)
		switch {
		case ended:
			return false, &Error{Op: "read", Kind: KindSlow, Err: errSlow}
		case int64(len(b.data)) == limit:
			return true, nil
		case errors.Is(err, io.EOF):
			return false, nil
		case err != nil:
			return false, err
		}
	}
}

// reader counts the bytes that are read as memory of an owner.
type reader struct {
	io.ReadCloser
	pool  *Pool
	owner string
	held  int64
}

// ReaderCost is the memory that a byte of a Reader takes: a slice that grows as it is filled has up to twice the size of its content.
const ReaderCost = 2

// Reader returns a reader whose bytes take memory of the Pool until it is closed. Its Read returns an Error of KindFull if there is none.
func (p *Pool) Reader(owner string, r io.ReadCloser) io.ReadCloser {
	return &reader{ReadCloser: r, pool: p, owner: owner}
}

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	n, err := r.ReadCloser.Read(p)
	if rerr := r.pool.reserve(r.owner, ReaderCost*int64(n)); rerr != nil {
		return 0, rerr
	}
	r.held += ReaderCost * int64(n)
	return n, err
}

// Close implements io.Closer.
func (r *reader) Close() error {
	r.pool.release(r.owner, r.held)
	r.held = 0
	return r.ReadCloser.Close()
}
