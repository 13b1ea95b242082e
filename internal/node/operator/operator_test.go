package operator_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/ut"
	"github.com/stretchr/testify/require"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/node/operator"
	"example.org/camphorhinge/internal/record/schema"
	"example.org/camphorhinge/internal/record/table"
)

const secret = "0123456789abcdef"

// cluster replaces the serve process: writes go to a local table, or fail if fail is set.
type cluster struct {
	operator.RecordReader
	table  *table.Table
	fail   error
	writes int
	query  operator.Query
}

func (c *cluster) Write(_ context.Context, command table.Command) (table.Result, error) {
	c.writes++
	if c.fail != nil {
		return table.Result{}, c.fail
	}
	encoded, err := command.Encode()
	if err != nil {
		return table.Result{}, err
	}
	return table.DecodeResult(c.table.Apply(camphorhinge.Entry{Stamp: 5}, encoded))
}

func (c *cluster) Status(context.Context) (any, error) {
	return map[string]string{"leader": "n1"}, c.fail
}

func (c *cluster) Explain(_ context.Context, q operator.Query) ([]camphorhinge.Decision, error) {
	c.query = q
	return []camphorhinge.Decision{{Seq: 3, Kind: "route"}}, c.fail
}

func tokenFile(t *testing.T) string {
	path := filepath.Join(t.TempDir(), "token")
	require.NoError(t, os.WriteFile(path, []byte(secret+"\n"), 0o600))
	return path
}

func newAPI(t *testing.T, path string) (*operator.API, *cluster) {
	tab := table.New()
	c := &cluster{RecordReader: operator.ReadTable(tab), table: tab}
	api, err := operator.New(operator.Config{TokenFile: path, Writer: c, Reader: c, Status: c, Explain: c, Metrics: metrics.NewSet()})
	require.NoError(t, err)
	return api, c
}

// caller sends requests to an API in memory.
type caller struct {
	t      *testing.T
	engine *server.Hertz
}

func newCaller(t *testing.T, api *operator.API) caller {
	h := server.New()
	api.Register(h.Engine)
	return caller{t: t, engine: h}
}

func (c caller) send(method, path, body string, headers ...ut.Header) (int, string) {
	c.t.Helper()
	if headers == nil {
		headers = []ut.Header{{Key: "Authorization", Value: "Bearer " + secret}}
	}
	w := ut.PerformRequest(c.engine.Engine, method, path, &ut.Body{Body: strings.NewReader(body), Len: len(body)}, headers...)
	return w.Code, w.Body.String()
}

func (c caller) write(path, body string) (int, operator.WriteBody) {
	c.t.Helper()
	code, text := c.send("POST", path, body)
	var out operator.WriteBody
	require.NoError(c.t, json.Unmarshal([]byte(text), &out), text)
	require.Equal(c.t, code == http.StatusOK, out.Error == nil, text)
	return code, out
}

func model(name string, version, context int) string {
	return fmt.Sprintf("---\nschema: 1\nkind: model\nname: %s\nversion: %d\nspec: {weights: w, context: %d}\n", name, version, context)
}

func service(name, path string) string {
	return fmt.Sprintf("---\nschema: 1\nkind: service\nname: %s\nversion: 1\nspec: {type: plain, path: %s}\n", name, path)
}

// Guards against responses that omit the fault, the conflicting write or the result of each record.
func TestWrites(t *testing.T) {
	tooLarge := strings.Repeat("#", operator.MaxBody) + model("a", 1, 1)
	cases := []struct {
		name, path, body string
		fail             error
		code             int
		kind             operator.Kind
		outcomes         []table.Outcome
		field            string
		writes           int
	}{
		{name: "accepted", body: model("b", 1, 1) + model("c", 1, 1), code: 200, outcomes: []table.Outcome{"accepted", "accepted"}, writes: 2},
		{name: "resent", body: model("a", 1, 1), code: 200, outcomes: []table.Outcome{"accepted"}, writes: 1},
		{name: "conflict stops", body: model("a", 1, 9) + model("c", 1, 1), code: 409, kind: operator.KindConflict, outcomes: []table.Outcome{"conflict", "not-tried"}, field: "version", writes: 1},
		{name: "faults", body: model("b", 1, 1) + model("c", 0, 0), code: 422, kind: operator.KindInvalid, field: "version"},
		{name: "newer schema", body: "schema: 3", code: 422, kind: operator.KindInvalid, field: "schema"},
		{name: "no YAML", body: ": [", code: 422, kind: operator.KindInvalid, field: "document"},
		{name: "empty", body: "# nothing\n", code: 422, kind: operator.KindInvalid},
		{name: "clash", body: service("other", "/p"), code: 422, kind: operator.KindInvalid, field: "spec.paths"},
		{name: "resent, clashes with a later record", body: service("s", "/p"), code: 200, outcomes: []table.Outcome{"accepted"}, writes: 1},
		{name: "too large", body: tooLarge, code: 400, kind: operator.KindUsage},
		{name: "dry", path: "?dry=true", body: model("a", 2, 9) + model("a2", 1, 1), code: 200, outcomes: []table.Outcome{"accepted", "accepted"}},
		{name: "dry conflict", path: "?dry=true", body: model("a", 1, 9) + model("c", 1, 1), code: 409, kind: operator.KindConflict, outcomes: []table.Outcome{"conflict", "accepted"}, field: "version"},
		{name: "dry misspelt", path: "?dry=yes", body: model("a", 2, 9), code: 400, kind: operator.KindUsage, field: "dry"},
		{name: "uncertain", body: model("b", 1, 1) + model("c", 1, 1), fail: fmt.Errorf("lost: %w", camphorhinge.ErrUncertain), code: 504, kind: operator.KindUncertain, outcomes: []table.Outcome{"uncertain", "not-tried"}, writes: 1},
		{name: "unavailable", body: model("b", 1, 1), fail: camphorhinge.ErrNotLeader, code: 503, kind: operator.KindUnavailable, outcomes: []table.Outcome{"unavailable"}, writes: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			api, cl := newAPI(t, tokenFile(t))
			call := newCaller(t, api)
			call.write("/v1/records", model("a", 1, 1)+service("s", "/p")+service("t", "/q"))
			cl.writes, cl.fail = 0, c.fail
			code, body := call.write("/v1/records"+c.path, c.body)
			require.Equal(t, c.code, code, "%+v", body.Error)
			var outcomes []table.Outcome
			for _, r := range body.Results {
				outcomes = append(outcomes, r.Outcome)
			}
			require.Equal(t, c.outcomes, outcomes)
			require.Equal(t, c.writes, cl.writes)
			if c.kind != "" {
				require.Equal(t, c.kind, body.Error.Kind)
				require.NotEmpty(t, body.Error.Message)
			}
			if c.field != "" {
				require.Equal(t, c.field, body.Error.Faults[0].Field)
				require.NotEmpty(t, body.Error.Faults[0].Want)
			}
			if c.kind == operator.KindConflict {
				require.EqualValues(t, 1, body.Results[0].Winner.Version)
				require.EqualValues(t, 5, body.Results[0].Winner.Time)
			}
			if c.name == "dry" {
				require.Contains(t, body.Results[0].Changes, schema.Difference{Field: "spec.context", From: "1", To: "9"})
			}
		})
	}
}

// Guards against a withdrawal that hides the record's history, and against accepting a malformed one.
func TestWithdrawAndRead(t *testing.T) {
	api, cl := newAPI(t, tokenFile(t))
	call := newCaller(t, api)
	call.write("/v1/records", model("a", 1, 1)+model("b", 1, 1)+service("s", "/p"))
	for body, kind := range map[string]operator.Kind{
		`{`: operator.KindUsage, `{"kind":"model","name":"a","version":2,"x":1}`: operator.KindUsage,
		`{"kind":"other","name":"a","version":2}`: operator.KindInvalid, `{"kind":"model","name":"A"}`: operator.KindInvalid,
		`{"kind":"model","name":"none","version":2}`: operator.KindAbsent, `{"kind":"model","name":"a","version":1}`: operator.KindConflict,
	} {
		_, out := call.write("/v1/withdraw", body)
		require.Equal(t, kind, out.Error.Kind, body)
	}
	code, _ := call.write("/v1/withdraw", `{"kind":"model","name":"a","version":2}`)
	require.Equal(t, 200, code)

	code, text := call.send("GET", "/v1/records?kind=model", "")
	require.Equal(t, 200, code)
	var list operator.RecordsBody
	require.NoError(t, json.Unmarshal([]byte(text), &list))
	require.EqualValues(t, 4, list.Revision)
	require.Len(t, list.Records, 1)
	require.Equal(t, "b", list.Records[0].Name)
	code, text = call.send("GET", "/v1/records/model/a", "")
	require.Equal(t, 200, code)
	var one operator.RecordBody
	require.NoError(t, json.Unmarshal([]byte(text), &one))
	require.True(t, one.Withdraw)
	require.Len(t, one.History, 2)
	code, text = call.send("GET", "/v1/records/model/b", "")
	require.Equal(t, 200, code)
	require.Contains(t, text, "context: 1")
	for path, want := range map[string]int{
		"/v1/records/model/none": 404, "/v1/records?kind=x": 400, "/none": 404, "/v1/explain?limit=1001": 400, "/v1/explain?after=-1": 400,
		"/v1/status": 200, "/v1/explain?kind=route&subject=r&after=2&limit=5": 200, "/metrics": 200,
	} {
		code, text := call.send("GET", path, "")
		require.Equal(t, want, code, path)
		if want != 200 {
			var body operator.ErrorBody
			require.NoError(t, json.Unmarshal([]byte(text), &body), text)
			require.NotEmpty(t, body.Error.Message)
		}
	}
	require.Equal(t, operator.Query{Kind: "route", Subject: "r", After: 2, Limit: 5}, cl.query)
	_, text = call.send("GET", "/metrics", "")
	require.Contains(t, text, `camphorhinge_record_writes_total{outcome="accepted"} 4`)
	require.Contains(t, text, "process_")
	cl.fail = errors.New("no leader")
	for _, path := range []string{"/v1/status", "/v1/explain"} {
		code, _ := call.send("GET", path, "")
		require.Equal(t, 503, code, path)
	}
}

// Guards against accepting requests without the operator's token, and against a token that stays valid after the file
// has changed.
func TestToken(t *testing.T) {
	path := tokenFile(t)
	api, cl := newAPI(t, path)
	call := newCaller(t, api)
	get := func(value string) int {
		code, _ := call.send("GET", "/v1/status", "", ut.Header{Key: "Authorization", Value: value})
		return code
	}
	for _, bad := range []string{"", "Bearer", "Bearer ", secret, "Bearer " + secret + "x", "Bearer " + secret[1:], "Basic " + secret} {
		require.Equal(t, 401, get(bad), bad)
	}
	for _, route := range []string{"GET /metrics", "GET /v1/records", "POST /v1/records", "POST /v1/withdraw", "GET /none"} {
		method, target, _ := strings.Cut(route, " ")
		code, _ := call.send(method, target, model("a", 1, 1), ut.Header{Key: "Authorization", Value: "Bearer x"})
		require.Equal(t, 401, code, route)
	}
	require.Zero(t, cl.writes)
	require.Equal(t, 200, get("Bearer "+secret))

	next := path + ".next"
	require.NoError(t, os.WriteFile(next, []byte("fedcba9876543210"), 0o600))
	require.NoError(t, os.Rename(next, path))
	require.Equal(t, 401, get("Bearer "+secret))
	require.Equal(t, 200, get("Bearer fedcba9876543210"))
	require.NoError(t, os.Truncate(path, 0))
	require.Equal(t, 503, get("Bearer "), "an empty file grants access to no one")
	require.NoError(t, os.Remove(path))
	require.Equal(t, 503, get("Bearer fedcba9876543210"))
	require.NoError(t, os.WriteFile(path, []byte(secret), 0o600))
	require.Equal(t, 200, get("Bearer "+secret))

	_, err := operator.New(operator.Config{TokenFile: "none", Writer: cl, Reader: cl, Status: cl, Explain: cl, Metrics: metrics.NewSet()})
	require.Error(t, err)
	_, err = operator.New(operator.Config{TokenFile: path})
	require.Error(t, err)
}
