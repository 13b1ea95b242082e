package table_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/record/schema"
	"example.org/camphorhinge/internal/record/table"
)

var model = schema.Key{Kind: schema.KindModel, Name: "m"}

// write returns a write of a model record; a different context length makes a different document.
func write(t require.TestingT, name string, version camphorhinge.Version, context int) table.Command {
	doc, err := schema.Decode(fmt.Appendf(nil, "schema: 1\nkind: model\nname: '%s'\nversion: %d\nspec: {weights: w, context: %d}", name, version, context))
	require.NoError(t, err)
	return table.WriteCommand(doc)
}

func apply(t require.TestingT, tab *table.Table, stamp int64, c table.Command) table.Result {
	command, err := c.Encode()
	require.NoError(t, err)
	result, err := table.DecodeResult(tab.Apply(camphorhinge.Entry{Stamp: stamp}, command))
	require.NoError(t, err)
	return result
}

// Guards against lost or duplicated writes when operators race with equal versions or resend after a lost response.
func TestWrites(t *testing.T) {
	accepted := func(r camphorhinge.Revision) table.Result { return table.Result{Outcome: table.Accepted, Revision: r} }
	repeated := func(r camphorhinge.Revision) table.Result {
		return table.Result{Outcome: table.Accepted, Revision: r, Repeated: true}
	}
	// conflict is a conflict at revision now with the write that was accepted at revision winner.
	conflict := func(now camphorhinge.Revision, version camphorhinge.Version, winner camphorhinge.Revision, time int64, withdraw bool, context int) table.Result {
		w := &table.Write{Version: version, Revision: winner, Time: time, Withdraw: withdraw}
		if !withdraw {
			w.Digest = write(t, "m", version, context).Digest
		}
		return table.Result{Outcome: table.Conflict, Revision: now, Winner: w}
	}
	type step struct {
		command table.Command
		want    table.Result
	}
	cases := []struct {
		name  string
		steps []step
	}{
		{"same content twice", []step{{write(t, "m", 1, 1), accepted(1)}, {write(t, "m", 1, 1), repeated(1)}}},
		{"other content races", []step{{write(t, "m", 1, 1), accepted(1)}, {write(t, "m", 1, 2), conflict(1, 1, 1, 1, false, 1)}}},
		{"loser resends", []step{
			{write(t, "m", 1, 1), accepted(1)},
			{write(t, "m", 1, 2), conflict(1, 1, 1, 1, false, 1)},
			{write(t, "m", 2, 2), accepted(2)},
			{write(t, "m", 1, 2), conflict(2, 1, 1, 1, false, 1)},
		}},
		{"resend after later version", []step{{write(t, "m", 1, 1), accepted(1)}, {write(t, "m", 5, 2), accepted(2)}, {write(t, "m", 1, 1), repeated(1)}}},
		{"resend after withdrawal", []step{
			{write(t, "m", 1, 1), accepted(1)},
			{table.WithdrawCommand(model, 2), accepted(2)},
			{write(t, "m", 1, 1), repeated(1)},
			{table.WithdrawCommand(model, 2), repeated(2)},
			{write(t, "m", 2, 1), conflict(2, 2, 2, 2, true, 0)},
		}},
		{"resend of a withdrawal after a later version", []step{
			{write(t, "m", 1, 1), accepted(1)}, {table.WithdrawCommand(model, 2), accepted(2)}, {write(t, "m", 3, 1), accepted(3)}, {table.WithdrawCommand(model, 2), repeated(2)},
		}},
		{"withdrawal races with a write", []step{
			{write(t, "m", 1, 1), accepted(1)}, {write(t, "m", 2, 2), accepted(2)}, {table.WithdrawCommand(model, 2), conflict(2, 2, 2, 2, false, 2)},
		}},
		{"skipped version arrives late", []step{{write(t, "m", 5, 1), accepted(1)}, {write(t, "m", 3, 1), conflict(1, 5, 1, 1, false, 1)}}},
		{"used version below a tombstone", []step{
			{write(t, "m", 1, 1), accepted(1)},
			{table.WithdrawCommand(model, 9), accepted(2)},
			{write(t, "m", 8, 1), conflict(2, 9, 2, 2, true, 0)},
			{write(t, "m", 10, 1), accepted(3)},
		}},
		{"withdrawal of an unknown record", []step{{table.WithdrawCommand(model, 1), table.Result{Outcome: table.Absent}}, {write(t, "m", 1, 1), accepted(1)}}},
		{"versions are per name", []step{{write(t, "m", 2, 1), accepted(1)}, {write(t, "n", 1, 1), accepted(2)}, {write(t, "n", 1, 1), repeated(2)}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tab := table.New()
			for i, s := range c.steps {
				require.Equal(t, s.want, apply(t, tab, int64(i+1), s.command), "step %d", i+1)
			}
		})
	}
}

// Guards against a malformed command that stops the replica or changes its state.
func TestMalformedCommands(t *testing.T) {
	tab := table.New()
	doc := write(t, "m", 1, 1)
	for _, c := range []table.Command{
		{},
		{Key: model, Version: 1},
		{Key: model, Version: 1, Raw: doc.Raw, Digest: "12"},
		{Key: model, Version: 1, Withdraw: true, Raw: doc.Raw},
		{Key: model, Raw: doc.Raw, Digest: doc.Digest},
	} {
		require.Equal(t, table.Refused, apply(t, tab, 1, c).Outcome, "%+v", c)
	}
	result, err := table.DecodeResult(tab.Apply(camphorhinge.Entry{}, []byte("{")))
	require.NoError(t, err)
	require.Equal(t, table.Refused, result.Outcome)
	require.Zero(t, tab.View().Revision())
	for _, bad := range []string{" ", "{", `{"records":[{"kind":"model","name":"m"}]}`, `{"records":[{"kind":"model","name":"m","history":"AQ=="}]}`} {
		require.Error(t, tab.Restore([]byte(bad)), bad)
	}
	require.Equal(t, table.Accepted, apply(t, tab, 1, write(t, "m", 1, 1)).Outcome)
	require.NoError(t, tab.Restore(nil))
	require.Zero(t, tab.View().Revision(), "an empty snapshot is the initial state")
}

// Guards against a resend that is treated as a new write, or as a conflict, at the limit of the history.
func TestHistoryLimit(t *testing.T) {
	tab := table.New()
	for v := range camphorhinge.Version(table.HistoryLimit + 2) {
		require.Equal(t, table.Accepted, apply(t, tab, 1, write(t, "m", v+1, 1)).Outcome)
	}
	require.Len(t, tab.History(model), table.HistoryLimit)
	require.Equal(t, table.Result{Outcome: table.Accepted, Revision: 3, Repeated: true}, apply(t, tab, 1, write(t, "m", 3, 1)))
	dropped := apply(t, tab, 1, write(t, "m", 2, 1))
	require.Equal(t, table.Conflict, dropped.Outcome)
	require.EqualValues(t, table.HistoryLimit+2, dropped.Winner.Version)
}

// Guards against a restored replica whose results differ from those of the replica that took the snapshot, a mirror
// that differs from the table, a decreasing revision, and a preview that differs from the result of the write, under
// random writes, restores and lost or late responses.
func TestRestoreAndMirrorAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tab, other, mirror := table.New(), table.New(), table.NewMirror()
		var late table.Changes
		steps := rapid.IntRange(1, 40).Draw(rt, "steps")
		for i := range steps {
			name := rapid.SampledFrom([]string{"m", "n", "o"}).Draw(rt, "name")
			version := camphorhinge.Version(rapid.IntRange(1, 6).Draw(rt, "version"))
			c := table.WithdrawCommand(schema.Key{Kind: schema.KindModel, Name: name}, version)
			if rapid.Bool().Draw(rt, "write") {
				c = write(rt, name, version, rapid.IntRange(1, 2).Draw(rt, "context"))
			}
			before := tab.View().Revision()
			preview := table.Preview(tab.History(c.Key), c)
			result := apply(rt, tab, int64(i), c)
			require.Equal(rt, result.Outcome, preview.Outcome)
			require.Equal(rt, result.Repeated, preview.Repeated)
			require.Equal(rt, result.Winner, preview.Winner)
			require.Equal(rt, result, apply(rt, other, int64(i), c))
			require.GreaterOrEqual(rt, tab.View().Revision(), before)

			snapshot, err := tab.Snapshot()
			require.NoError(rt, err)
			if rapid.IntRange(0, 3).Draw(rt, "restore") == 0 {
				require.NoError(rt, other.Restore(snapshot))
			}
			same, err := other.Snapshot()
			require.NoError(rt, err)
			require.Equal(rt, string(snapshot), string(same))
			require.Equal(rt, tab.View(), other.View())

			source := rapid.SampledFrom([]*table.Table{tab, other}).Draw(rt, "source")
			changes := source.Since(mirror.View().Revision(), !mirror.Initialized())
			if rapid.IntRange(0, 2).Draw(rt, "lost") == 0 {
				late = changes
				continue
			}
			_, err = mirror.Apply(changes)
			require.NoError(rt, err)
			require.Equal(rt, tab.View(), mirror.View())
			// A late response must not move the mirror to an earlier revision.
			revision, _ := mirror.Apply(late)
			require.Equal(rt, tab.View().Revision(), revision)
			require.Equal(rt, tab.View(), mirror.View())
		}
	})
}

// Guards against a node that lags beyond the change window and misses changes, and against a window that grows without
// bound.
func TestChangesBeyondWindow(t *testing.T) {
	tab, mirror := table.New(), table.NewMirror()
	_, err := mirror.Apply(table.Changes{Revision: 0})
	require.Error(t, err, "changes before all records were received")
	_, err = mirror.Apply(tab.Since(0, true))
	require.NoError(t, err)
	last := camphorhinge.Revision(table.MaxWindowChanges + 1)
	for v := range camphorhinge.Version(last) {
		apply(t, tab, 1, write(t, "m", v+1, 1))
	}
	require.Len(t, tab.Since(1, false).Changes, table.MaxWindowChanges)
	require.False(t, tab.Since(1, false).Full)
	require.True(t, tab.Since(0, false).Full)
	require.True(t, tab.Since(last+1, false).Full, "a revision that the table never had")
	gap := tab.Since(1, false)
	_, err = mirror.Apply(gap)
	require.ErrorContains(t, err, "revision 2 after 0")
	short := tab.Since(1, false)
	short.Changes = nil
	_, err = mirror.Apply(short)
	require.Error(t, err)
	require.Zero(t, mirror.View().Revision())
	_, err = mirror.Apply(tab.Since(0, false))
	require.NoError(t, err)
	require.Equal(t, tab.View(), mirror.View())

	large := strings.Repeat("#", schema.MaxDocumentBytes-100)
	for v := range camphorhinge.Version(20) {
		c := write(t, "n", v+1, 1)
		c.Raw = append(c.Raw, large...)
		require.Equal(t, table.Accepted, apply(t, tab, 1, c).Outcome)
	}
	require.True(t, tab.Since(last, false).Full)
	size := 0
	for _, c := range tab.Since(last+19, false).Changes {
		size += len(c)
	}
	require.Positive(t, size)
	require.Less(t, size, table.MaxWindowBytes)
}

// Guards against a request that is routed by a wrong prefix or a withdrawn record, and against lookups that depend on
// the order in which a node received the records.
func TestView(t *testing.T) {
	tab := table.New()
	add := func(text string) {
		doc, err := schema.Decode([]byte(text))
		require.NoError(t, err)
		require.Equal(t, table.Accepted, apply(t, tab, 1, table.WriteCommand(doc)).Outcome)
	}
	add("schema: 2\nkind: service\nname: b\nversion: 1\nspec: {type: plain, paths: [/a, /x]}")
	add("schema: 2\nkind: service\nname: a\nversion: 1\nspec: {type: plain, paths: [/a/b, /x]}")
	add("schema: 2\nkind: service\nname: lm\nversion: 1\nspec: {type: model, models: [m]}")
	add("schema: 1\nkind: adapter\nname: ad\nversion: 1\nspec: {model: m, weights: w}")
	add("schema: 1\nkind: workspace\nname: w\nversion: 1\nspec: {key: " + keyText + "}")
	v := tab.View()
	for path, want := range map[string]string{
		"/a": "b", "/a/": "b", "/ab": "", "/a/b": "a", "/a/b/c/d": "a", "/a/bc": "b", "/x/y": "a", "/": "", "": "", "a": "",
	} {
		got := ""
		if s := v.ServiceByPath(path); s != nil {
			got = string(s.Name)
		}
		require.Equal(t, want, got, path)
	}
	require.EqualValues(t, "lm", v.ServiceByModel("m").Name)
	require.Nil(t, v.ServiceByModel("n"))
	require.EqualValues(t, "m", v.Adapter("ad").Model)
	require.EqualValues(t, "w", v.Workspace(schema.DigestKey("test")).Name)
	require.Nil(t, v.Workspace(schema.DigestKey("other")))

	duplicate, err := schema.Decode([]byte("schema: 1\nkind: service\nname: c\nversion: 1\nspec: {type: plain, path: /x}"))
	require.NoError(t, err)
	require.Len(t, v.Conflicts(duplicate), 1)
	duplicate, err = schema.Decode([]byte("schema: 1\nkind: workspace\nname: v\nversion: 1\nspec: {key: " + keyText + "}"))
	require.NoError(t, err)
	require.Len(t, v.Conflicts(duplicate), 1)

	apply(t, tab, 1, table.WithdrawCommand(schema.Key{Kind: schema.KindService, Name: "a"}, 2))
	require.EqualValues(t, "b", tab.View().ServiceByPath("/a/b").Name)
	require.EqualValues(t, "a", v.ServiceByPath("/a/b").Name, "an earlier view does not change")
}

const keyText = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"

// Guards against an older program version that drops a record of a newer schema or fails on it.
func TestNewerSchemaIsKept(t *testing.T) {
	tab, mirror := table.New(), table.NewMirror()
	apply(t, tab, 1, write(t, "m", 1, 8))
	newer := table.Command{Key: model, Version: 2, Digest: write(t, "m", 2, 1).Digest, Raw: []byte("schema: 3\nkind: model\n")}
	require.Equal(t, table.Accepted, apply(t, tab, 1, newer).Outcome)
	_, err := mirror.Apply(tab.Since(0, true))
	require.NoError(t, err)
	for _, v := range []*table.View{tab.View(), mirror.View()} {
		require.Len(t, v.Undecoded(), 1)
		require.Contains(t, v.Undecoded()[0].DecodeError, "from 1 to 2")
		require.Equal(t, newer.Raw, v.Record(model).Raw)
	}
	require.EqualValues(t, 8, tab.View().Model("m").Context, "the earlier version stays in force")
}
