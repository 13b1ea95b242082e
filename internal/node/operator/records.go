package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/cloudwego/hertz/pkg/app"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/record/schema"
	"example.org/camphorhinge/internal/record/table"
)

// usage returns an error about one part of a request.
func usage(op, field, want, got string) *Error {
	faults := schema.Faults{{Field: field, Want: want, Got: got}}
	return &Error{Op: op, Kind: KindUsage, Err: faults, Message: faults.Error(), Faults: faults}
}

func (a *API) apply(ctx context.Context, rc *app.RequestContext) (any, error) {
	dry := false
	switch text := rc.Query("dry"); text {
	case "", "false":
	case "true":
		dry = true
	default:
		return nil, usage("apply", "dry", "true or false", text)
	}
	docs, err := schema.DecodeAll(rc.Request.Body())
	if err != nil {
		return nil, refusal(err)
	}
	view, err := a.cfg.Reader.View(ctx)
	if err != nil {
		return nil, err
	}
	histories := make([][]table.Write, len(docs))
	var faults schema.Faults
	for i, doc := range docs {
		if histories[i], err = a.cfg.Reader.History(ctx, doc.Key); err != nil {
			return nil, err
		}
		// A resend is answered as the first time, whatever was written since.
		if n := len(histories[i]); n > 0 && doc.Version <= histories[i][n-1].Version {
			continue
		}
		for _, f := range view.Conflicts(doc) {
			f.Document = i + 1
			faults = append(faults, f)
		}
	}
	if len(faults) > 0 {
		return nil, refusal(faults)
	}
	results := make([]WriteResult, len(docs))
	commands := make([]table.Command, len(docs))
	for i, doc := range docs {
		commands[i] = table.WriteCommand(doc)
		results[i] = WriteResult{Key: doc.Key, Version: doc.Version, Unknown: doc.Unknown, Result: table.Result{Outcome: NotTried}}
	}
	if dry {
		return preview(view, histories, commands, results)
	}
	return a.write(ctx, commands, results)
}

// refusal returns the error for an input that can't be decoded.
func refusal(err error) *Error {
	e := newError("apply", KindInvalid, err)
	var faults schema.Faults
	if errors.As(err, &faults) {
		e.Faults = faults
	}
	return e
}

// preview tells the effect of each record by itself.
func preview(view *table.View, histories [][]table.Write, commands []table.Command, results []WriteResult) (any, error) {
	var first *Error
	for i, c := range commands {
		r := &results[i]
		r.Result = table.Preview(histories[i], c)
		if r.Outcome != table.Accepted {
			if first == nil {
				first = lost(*r)
			}
			continue
		}
		if r.Repeated {
			continue
		}
		var now []byte
		if record := view.Record(c.Key); record != nil {
			now = record.Raw
		}
		changes, err := schema.Diff(now, c.Raw)
		if err != nil {
			return nil, newError("compare", KindInternal, err)
		}
		r.Changes = changes
	}
	body := WriteBody{Dry: true, Results: results, Error: first}
	if first != nil {
		return body, first
	}
	return body, nil
}

// write writes the commands in order and stops at the first that is not accepted; since a resend of an accepted write
// succeeds, the operator may send all of them again.
func (a *API) write(ctx context.Context, commands []table.Command, results []WriteResult) (any, error) {
	for i, c := range commands {
		result, err := a.cfg.Writer.Write(ctx, c)
		outcome := string(result.Outcome)
		var own *Error
		switch {
		case err != nil:
			kind := KindUnavailable
			if errors.Is(err, camphorhinge.ErrUncertain) {
				kind = KindUncertain
			}
			own = newError("write", kind, fmt.Errorf("%s: %w", c.Key, err))
			outcome = string(own.Kind)
			results[i].Outcome = table.Outcome(outcome)
		case result.Outcome != table.Accepted:
			results[i].Result = result
			own = lost(results[i])
		default:
			results[i].Result = result
		}
		a.cfg.Metrics.GetOrCreateCounter(fmt.Sprintf("camphorhinge_record_writes_total{outcome=%q}", outcome)).Inc()
		if own != nil {
			return WriteBody{Results: results, Error: own}, own
		}
	}
	return WriteBody{Results: results}, nil
}

// lost returns the error for a write that was not accepted.
func lost(r WriteResult) *Error {
	switch r.Outcome {
	case table.Conflict:
		w := r.Winner
		what := "the write with digest " + string(w.Digest)
		if w.Withdraw {
			what = "the withdrawal"
		}
		err := fmt.Errorf("%s version %d: %s of version %d won, at revision %d", r.Key, r.Version, what, w.Version, w.Revision)
		e := newError("write", KindConflict, err)
		e.Faults = schema.Faults{{Field: "version", Want: "a version above all earlier ones", Got: fmt.Sprint(r.Version)}}
		return e
	case table.Absent:
		return newError("write", KindAbsent, fmt.Errorf("%s was never written", r.Key))
	}
	return newError("write", KindInvalid, fmt.Errorf("%s: %s: %s", r.Key, r.Outcome, r.Message))
}

func (a *API) withdraw(ctx context.Context, rc *app.RequestContext) (any, error) {
	var w Withdrawal
	d := json.NewDecoder(bytes.NewReader(rc.Request.Body()))
	d.DisallowUnknownFields()
	if err := d.Decode(&w); err != nil {
		return nil, usage("withdraw", "body", `JSON with kind, name and version`, err.Error())
	}
	var faults schema.Faults
	if !slices.Contains(schema.Kinds(), w.Kind) {
		faults = append(faults, schema.Fault{Field: "kind", Want: "one of adapter, model, service, workspace", Got: string(w.Kind)})
	} else if !schema.ValidKey(w.Key) {
		faults = append(faults, schema.Fault{Field: "name", Want: "the name of a record", Got: w.Name})
	}
	if w.Version == 0 {
		faults = append(faults, schema.Fault{Field: "version", Want: "a whole number from 1, above the record's version"})
	}
	if len(faults) > 0 {
		return nil, refusal(faults)
	}
	results := []WriteResult{{Key: w.Key, Version: w.Version}}
	return a.write(ctx, []table.Command{table.WithdrawCommand(w.Key, w.Version)}, results)
}

func (a *API) list(ctx context.Context, rc *app.RequestContext) (any, error) {
	kind := schema.Kind(rc.Query("kind"))
	if kind != "" && !slices.Contains(schema.Kinds(), kind) {
		return nil, usage("list", "kind", "one of adapter, model, service, workspace", string(kind))
	}
	view, err := a.cfg.Reader.View(ctx)
	if err != nil {
		return nil, err
	}
	body := RecordsBody{Revision: view.Revision(), Records: []RecordBody{}}
	for _, r := range view.Records() {
		if kind == "" || r.Kind == kind {
			body.Records = append(body.Records, RecordBody{Key: r.Key, Write: r.Write, Undecoded: r.DecodeError})
		}
	}
	return body, nil
}

func (a *API) get(ctx context.Context, rc *app.RequestContext) (any, error) {
	key := schema.Key{Kind: schema.Kind(rc.Param("kind")), Name: rc.Param("name")}
	// The history is read first: a write in between is then missing in it, but does not contradict the record.
	history, err := a.cfg.Reader.History(ctx, key)
	if err != nil {
		return nil, err
	}
	if len(history) == 0 {
		return nil, newError("get", KindAbsent, fmt.Errorf("%s was never written", key))
	}
	view, err := a.cfg.Reader.View(ctx)
	if err != nil {
		return nil, err
	}
	body := RecordBody{Key: key, Write: history[len(history)-1], History: history}
	if r := view.Record(key); r != nil {
		body.Write, body.Document, body.Undecoded = r.Write, string(r.Raw), r.DecodeError
	}
	return body, nil
}

var _ RecordReader = tableReader{}

// tableReader reads a table on this process.
type tableReader struct{ table *table.Table }

// ReadTable returns a RecordReader of a table on the same process, for a leader that checks its lease itself.
func ReadTable(t *table.Table) RecordReader { return tableReader{table: t} }

// View implements RecordReader.
func (r tableReader) View(context.Context) (*table.View, error) { return r.table.View(), nil }

// History implements RecordReader.
func (r tableReader) History(_ context.Context, key schema.Key) ([]table.Write, error) {
	return r.table.History(key), nil
}
