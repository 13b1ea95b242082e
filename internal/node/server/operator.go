package server

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/node/control"
	"example.org/camphorhinge/internal/node/operator"
	"example.org/camphorhinge/internal/node/status"
	"example.org/camphorhinge/internal/node/web"
	"example.org/camphorhinge/internal/record/schema"
	"example.org/camphorhinge/internal/record/table"
)

// Names of the linearizable queries.
const (
	queryRecords = "records"
	queryHistory = "history"
	queryStatus  = "status"
)

// resendPause is the pause before a write of uncertain outcome is sent again.
const resendPause = 50 * time.Millisecond

func (s *Server) openOperatorPort() error {
	api, err := operator.New(operator.Config{
		TokenFile: s.cfg.OperatorToken, Writer: recordWriter{s.client}, Reader: recordReader{s.client}, Status: s, Explain: s, Metrics: s.metrics,
	})
	if err != nil {
		return err
	}
	s.operatorPort, err = web.New(web.Config{Address: s.cfg.OperatorListen, MaxBody: operator.HTTPBody, Options: operator.Options()})
	if err != nil {
		return err
	}
	api.Register(s.operatorPort.Hertz.Engine)
	return nil
}

// recordWriter commits record commands through the leader; it implements operator.RecordWriter.
type recordWriter struct{ client *control.Client }

// Write returns the result once the write is in force on all nodes. A write of uncertain outcome is sent again until
// ctx ends; writing the same version and content again has the same result.
func (w recordWriter) Write(ctx context.Context, c table.Command) (table.Result, error) {
	command, err := c.Encode()
	if err != nil {
		return table.Result{}, err
	}
	for resent := false; ; resent = true {
		result, err := w.client.Propose(ctx, camphorhinge.CommandRecord, command)
		if err == nil {
			r, err := table.DecodeResult(result)
			r.Repeated = r.Repeated && !resent // After a resend, the earlier write may be one of this call.
			return r, err
		}
		if !errors.Is(err, camphorhinge.ErrUncertain) {
			return table.Result{}, err
		}
		select {
		case <-ctx.Done():
			return table.Result{}, err
		case <-time.After(resendPause):
		}
	}
}

// recordReader reads records from the leader; it implements operator.RecordReader.
type recordReader struct{ client *control.Client }

// View returns the records in force.
func (r recordReader) View(ctx context.Context) (*table.View, error) {
	data, err := r.client.Read(ctx, queryRecords, nil)
	if err != nil {
		return nil, err
	}
	var all table.Changes
	if err := json.Unmarshal(data, &all); err != nil {
		return nil, err
	}
	m := table.NewMirror()
	if _, err := m.Apply(all); err != nil {
		return nil, err
	}
	return m.View(), nil
}

// History returns the retained writes of a record.
func (r recordReader) History(ctx context.Context, key schema.Key) ([]table.Write, error) {
	args, err := json.Marshal(key)
	if err != nil {
		return nil, err
	}
	data, err := r.client.Read(ctx, queryHistory, args)
	if err != nil {
		return nil, err
	}
	var writes []table.Write
	err = json.Unmarshal(data, &writes)
	return writes, err
}

// queries returns the handlers of the linearizable reads, by name.
func (s *Server) queries(t *table.Table) map[string]control.Query {
	return map[string]control.Query{
		queryRecords: func([]byte) ([]byte, error) { return json.Marshal(t.Since(0, true)) },
		queryHistory: func(args []byte) ([]byte, error) {
			var key schema.Key
			if err := json.Unmarshal(args, &key); err != nil {
				return nil, err
			}
			return json.Marshal(t.History(key))
		},
		queryRouting:  s.routingQuery,
		queryVersions: s.versionsQuery,
		queryNewest:   s.newestQuery,
		queryStatus:   func([]byte) ([]byte, error) { return json.Marshal(s.localStatus()) },
	}
}

// Explain implements operator.Explainer.
func (s *Server) Explain(_ context.Context, q operator.Query) ([]camphorhinge.Decision, error) {
	found := s.ring.Find(q.Kind, q.Subject, q.Limit)
	found = slices.DeleteFunc(found, func(d camphorhinge.Decision) bool { return q.After > 0 && d.Seq <= q.After })
	slices.Reverse(found)
	return found, nil
}

// Status implements operator.StatusSource. It returns the local status, with the cluster-wide fields from the leader if
// it responds.
func (s *Server) Status(ctx context.Context) (any, error) {
	own := s.localStatus()
	data, err := s.client.Read(ctx, queryStatus, nil)
	if errors.Is(err, context.Canceled) {
		return nil, err
	}
	if err != nil {
		return own, nil // Without a leader, only the local status is available.
	}
	var leader status.Status
	if err := json.Unmarshal(data, &leader); err != nil {
		return nil, err
	}
	own.Leader, own.Nodes, own.Repaired, own.Cluster = leader.Node, leader.Nodes, leader.Repaired, leader.Cluster
	return own, nil
}

// localStatus returns the status of this node from its own state, without a call to the leader.
func (s *Server) localStatus() *status.Status {
	st := &status.Status{
		Node: s.cfg.Node, Zone: s.cfg.Zone, Configuration: string(s.lease.State()), Revision: s.mirror.View().Revision(),
		Stale: s.lease.Age().Milliseconds(), Stopping: s.configuration != nil && s.configuration.stopping.Load(),
	}
	now := s.clock.Now()
	for _, t := range s.registry.All() {
		one := targetStatus(t, now)
		one.Note = s.orderNote(t)
		st.Targets = append(st.Targets, one)
	}
	if s.durable != nil {
		s.durable.fillStatus(st)
		return st
	}
	for _, n := range s.renewer.Nodes() {
		st.Nodes = append(st.Nodes, status.Node{Name: n.Name, Address: n.Address, Zone: n.Zone, Replica: n.Replica})
	}
	return st
}

// orderNote returns a note for an engine that ignores fencing tokens and has no other protection against late orders:
// why it gets no orders, or which risk the operator accepts. For other targets it returns "".
func (s *Server) orderNote(t *camphorhinge.Target) string {
	if t.Kind != camphorhinge.KindEngine || t.Fencing == camphorhinge.FencingChecked || t.Orders != camphorhinge.OrdersPlain {
		return ""
	}
	if svc := s.mirror.View().Service(t.Service); svc != nil && svc.Unfenced {
		return "orders allowed without fencing: a late order may take effect"
	}
	return "no orders: the engine ignores fencing tokens and has no other protection"
}
