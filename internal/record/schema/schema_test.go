package schema_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/record/schema"
)

const keyDigest = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"

func decode(t *testing.T, text string) *schema.Document {
	t.Helper()
	doc, err := schema.Decode([]byte(text))
	require.NoError(t, err)
	return doc
}

// Guards against equivalent records of the two schema versions that decode to different values.
func TestSchemaVersionsDecodeAlike(t *testing.T) {
	lima, err := time.LoadLocation("America/Lima")
	require.NoError(t, err)
	cases := []struct {
		name, text string
		want       any
	}{
		{
			"model 1", "schema: 1\nkind: model\nname: m\nversion: 3\nspec: {weights: w/1, context: 8, adapters: [a]}",
			&schema.Model{Name: "m", Weights: schema.Weights{ID: "w/1"}, Context: 8, Adapters: []camphorhinge.AdapterName{"a"}},
		},
		{
			"model 2", "schema: 2\nkind: model\nname: m\nversion: 3\nspec: {weights: {id: w, digest: " + keyDigest + ", bytes: 5}, context: 8}",
			&schema.Model{Name: "m", Weights: schema.Weights{ID: "w", Digest: keyDigest, Bytes: 5}, Context: 8},
		},
		{
			"adapter 1", "schema: 1\nkind: adapter\nname: a\nversion: 1\nspec: {model: m, weights: w}",
			&schema.Adapter{Name: "a", Model: "m", Weights: schema.Weights{ID: "w"}},
		},
		{
			"model service 1",
			"schema: 1\nkind: service\nname: s\nversion: 1\nspec: {type: model, models: [m], prefill: 2, decode: 3, mixed: 1," +
				" weigh: {goodput: 2.5}, quiet: ['23:00-01:30'], unfenced: true, deadline: 1500, priority: 0}",
			&schema.Service{
				Name: "s", Type: schema.TypeModel, Deadline: 1500 * time.Millisecond, Models: []camphorhinge.ModelName{"m"},
				Floors: schema.Floors{Prefill: 2, Decode: 3, Mixed: 1}, Objective: schema.ObjectiveWeights{Goodput: 2.5, Changes: 1}, Unfenced: true,
				Quiet: []schema.Window{{From: 23 * time.Hour, To: 90 * time.Minute, Zone: time.UTC}},
			},
		},
		{
			"model service 2",
			"schema: 2\nkind: service\nname: s\nversion: 1\nspec: {type: model, models: [m], roles: {prefill: {floor: 2}, decode: {floor: 3}}," +
				" quiet: [{from: '04:30', to: '05:30', zone: America/Lima}]}",
			&schema.Service{
				Name: "s", Type: schema.TypeModel, Priority: 5, Deadline: time.Minute, Models: []camphorhinge.ModelName{"m"},
				Floors: schema.Floors{Prefill: 2, Decode: 3}, Objective: schema.ObjectiveWeights{Goodput: 1, Changes: 1},
				Quiet: []schema.Window{{From: 270 * time.Minute, To: 330 * time.Minute, Zone: lima}},
			},
		},
		{
			"plain service 1", "schema: 1\nkind: service\nname: s\nversion: 1\nspec: {type: plain, path: /p/, idempotent: [PUT, GET]}",
			&schema.Service{
				Name: "s", Type: schema.TypePlain, Priority: 5, Deadline: time.Minute,
				Paths: []string{"/p"}, Idempotent: []string{"GET", "PUT"},
			},
		},
		{
			"plain service 2", "schema: 2\nkind: service\nname: s\nversion: 1\nspec: {type: plain, paths: [/, /q]}",
			&schema.Service{
				Name: "s", Type: schema.TypePlain, Priority: 5, Deadline: time.Minute,
				Paths: []string{"/", "/q"}, Idempotent: []string{"DELETE", "GET", "HEAD", "OPTIONS", "PUT"},
			},
		},
		{
			"workspace 1", "schema: 1\nkind: workspace\nname: w\nversion: 1\nspec: {key: " + keyDigest + ", limits: {requests: 2, tokens: 30}}",
			&schema.Workspace{
				Name: "w", Key: schema.DigestKey("test"), Ceiling: 5, Limits: map[camphorhinge.Priority]schema.Limit{0: {Requests: 2, Tokens: 30}},
			},
		},
		{
			"workspace 2", "schema: 2\nkind: workspace\nname: w\nversion: 1\nspec: {key: " + keyDigest + ", priority: 9, limits: {3: {tokens: 30}}}",
			&schema.Workspace{
				Name: "w", Key: schema.DigestKey("test"), Ceiling: 9, Limits: map[camphorhinge.Priority]schema.Limit{3: {Tokens: 30}},
			},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			doc := decode(t, c.text)
			switch doc.Kind {
			case schema.KindModel:
				require.Equal(t, c.want, doc.Model)
			case schema.KindAdapter:
				require.Equal(t, c.want, doc.Adapter)
			case schema.KindService:
				require.Equal(t, c.want, doc.Service)
			case schema.KindWorkspace:
				require.Equal(t, c.want, doc.Workspace)
			}
			require.Empty(t, doc.Unknown)
			require.Equal(t, c.text, string(doc.Raw))
		})
	}
}

// Guards against an error that reports only the first fault, and against invalid values that are accepted.
func TestFaults(t *testing.T) {
	cases := []struct {
		name, text string
		kind       schema.ErrorKind
		fields     []string
	}{
		{
			"all at once", "schema: 2\nkind: model\nname: A\nversion: 0\nspec: {weights: {id: '', bytes: -1}, adapters: [x, x, 7]}", schema.KindInvalid,
			[]string{"name", "version", "spec.weights.id", "spec.weights.digest", "spec.weights.bytes", "spec.adapters[1]", "spec.adapters[2]", "spec.context"},
		},
		{"empty", "{}", schema.KindInvalid, []string{"schema"}},
		{"required fields", "schema: 1", schema.KindInvalid, []string{"kind", "name", "version", "spec"}},
		{"newer schema", "schema: 3\nkind: model", schema.KindUnknownSchema, []string{"schema"}},
		{"schema text", "schema: '1'", schema.KindUnknownSchema, []string{"schema"}},
		{"service type", "schema: 1\nkind: service\nname: s\nversion: 1\nspec: {type: other}", schema.KindInvalid, []string{"spec.type"}},
		{
			"model service", "schema: 1\nkind: service\nname: s\nversion: 1\nspec: {type: model, models: [], priority: 10, prefill: -1," +
				" weigh: {goodput: 0, changes: 0}, quiet: ['1:00-2:00', '01:00-01:00', 5, '24:00-01:00'], unfenced: 1, deadline: 0}", schema.KindInvalid,
			[]string{"spec.priority", "spec.deadline", "spec.models", "spec.prefill", "spec.weigh", "spec.unfenced", "spec.quiet[0]", "spec.quiet[1]", "spec.quiet[2]", "spec.quiet[3]"},
		},
		{
			"windows", "schema: 2\nkind: service\nname: s\nversion: 1\nspec: {type: model, models: [m], quiet: [{from: '1', zone: Nowhere}, x, {from: '01:00', to: '01:00'}, {from: '01:00', to: '02:00', zone: Local}]}",
			schema.KindInvalid,
			[]string{"spec.quiet[0].from", "spec.quiet[0].to", "spec.quiet[0].zone", "spec.quiet[1]", "spec.quiet[2]", "spec.quiet[3].zone"},
		},
		{
			"paths", "schema: 2\nkind: service\nname: s\nversion: 1\nspec: {type: plain, paths: [a, /a/../b, //a, '/a?b', '/a%2fb', '/a b', /ok], idempotent: [get]}", schema.KindInvalid,
			[]string{"spec.paths[0]", "spec.paths[1]", "spec.paths[2]", "spec.paths[3]", "spec.paths[4]", "spec.paths[5]", "spec.idempotent[0]"},
		},
		{
			"workspace", "schema: 2\nkind: workspace\nname: w\nversion: 1\nspec: {key: AB, limits: {'10': {}, '03': {}, '1': {requests: -1}, '2': 4}}", schema.KindInvalid,
			[]string{"spec.key", "spec.limits.03", "spec.limits.1.requests", "spec.limits.10", "spec.limits.2"},
		},
		{"second document", "schema: 1\nkind: adapter\nname: a\nversion: 1\nspec: {model: m, weights: w}\n---\nschema: 9\n---\n: [\n", schema.KindInvalid, []string{"schema", "document"}},
		{"record twice", strings.Repeat("---\nschema: 1\nkind: adapter\nname: a\nversion: 1\nspec: {model: m, weights: w}\n", 2), schema.KindInvalid, []string{"name"}},
		{"field twice", "schema: 1\nschema: 2\n", schema.KindSyntax, []string{"document"}},
		{"JSON field twice", `{"schema": 1, "schema": 1}`, schema.KindSyntax, []string{"document"}},
		{"list", "[1]", schema.KindSyntax, []string{"document"}},
		{"too deep", strings.Repeat("{a: ", 100) + strings.Repeat("}", 100), schema.KindSyntax, []string{"document"}},
		{"too large", "a: " + strings.Repeat("x", schema.MaxDocumentBytes), schema.KindSize, []string{"document"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := schema.DecodeAll([]byte(c.text))
			var schemaErr *schema.Error
			require.ErrorAs(t, err, &schemaErr)
			require.Equal(t, c.kind, schemaErr.Kind, "%v", err)
			var faults schema.Faults
			require.ErrorAs(t, err, &faults)
			var got []string
			for _, f := range faults {
				require.NotEmpty(t, f.Want)
				got = append(got, f.Field)
			}
			require.Equal(t, c.fields, got)
		})
	}
	_, err := schema.Decode([]byte("schema: 1\nkind: model\nname: no\nversion: 1\nspec: {weights: w, context: 1}"))
	require.ErrorContains(t, err, "in quotes, got false")
	_, err = schema.Decode([]byte("schema: 3"))
	require.ErrorContains(t, err, "from 1 to 2")
	_, err = schema.DecodeAll([]byte(strings.Repeat("---\na: 1\n", schema.MaxDocuments+1)))
	var schemaErr *schema.Error
	require.ErrorAs(t, err, &schemaErr)
	require.Equal(t, schema.KindSize, schemaErr.Kind)
}

// Guards against a resend that counts as a different document because its formatting differs.
func TestDigestIgnoresFormatting(t *testing.T) {
	want := decode(t, "schema: 1\nkind: model\nname: m\nversion: 1\nspec: {weights: w, context: 8, x: 0.5}").Digest
	for _, text := range []string{
		"# comment\nspec:\n  x: 5e-1\n  context: 8.0\n  weights: \"w\"\nversion: 1\nname: m\nkind: model\nschema: 1\n",
		"{\"schema\":1,\t\"kind\":\"model\",\"name\":\"m\",\"version\":1e0,\"spec\":{\"weights\":\"\\u0077\",\"context\":8,\"x\":0.50}}",
	} {
		require.Equal(t, want, decode(t, text).Digest, text)
	}
	require.NotEqual(t, want, decode(t, "schema: 1\nkind: model\nname: m\nversion: 1\nspec: {weights: w, context: 8, x: 0.6}").Digest)
}

// Guards against an older program version that drops fields of a newer record, or digits of a large number.
func TestRewriteKeepsUnknownFields(t *testing.T) {
	for _, text := range []string{
		"schema: 3\nkind: service\nname: s\nversion: 1\nextra: {a: [1, {b: null}]}\nspec: {type: model, models: [m], later: 9007199254740993, old: 1}",
		`{"schema": 2, "kind": "service", "name": "s", "version": 1, "extra": {"a": [1, {"b": null}]}, "spec": {"type": "model", "models": ["m"], "later": 9007199254740993, "old": 1}}`,
	} {
		out, err := schema.Rewrite([]byte(text), []schema.Change{
			{Field: "version", Value: 2}, {Field: "spec.weigh.goodput", Value: 2.5}, {Field: "spec.old"}, {Field: "spec.none.none"},
		})
		require.NoError(t, err)
		diff, err := schema.Diff([]byte(text), out)
		require.NoError(t, err)
		require.Equal(t, []schema.Difference{
			{Field: "spec.old", From: "1"}, {Field: "spec.weigh.goodput", To: "2.5"}, {Field: "version", From: "1", To: "2"},
		}, diff)
		require.Equal(t, text[0] == '{', out[0] == '{', "JSON stays JSON")
	}
	text := []byte("schema: 2\nkind: service\nname: s\nversion: 1\nspec: {type: plain, paths: [/a], later: 1}")
	require.Equal(t, []string{"spec.later"}, decode(t, string(text)).Unknown)
	for _, c := range []schema.Change{{Field: "spec.priority", Value: 10}, {Field: "spec.type.x", Value: 1}} {
		_, err := schema.Rewrite(text, []schema.Change{c})
		var faults schema.Faults
		require.True(t, errors.As(err, &faults), c.Field)
	}
}

// Guards against quiet windows with a wrong time zone, wrong boundaries, or errors at midnight.
func TestQuietWindow(t *testing.T) {
	s := decode(t, "schema: 2\nkind: service\nname: s\nversion: 1\nspec: {type: model, models: [m], quiet: [{from: '04:30', to: '05:30', zone: America/Lima}, {from: '23:00', to: '00:10'}]}").Service
	for at, want := range map[string]bool{
		"2026-12-04T09:29:59Z": false, "2026-12-04T09:30:00Z": true, "2026-12-04T10:29:59Z": true, "2026-12-04T10:30:00Z": false,
		"2026-12-04T22:59:59Z": false, "2026-12-04T23:00:00Z": true, "2026-12-05T00:09:59Z": true, "2026-12-05T00:10:00Z": false,
	} {
		instant, err := time.Parse(time.RFC3339, at)
		require.NoError(t, err)
		require.Equal(t, want, s.QuietAt(instant), at)
	}
}

// Guards against a priority that is exempt from its workspace's limits because it has no entry.
func TestLimitOf(t *testing.T) {
	w := schema.Workspace{Limits: map[camphorhinge.Priority]schema.Limit{2: {Requests: 2}, 7: {Requests: 7}}}
	for p, want := range map[camphorhinge.Priority]camphorhinge.Priority{0: 2, 2: 2, 6: 2, 7: 7, 9: 7} {
		bucket, limit, ok := w.LimitOf(p)
		require.True(t, ok)
		require.Equal(t, want, bucket)
		require.InDelta(t, float64(want), limit.Requests, 0)
	}
	_, _, ok := (&schema.Workspace{}).LimitOf(3)
	require.False(t, ok)
}

// Guards against example records that fail validation.
func TestExamples(t *testing.T) {
	for customer, want := range map[string]int{"tablas-del-desierto": 8, "kiosco-andino": 7} {
		files, err := filepath.Glob(filepath.Join("../../../examples", customer, "*.yaml"))
		require.NoError(t, err)
		count := 0
		for _, file := range files {
			text, err := os.ReadFile(file)
			require.NoError(t, err)
			docs, err := schema.DecodeAll(text)
			require.NoError(t, err, file)
			for _, doc := range docs {
				require.Empty(t, doc.Unknown, file)
			}
			count += len(docs)
		}
		require.Equal(t, want, count, customer)
	}
}

// Guards against a panic on malformed input, and against a document that changes when it is decoded again from storage
// or whose digest changes when it is rewritten.
func FuzzDecode(f *testing.F) {
	files, _ := filepath.Glob("../../../examples/*/*.yaml")
	for _, file := range files {
		text, err := os.ReadFile(file)
		require.NoError(f, err)
		f.Add(text)
	}
	f.Add([]byte(`{"schema":1,"kind":"model","name":"m","version":1,"spec":{"weights":"w","context":8}}`))
	f.Add([]byte("a: &a [1]\nb: *a\nc: 0x1f\nd: .inf\n"))
	f.Fuzz(func(t *testing.T, stream []byte) {
		docs, err := schema.DecodeAll(stream)
		if err != nil {
			return
		}
		for _, doc := range docs {
			again, err := schema.Decode(doc.Raw)
			require.NoError(t, err)
			require.Equal(t, doc, again)
			out, err := schema.Rewrite(doc.Raw, nil)
			require.NoError(t, err)
			rewritten, err := schema.Decode(out)
			require.NoError(t, err)
			require.Equal(t, doc.Digest, rewritten.Digest)
		}
	})
}
