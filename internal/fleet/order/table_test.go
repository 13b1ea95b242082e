package order

import (
	"encoding/json"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"example.org/camphorhinge"
)

func desired(role camphorhinge.Role, models ...camphorhinge.ModelName) Desired {
	return Desired{Role: role, Models: models}.normalized()
}

func apply(t *testing.T, tbl *Table, term camphorhinge.Term, c command) code {
	t.Helper()
	var r result
	require.NoError(t, json.Unmarshal(tbl.Apply(camphorhinge.Entry{Term: term}, mustEncode(c)), &r))
	return r.Code
}

// TestTable guards against an order of a lower term, a second open order, an order without a matching decision,
// and a command that has another effect when it is proposed twice.
func TestTable(t *testing.T) {
	mixed, decode := desired(camphorhinge.RoleMixed, "m"), desired(camphorhinge.RoleDecode, "m")
	decide := func(term camphorhinge.Term, d Desired) command {
		return command{Op: opDecide, Term: term, Engine: testEngine, Service: testService, Desired: d, Draining: true}
	}
	order := func(op op, term, fence camphorhinge.Term, seq camphorhinge.Sequence, d Desired, s State) command {
		return command{Op: op, Term: term, Engine: testEngine, Order: &Order{
			Engine: testEngine, Incarnation: 1, Fence: fence, Seq: seq, Desired: d, State: s,
		}}
	}
	type step struct {
		term camphorhinge.Term // of the leader that commits the command
		cmd  command
		want code
	}
	tests := []struct {
		name     string
		steps    []step
		cordoned bool
	}{
		{"done", []step{
			{1, decide(1, mixed), codeOK},
			{1, order(opRecord, 1, 1, 2, mixed, ""), codeOK},
			{1, order(opResolve, 1, 1, 2, mixed, Done), codeOK},
		}, false},
		{"proposed twice", []step{
			{1, decide(1, mixed), codeOK},
			{1, decide(1, mixed), codeOK},
			{1, order(opRecord, 1, 1, 2, mixed, ""), codeOK},
			{1, order(opRecord, 1, 1, 2, mixed, ""), codeOK},
			{1, order(opResolve, 1, 1, 2, mixed, Done), codeOK},
			{1, order(opResolve, 1, 1, 2, mixed, Done), codeOK},
		}, false},
		{"second order while one is open", []step{
			{1, decide(1, mixed), codeOK},
			{1, order(opRecord, 1, 1, 2, mixed, ""), codeOK},
			{1, decide(1, decode), codeOK},
			{1, order(opRecord, 1, 1, 4, decode, ""), codeOpen},
			{1, order(opResolve, 1, 1, 2, mixed, Unknown), codeOK},
			{1, order(opRecord, 1, 1, 4, decode, ""), codeOpen},
			{1, command{Op: opRemove, Term: 1, Engine: testEngine}, codeOpen},
			{1, order(opResolve, 1, 1, 2, mixed, Done), codeOK},
			{1, order(opRecord, 1, 1, 2, decode, ""), codeSequence},
			{1, order(opRecord, 1, 1, 4, decode, ""), codeOK},
		}, true},
		{"done with an older decision stays cordoned", []step{
			{1, decide(1, mixed), codeOK},
			{1, order(opRecord, 1, 1, 2, mixed, ""), codeOK},
			{1, decide(1, decode), codeOK},
			{1, order(opResolve, 1, 1, 2, mixed, Done), codeOK},
		}, true},
		{"lower term", []step{
			{2, command{Op: opBegin, Term: 2}, codeOK},
			{2, decide(1, mixed), codeStale},
			{2, order(opRecord, 1, 1, 2, mixed, ""), codeStale},
			{2, order(opResolve, 1, 1, 2, mixed, Done), codeStale},
			{2, command{Op: opRemove, Term: 1, Engine: testEngine}, codeStale},
		}, true},
		{"lower term than the leader that commits", []step{{3, decide(2, mixed), codeStale}}, true},
		{"successor closes the order of its predecessor", []step{
			{1, decide(1, mixed), codeOK},
			{1, order(opRecord, 1, 1, 2, mixed, ""), codeOK},
			{2, order(opRecord, 2, 2, 4, mixed, ""), codeOpen},
			{2, order(opResolve, 2, 1, 2, mixed, Abandoned), codeOK},
			{2, order(opResolve, 2, 1, 2, mixed, Done), codeClosed},
			{2, order(opRecord, 2, 1, 4, mixed, ""), codeCorrupt}, // the fence is not that of the command's term
			{2, order(opRecord, 2, 2, 4, decode, ""), codeDiffers},
			{2, order(opRecord, 2, 2, 4, mixed, ""), codeOK},
		}, true},
		{"without a decision", []step{{1, order(opRecord, 1, 1, 2, mixed, ""), codeAbsent}}, true},
		{"sequences keep rising after an engine is removed", []step{
			{1, decide(1, mixed), codeOK},
			{1, order(opRecord, 1, 1, 2, mixed, ""), codeOK},
			{1, order(opResolve, 1, 1, 2, mixed, Done), codeOK},
			{1, command{Op: opRemove, Term: 1, Engine: testEngine}, codeOK},
			{1, decide(1, mixed), codeOK},
			{1, order(opRecord, 1, 1, 2, mixed, ""), codeSequence},
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tbl, m := NewTable(), NewMirror()
			target := &camphorhinge.Target{Announcement: newFakeEngine("", "").a}
			require.True(t, m.Cordoned(target))
			for i, s := range tt.steps {
				// A replica that is restored before the step must give the same result.
				snapshot, err := tbl.Snapshot()
				require.NoError(t, err)
				copied := NewTable()
				require.NoError(t, copied.Restore(snapshot))
				require.Equal(t, s.want, apply(t, tbl, s.term, s.cmd), "step %d", i)
				require.Equal(t, s.want, apply(t, copied, s.term, s.cmd), "step %d", i)
				want, err := tbl.Snapshot()
				require.NoError(t, err)
				got, err := copied.Snapshot()
				require.NoError(t, err)
				require.Equal(t, string(want), string(got))
			}
			require.Equal(t, tt.cordoned, tbl.Cordoned(target))
			encoded, revision := tbl.Encode()
			require.NoError(t, m.Load(encoded))
			require.NoError(t, m.Load([]byte(`{"revision":0}`)))
			require.Equal(t, tbl.Revision(), revision)
			require.Equal(t, revision, m.Revision())
			require.Equal(t, tt.cordoned, m.Cordoned(target))
			require.NoError(t, tbl.Restore(nil))
			require.Zero(t, tbl.Revision())
		})
	}
}

// TestCordoned guards against work for an engine whose state differs from its decision, and against cordoning plain
// services.
func TestCordoned(t *testing.T) {
	tbl := NewTable()
	d := desired(camphorhinge.RoleMixed, "m", "n")
	require.Equal(t, codeOK, apply(t, tbl, 1, command{Op: opDecide, Term: 1, Engine: testEngine, Service: testService, Desired: d}))
	tests := []struct {
		name string
		edit func(*camphorhinge.Announcement)
		want bool
	}{
		{"equal in another order", func(*camphorhinge.Announcement) {}, false},
		{"half of the models", func(a *camphorhinge.Announcement) { a.Models = a.Models[:1] }, true},
		{"other role", func(a *camphorhinge.Announcement) { a.Role = camphorhinge.RoleDecode }, true},
		{"an additional adapter", func(a *camphorhinge.Announcement) { a.Adapters = []camphorhinge.AdapterName{"x"} }, true},
		{"busy", func(a *camphorhinge.Announcement) { a.Busy = true }, true},
		{"other service", func(a *camphorhinge.Announcement) { a.Service = "otro" }, true},
		{"unknown engine", func(a *camphorhinge.Announcement) { a.Name = "otro" }, true},
		{"plain service", func(a *camphorhinge.Announcement) { a.Name, a.Kind = "pedidos-1", camphorhinge.KindService }, false},
	}
	m := NewMirror()
	encoded, _ := tbl.Encode()
	require.NoError(t, m.Load(encoded))
	for _, tt := range tests {
		target := &camphorhinge.Target{Announcement: newFakeEngine("", "").a}
		target.Models = []camphorhinge.ModelName{"n", "m"}
		tt.edit(&target.Announcement)
		require.Equal(t, tt.want, tbl.Cordoned(target), tt.name)
		require.Equal(t, tt.want, m.Cordoned(target), tt.name)
	}
}

// lifecyclePage is the page of the documentation that is generated from the tables of transitions.
const lifecyclePage = "../../../docs/lifecycles.md"

// TestTransitions guards against a lifecycle with a state that can't be reached or left, apart from the final states
// of an order, and against a page that differs from the tables. UPDATE_PAGES=1 writes the page.
func TestTransitions(t *testing.T) {
	var out strings.Builder
	require.NoError(t, WriteTransitions(&out))
	if os.Getenv("UPDATE_PAGES") != "" {
		require.NoError(t, os.WriteFile(lifecyclePage, []byte(out.String()), 0o600))
	}
	page, err := os.ReadFile(lifecyclePage)
	require.NoError(t, err)
	require.Equal(t, string(page), out.String())
	reached := map[State]bool{Planned: true}
	for range orderTransitions() {
		for _, x := range orderTransitions() {
			reached[x.to] = reached[x.to] || reached[x.from]
			require.NotContains(t, []State{Done, Refused, Abandoned}, x.from)
		}
	}
	require.Len(t, reached, 9)
	exited := map[EngineState]bool{}
	for _, x := range engineTransitions() {
		exited[x.from] = true
	}
	require.Len(t, exited, 7)
	require.Panics(t, func() { newOrderLifecycle(Planned).fire(EventSent) }, "an order that is not recorded must not be sent")
}
