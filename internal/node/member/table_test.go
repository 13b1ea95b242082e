package member_test

import (
	"encoding/json"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/node/member"
)

func apply(t *testing.T, table *member.Table, command string) string {
	var r member.Result
	require.NoError(t, json.Unmarshal(table.Apply(camphorhinge.Entry{}, []byte(command)), &r))
	return r.Refused
}

// Guards against a node that disappears from the list or is listed with a replica that it no longer has, and against
// replicas of the list that diverge.
func TestCommands(t *testing.T) {
	const a = `{"action":"put","node":{"name":"a","address":"1:1","zone":"z","replica":1}}`
	listed := member.Node{Name: "a", Address: "1:1", Zone: "z", Replica: 1}
	for _, tt := range []struct {
		name     string
		commands []string
		// refused is the result of the last command.
		refused string
		want    []member.Node
	}{
		{name: "put", commands: []string{a}, want: []member.Node{listed}},
		{name: "put twice", commands: []string{a, a}, want: []member.Node{listed}},
		{
			name: "new address keeps the replica", want: []member.Node{{Name: "a", Address: "1:2", Zone: "y", Replica: 1}},
			commands: []string{a, `{"action":"put","node":{"name":"a","address":"1:2","zone":"y"}}`},
		},
		{
			name: "lost disk", want: []member.Node{{Name: "a", Address: "1:2", Zone: "y", Replica: 2}},
			commands: []string{
				a, `{"action":"put","node":{"name":"a","address":"1:2","zone":"y","replica":2}}`,
				`{"action":"put","node":{"name":"a","address":"1:2","zone":"y"}}`,
			},
		},
		{name: "remove", commands: []string{a, `{"action":"remove","node":{"name":"a"}}`}, want: []member.Node{}},
		{
			name: "listed again after a removal", want: []member.Node{{Name: "a", Address: "1:1", Zone: "z"}},
			commands: []string{a, `{"action":"remove","node":{"name":"a"}}`, `{"action":"put","node":{"name":"a","address":"1:1","zone":"z"}}`},
		},
		{name: "remove an unknown node", commands: []string{a, `{"action":"remove","node":{"name":"b"}}`}, want: []member.Node{listed}},
		{
			name: "no name", commands: []string{a, `{"action":"put","node":{"address":"1:1"}}`}, want: []member.Node{listed},
			refused: "expected a node with a name and an address",
		},
		{
			name: "no address", commands: []string{a, `{"action":"put","node":{"name":"a"}}`}, want: []member.Node{listed},
			refused: "expected a node with a name and an address",
		},
		{name: "unknown action", commands: []string{a, `{"action":"drop"}`}, want: []member.Node{listed}, refused: "unknown action drop"},
		{
			name: "malformed", commands: []string{a, `{`}, want: []member.Node{listed},
			refused: "malformed command: unexpected end of JSON input",
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			table, refused := member.New(), ""
			for _, c := range tt.commands {
				refused = apply(t, table, c)
			}
			require.Equal(t, tt.refused, refused)
			require.Equal(t, tt.want, table.Nodes())

			snapshot, err := table.Snapshot()
			require.NoError(t, err)
			other := member.New()
			apply(t, other, `{"action":"put","node":{"name":"old","address":"9:9"}}`)
			require.Error(t, other.Restore([]byte("{")))
			require.Len(t, other.Nodes(), 1, "a snapshot that cannot be decoded changes nothing")
			require.NoError(t, other.Restore(snapshot))
			require.Equal(t, tt.want, other.Nodes())
			again, err := other.Snapshot()
			require.NoError(t, err)
			require.Equal(t, snapshot, again)
			require.NoError(t, other.Restore(nil))
			require.Empty(t, other.Nodes())
		})
	}
}

// Guards against a list that grows without bound, and against a full list that refuses new addresses of its own nodes.
func TestBound(t *testing.T) {
	table := member.New()
	put := func(name, address string) string {
		return apply(t, table, `{"action":"put","node":{"name":"`+name+`","address":"`+address+`"}}`)
	}
	for i := range 1024 {
		require.Empty(t, put(strconv.Itoa(i), "1:1"))
	}
	require.Equal(t, "too many nodes", put("new", "1:1"))
	require.Empty(t, put("7", "2:2"))
	n, ok := table.Get("7")
	require.True(t, ok)
	require.Equal(t, "2:2", n.Address)
}
