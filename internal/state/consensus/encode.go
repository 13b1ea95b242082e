package consensus

import (
	"encoding/binary"
	"fmt"

	"example.org/camphorhinge"
)

// Bounds on decoded sizes; larger ones are malformed, so that a bad length allocates little.
const (
	maxEntryBytes   = 32 << 20
	maxEntries      = 1 << 16
	maxMembers      = 1 << 10
	maxAddressBytes = 1 << 10
	formatVersion   = 1
	flagReject      = 1
	flagForce       = 2
	flagFormer      = 4
	knownFlags      = flagReject | flagForce | flagFormer
	minEntryBytes   = 4
	minMemberBytes  = 3
)

// AppendMessage appends the encoding of m to b.
func AppendMessage(b []byte, m *Message) []byte {
	var flags byte
	if m.Reject {
		flags |= flagReject
	}
	if m.Force {
		flags |= flagForce
	}
	if m.Former {
		flags |= flagFormer
	}
	b = append(b, formatVersion, byte(m.Type), flags)
	for _, v := range []uint64{
		uint64(m.From), uint64(m.To), uint64(m.Term), uint64(m.Index), uint64(m.LogTerm), uint64(m.Commit), m.Round,
		uint64(m.Hint), uint64(len(m.Entries)),
	} {
		b = binary.AppendUvarint(b, v)
	}
	for i := range m.Entries {
		b = appendEntry(b, &m.Entries[i])
	}
	return b
}

// DecodeMessage decodes one message. The entries' data share memory with b. Malformed input gives an *Error of
// KindMalformed.
func DecodeMessage(b []byte) (Message, error) {
	r := decoder{b: b}
	r.version()
	m := Message{Type: MessageType(r.byte())}
	flags := r.byte()
	if m.Type < MessagePreVote || m.Type > MessageTimeoutNow {
		r.fail("unknown message type %d", m.Type)
	}
	if flags&^knownFlags != 0 {
		r.fail("unknown flags %#x", flags)
	}
	m.Reject, m.Force, m.Former = flags&flagReject != 0, flags&flagForce != 0, flags&flagFormer != 0
	m.From, m.To = camphorhinge.ReplicaID(r.uvarint()), camphorhinge.ReplicaID(r.uvarint())
	m.Term, m.Index = camphorhinge.Term(r.uvarint()), camphorhinge.Index(r.uvarint())
	m.LogTerm, m.Commit = camphorhinge.Term(r.uvarint()), camphorhinge.Index(r.uvarint())
	m.Round, m.Hint = r.uvarint(), camphorhinge.Index(r.uvarint())
	if n := r.count(maxEntries, minEntryBytes); n > 0 {
		m.Entries = make([]Entry, 0, n)
		for range n {
			m.Entries = append(m.Entries, r.entry())
		}
	}
	if err := r.end("decode message"); err != nil {
		return Message{}, err
	}
	return m, nil
}

// appendEntry appends the encoding of e to b.
func appendEntry(b []byte, e *Entry) []byte {
	b = binary.AppendUvarint(b, uint64(e.Index))
	b = binary.AppendUvarint(b, uint64(e.Term))
	b = append(b, byte(e.Kind))
	b = binary.AppendUvarint(b, uint64(len(e.Data)))
	return append(b, e.Data...)
}

// appendLeader appends the data of the first entry of a term, which names its leader.
func appendLeader(b []byte, id camphorhinge.ReplicaID) []byte {
	return binary.AppendUvarint(b, uint64(id))
}

// decodeLeader returns the leader that the first entry of a term names, or 0 when it names none.
func decodeLeader(data []byte) camphorhinge.ReplicaID {
	id, n := binary.Uvarint(data)
	if n <= 0 || n != len(data) {
		return 0
	}
	return camphorhinge.ReplicaID(id)
}

// AppendMembership appends the encoding of m to b.
func AppendMembership(b []byte, m Membership) []byte {
	b = append(b, formatVersion)
	return appendMembers(b, m)
}

func appendMembers(b []byte, m Membership) []byte {
	b = binary.AppendUvarint(b, uint64(len(m.Members)))
	for _, x := range m.Members {
		b = binary.AppendUvarint(b, uint64(x.ID))
		voter := byte(0)
		if x.Voter {
			voter = 1
		}
		b = append(b, voter)
		b = binary.AppendUvarint(b, uint64(len(x.Address)))
		b = append(b, x.Address...)
	}
	return b
}

// DecodeMembership decodes a Membership.
func DecodeMembership(b []byte) (Membership, error) {
	r := decoder{b: b}
	r.version()
	m := r.members()
	if err := r.end("decode membership"); err != nil {
		return Membership{}, err
	}
	return m, nil
}

// AppendSnapshotMeta appends the encoding of s to b.
func AppendSnapshotMeta(b []byte, s SnapshotMeta) []byte {
	b = append(b, formatVersion)
	b = binary.AppendUvarint(b, uint64(s.Index))
	b = binary.AppendUvarint(b, uint64(s.Term))
	b = binary.AppendUvarint(b, uint64(s.MembershipIndex))
	return appendMembers(b, s.Membership)
}

// DecodeSnapshotMeta decodes a SnapshotMeta.
func DecodeSnapshotMeta(b []byte) (SnapshotMeta, error) {
	r := decoder{b: b}
	r.version()
	s := SnapshotMeta{Index: camphorhinge.Index(r.uvarint()), Term: camphorhinge.Term(r.uvarint())}
	s.MembershipIndex = camphorhinge.Index(r.uvarint())
	s.Membership = r.members()
	if r.err == nil && s.MembershipIndex > s.Index {
		r.fail("membership index %d above index %d", s.MembershipIndex, s.Index)
	}
	if err := r.end("decode snapshot meta"); err != nil {
		return SnapshotMeta{}, err
	}
	return s, nil
}

// decoder takes values from b until the first error, after which all values are zero.
type decoder struct {
	b   []byte
	err error
}

func (r *decoder) fail(format string, args ...any) {
	if r.err == nil {
		r.err = fmt.Errorf(format, args...)
	}
	r.b = nil
}

func (r *decoder) end(op string) error {
	if r.err == nil && len(r.b) > 0 {
		r.fail("%d trailing bytes", len(r.b))
	}
	if r.err != nil {
		return &Error{Op: op, Kind: KindMalformed, Err: r.err}
	}
	return nil
}

func (r *decoder) version() {
	if v := r.byte(); r.err == nil && v != formatVersion {
		r.fail("format version %d, want %d", v, formatVersion)
	}
}

func (r *decoder) byte() byte {
	if len(r.b) == 0 {
		r.fail("truncated")
		return 0
	}
	v := r.b[0]
	r.b = r.b[1:]
	return v
}

func (r *decoder) uvarint() uint64 {
	v, n := binary.Uvarint(r.b)
	if n <= 0 {
		r.fail("bad number")
		return 0
	}
	r.b = r.b[n:]
	return v
}

// count reads a number of elements, each of which takes at least size bytes.
func (r *decoder) count(limit, size int) int {
	n := r.uvarint()
	if n > uint64(limit) || n > uint64(len(r.b)/size) {
		r.fail("count %d too large", n)
		return 0
	}
	return int(n)
}

func (r *decoder) bytes(limit int) []byte {
	n := r.count(limit, 1)
	if n == 0 {
		return nil
	}
	v := r.b[:n:n]
	r.b = r.b[n:]
	return v
}

func (r *decoder) entry() Entry {
	e := Entry{Index: camphorhinge.Index(r.uvarint()), Term: camphorhinge.Term(r.uvarint())}
	e.Kind = EntryKind(r.byte())
	if r.err == nil && (e.Kind < EntryNoop || e.Kind > EntryMembership) {
		r.fail("unknown entry kind %d", e.Kind)
	}
	e.Data = r.bytes(maxEntryBytes)
	return e
}

func (r *decoder) members() Membership {
	n := r.count(maxMembers, minMemberBytes)
	if n == 0 {
		return Membership{}
	}
	m := Membership{Members: make([]Member, 0, n)}
	for range n {
		x := Member{ID: camphorhinge.ReplicaID(r.uvarint())}
		voter := r.byte()
		x.Voter = voter == 1
		x.Address = string(r.bytes(maxAddressBytes))
		if r.err != nil {
			return Membership{}
		}
		if last := len(m.Members) - 1; voter > 1 || x.ID == 0 || last >= 0 && m.Members[last].ID >= x.ID {
			r.fail("bad member %d", x.ID)
			return Membership{}
		}
		m.Members = append(m.Members, x)
	}
	return m
}
