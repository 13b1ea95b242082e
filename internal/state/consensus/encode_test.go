package consensus

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"example.org/camphorhinge"
)

func drawMessage(t *rapid.T) Message {
	m := Message{
		Type:    MessageType(rapid.Uint8Range(uint8(MessagePreVote), uint8(MessageTimeoutNow)).Draw(t, "type")),
		From:    camphorhinge.ReplicaID(rapid.Uint64().Draw(t, "from")),
		To:      camphorhinge.ReplicaID(rapid.Uint64().Draw(t, "to")),
		Term:    camphorhinge.Term(rapid.Uint64().Draw(t, "term")),
		Index:   camphorhinge.Index(rapid.Uint64().Draw(t, "index")),
		LogTerm: camphorhinge.Term(rapid.Uint64().Draw(t, "log term")),
		Commit:  camphorhinge.Index(rapid.Uint64().Draw(t, "commit")),
		Round:   rapid.Uint64().Draw(t, "round"),
		Hint:    camphorhinge.Index(rapid.Uint64().Draw(t, "hint")),
		Reject:  rapid.Bool().Draw(t, "reject"),
		Force:   rapid.Bool().Draw(t, "force"),
		Former:  rapid.Bool().Draw(t, "former"),
	}
	for range rapid.IntRange(0, 3).Draw(t, "entries") {
		e := Entry{
			Index: camphorhinge.Index(rapid.Uint64().Draw(t, "entry index")),
			Term:  camphorhinge.Term(rapid.Uint64().Draw(t, "entry term")),
			Kind:  EntryKind(rapid.Uint8Range(uint8(EntryNoop), uint8(EntryMembership)).Draw(t, "kind")),
		}
		if b := rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(t, "data"); len(b) > 0 {
			e.Data = b
		}
		m.Entries = append(m.Entries, e)
	}
	return m
}

// TestMessageRoundTrip guards against fields that are lost in encoding, and against truncated or extended messages that
// are decoded without an error.
func TestMessageRoundTrip(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		m := drawMessage(t)
		b := AppendMessage(nil, &m)
		got, err := DecodeMessage(b)
		require.NoError(t, err)
		require.Equal(t, m, got)
		for n := range b {
			_, err := DecodeMessage(b[:n])
			require.Error(t, err, "truncated to %d of %d bytes", n, len(b))
		}
		_, err = DecodeMessage(append(b, 0))
		require.Error(t, err)
	})
}

// TestDecodeArbitraryBytes guards against panics and large allocations on malformed input.
func TestDecodeArbitraryBytes(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		b := rapid.SliceOf(rapid.Byte()).Draw(t, "bytes")
		if len(b) > 0 && rapid.Bool().Draw(t, "right version") {
			b[0] = formatVersion
		}
		for _, decode := range []func([]byte) error{
			func(b []byte) error { _, err := DecodeMessage(b); return err },
			func(b []byte) error { _, err := DecodeMembership(b); return err },
			func(b []byte) error { _, err := DecodeSnapshotMeta(b); return err },
		} {
			if err := decode(b); err != nil {
				var e *Error
				require.ErrorAs(t, err, &e)
				require.Equal(t, KindMalformed, e.Kind)
			}
		}
	})
}

// TestStateRoundTrip checks the encodings of stored memberships and snapshot metadata.
func TestStateRoundTrip(t *testing.T) {
	t.Parallel()
	meta := SnapshotMeta{
		Index: 300, Term: 7, MembershipIndex: 12,
		Membership: Membership{Members: []Member{{ID: 1, Voter: true, Address: "10.0.0.1:7003"}, {ID: 1 << 60}}},
	}
	gotMeta, err := DecodeSnapshotMeta(AppendSnapshotMeta(nil, meta))
	require.NoError(t, err)
	require.Equal(t, meta, gotMeta)
	gotMembers, err := DecodeMembership(AppendMembership(nil, meta.Membership))
	require.NoError(t, err)
	require.Equal(t, meta.Membership, gotMembers)

	unsorted := Membership{Members: []Member{{ID: 2}, {ID: 1}}}
	_, err = DecodeMembership(AppendMembership(nil, unsorted))
	require.Error(t, err)
	meta.MembershipIndex = 301
	_, err = DecodeSnapshotMeta(AppendSnapshotMeta(nil, meta))
	require.Error(t, err)
}
