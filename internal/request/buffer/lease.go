package buffer

// Lease is a number of bytes of a Pool that are held outside of a Buffer. It is not safe for concurrent use.
type Lease struct {
	pool  *Pool
	owner string
	held  int64
}

// Lease returns a Lease of no bytes. Free must be called once its memory is not needed any more.
func (p *Pool) Lease(owner string) *Lease { return &Lease{pool: p, owner: owner} }

// Grow makes the Lease hold at least the given number of bytes. It returns an Error of KindFull if the Pool has no memory for them.
func (l *Lease) Grow(to int64) error {
	if to <= l.held {
		return nil
	}
	if err := l.pool.reserve(l.owner, to-l.held); err != nil {
		return err
	}
	l.held = to
	return nil
}

// Free returns the memory to the Pool. Further calls have no effect.
func (l *Lease) Free() {
	l.pool.release(l.owner, l.held)
	l.held = 0
}
