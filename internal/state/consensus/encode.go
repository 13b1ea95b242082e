package consensus

import (
	"encoding/binary"
	"fmt"

	"example.org/camphorhinge"
)

// Format constants, and bounds on decoded sizes. Larger sizes are malformed, which limits what a corrupt length can
// allocate.
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
	minEntryBytes   = 4 // index, term, kind and the length of the data
	minMemberBytes  = 3 // id, voter flag and the length of the address
)

// AppendMessage appends the encoding of m to b and returns the extended slice.
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

// DecodeMessage decodes one message. The data of its entries share memory with b. It returns an *Error of KindMalformed
// for malformed input.
func DecodeMessage(b []byte) (Message, error) {
	d := decoder{b: b}
	d.version()
	m := Message{Type: MessageType(d.byte())}
	flags := d.byte()
	if m.Type < MessagePreVote || m.Type > MessageTimeoutNow {
		d.fail("unknown message type %d", m.Type)
	}
	if flags&^knownFlags != 0 {
		d.fail("unknown flags %#x", flags)
	}
	m.Reject, m.Force, m.Former = flags&flagReject != 0, flags&flagForce != 0, flags&flagFormer != 0
	m.From, m.To = camphorhinge.ReplicaID(d.uvarint()), camphorhinge.ReplicaID(d.uvarint())
	m.Term, m.Index = camphorhinge.Term(d.uvarint()), camphorhinge.Index(d.uvarint())
	m.LogTerm, m.Commit = camphorhinge.Term(d.uvarint()), camphorhinge.Index(d.uvarint())
	m.Round, m.Hint = d.uvarint(), camphorhinge.Index(d.uvarint())
	if n := d.count(maxEntries, minEntryBytes); n > 0 {
		m.Entries = make([]Entry, 0, n)
		for range n {
			m.Entries = append(m.Entries, d.entry())
		}
	}
	if err := d.end("decode message"); err != nil {
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

// appendLeader appends the data of a term's first entry, which is the id of its leader.
func appendLeader(b []byte, id camphorhinge.ReplicaID) []byte {
	return binary.AppendUvarint(b, uint64(id))
}

// decodeLeader returns the leader named by the data of a term's first entry, or 0 if there is none.
func decodeLeader(data []byte) camphorhinge.ReplicaID {
	id, n := binary.Uvarint(data)
	if n <= 0 || n != len(data) {
		return 0
	}
	return camphorhinge.ReplicaID(id)
}

// AppendMembership appends the encoding of m to b and returns the extended slice.
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

// DecodeMembership decodes a Membership. It returns an *Error of KindMalformed unless the ids ascend and are not 0.
func DecodeMembership(b []byte) (Membership, error) {
	d := decoder{b: b}
	d.version()
	m := d.members()
	if err := d.end("decode membership"); err != nil {
		return Membership{}, err
	}
	return m, nil
}

// AppendSnapshotMeta appends the encoding of s to b and returns the extended slice.
func AppendSnapshotMeta(b []byte, s SnapshotMeta) []byte {
	b = append(b, formatVersion)
	b = binary.AppendUvarint(b, uint64(s.Index))
	b = binary.AppendUvarint(b, uint64(s.Term))
	b = binary.AppendUvarint(b, uint64(s.MembershipIndex))
	return appendMembers(b, s.Membership)
}

// DecodeSnapshotMeta decodes a SnapshotMeta. It returns an *Error of KindMalformed for malformed input.
func DecodeSnapshotMeta(b []byte) (SnapshotMeta, error) {
	d := decoder{b: b}
	d.version()
	s := SnapshotMeta{Index: camphorhinge.Index(d.uvarint()), Term: camphorhinge.Term(d.uvarint())}
	s.MembershipIndex = camphorhinge.Index(d.uvarint())
	s.Membership = d.members()
	if d.err == nil && s.MembershipIndex > s.Index {
		d.fail("membership index %d above index %d", s.MembershipIndex, s.Index)
	}
	if err := d.end("decode snapshot meta"); err != nil {
		return SnapshotMeta{}, err
	}
	return s, nil
}

// decoder reads values from b. After the first error, which err keeps, all values are zero.
type decoder struct {
	b   []byte
	err error
}

// fail sets the error, unless there is one, and discards the remaining input.
func (d *decoder) fail(format string, args ...any) {
	if d.err == nil {
		d.err = fmt.Errorf(format, args...)
	}
	d.b = nil
}

// end returns the first error; input that remains is an error as well.
func (d *decoder) end(op string) error {
	if d.err == nil && len(d.b) > 0 {
		d.fail("%d trailing bytes", len(d.b))
	}
	if d.err != nil {
		return &Error{Op: op, Kind: KindMalformed, Err: d.err}
	}
	return nil
}

func (d *decoder) version() {
	if v := d.byte(); d.err == nil && v != formatVersion {
		d.fail("format version %d, want %d", v, formatVersion)
	}
}

func (d *decoder) byte() byte {
	if len(d.b) == 0 {
		d.fail("truncated")
		return 0
	}
	v := d.b[0]
	d.b = d.b[1:]
	return v
}

func (d *decoder) uvarint() uint64 {
	v, n := binary.Uvarint(d.b)
	if n <= 0 {
		d.fail("invalid varint")
		return 0
	}
	d.b = d.b[n:]
	return v
}

// count reads the number of elements that follow, which is at most limit; each takes at least size bytes.
func (d *decoder) count(limit, size int) int {
	n := d.uvarint()
	if n > uint64(limit) || n > uint64(len(d.b)/size) {
		d.fail("count %d too large", n)
		return 0
	}
	return int(n)
}

func (d *decoder) bytes(limit int) []byte {
	n := d.count(limit, 1)
	if n == 0 {
		return nil
	}
	v := d.b[:n:n]
	d.b = d.b[n:]
	return v
}

func (d *decoder) entry() Entry {
	e := Entry{Index: camphorhinge.Index(d.uvarint()), Term: camphorhinge.Term(d.uvarint())}
	e.Kind = EntryKind(d.byte())
	if d.err == nil && (e.Kind < EntryNoop || e.Kind > EntryMembership) {
		d.fail("unknown entry kind %d", e.Kind)
	}
	e.Data = d.bytes(maxEntryBytes)
	return e
}

func (d *decoder) members() Membership {
	n := d.count(maxMembers, minMemberBytes)
	if n == 0 {
		return Membership{}
	}
	m := Membership{Members: make([]Member, 0, n)}
	for range n {
		x := Member{ID: camphorhinge.ReplicaID(d.uvarint())}
		voter := d.byte()
		x.Voter = voter == 1
		x.Address = string(d.bytes(maxAddressBytes))
		if d.err != nil {
			return Membership{}
		}
		if last := len(m.Members) - 1; voter > 1 || x.ID == 0 || last >= 0 && m.Members[last].ID >= x.ID {
			d.fail("member %d has an invalid id or voter flag, or is out of order", x.ID)
			return Membership{}
		}
		m.Members = append(m.Members, x)
	}
	return m
}
