package workload

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"sync"

	"example.org/camphorhinge"
)

// Meter counts the model requests of one node. It is safe for concurrent use.
type Meter struct {
	node  camphorhinge.NodeID
	start uint64
	clock camphorhinge.Clock

	mu         sync.Mutex
	services   map[camphorhinge.ServiceName]*Amounts
	seq        uint64
	reportedAt camphorhinge.Instant
}

// NewMeter returns a Meter that has counted nothing. The value of start must differ between any two starts of the
// node's process; a random number will do.
func NewMeter(node camphorhinge.NodeID, start uint64, clock camphorhinge.Clock) *Meter {
	return &Meter{
		node: node, start: start, clock: clock, reportedAt: clock.Now(),
		services: map[camphorhinge.ServiceName]*Amounts{},
	}
}

// NextReport returns an encoded report of the amounts since the last call, with at most MaxServices services and
// MaxReport bytes. The caller repeats it until it is acknowledged, and only then requests the next one. A report
// without services is not redundant: it says that there were no requests. Beyond MaxServices, the services with the
// most tokens are reported and the others are kept for the next call.
func (m *Meter) NextReport() []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	m.seq++
	r := report{
		Node: m.node, Start: m.start, Seq: m.seq, Span: now.Sub(m.reportedAt).Milliseconds(),
		Services: map[camphorhinge.ServiceName]Amounts{},
	}
	m.reportedAt = now
	names := slices.SortedFunc(maps.Keys(m.services), func(a, b camphorhinge.ServiceName) int {
		x, y := m.services[a], m.services[b]
		return cmp.Or(cmp.Compare(y.Prompt+y.Output, x.Prompt+x.Output), cmp.Compare(a, b))
	})
	for _, name := range names[:min(len(names), MaxServices)] {
		r.Services[name] = *m.services[name]
		delete(m.services, name)
	}
	data, err := json.Marshal(r)
	if err != nil {
		panic("encode report: " + err.Error()) // A report has only marshalable fields.
	}
	return data
}

// count applies a change to the amounts of a service.
func (m *Meter) count(service camphorhinge.ServiceName, change func(a *Amounts)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.services[service]
	if a == nil {
		a = &Amounts{}
		m.services[service] = a
	}
	change(a)
}

// trackAttempt returns done with the counting of an attempt's result added; the attempt starts now.
func (m *Meter) trackAttempt(req camphorhinge.RouteRequest, done func(camphorhinge.AttemptResult)) func(camphorhinge.AttemptResult) {
	if req.Model == "" {
		return done
	}
	began := m.clock.Now()
	return func(res camphorhinge.AttemptResult) {
		done(res)
		inTime := m.clock.Now().Sub(began) <= req.Deadline
		m.count(req.Service, func(a *Amounts) {
			a.Output += res.Output
			if res.Failed || res.Class != camphorhinge.Run {
				return
			}
			a.MeasuredOutput += res.Output
			if res.Moved {
				return
			}
			a.Completed++
			if inTime {
				a.InTime++
			}
			if res.Output > 0 {
				a.Measured++
			}
		})
	}
}
