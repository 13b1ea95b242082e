package engine

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"example.org/camphorhinge"
)

// orderPosition ranks orders: by the fencing token, then by the sequence.
type orderPosition struct {
	fence camphorhinge.Term
	seq   camphorhinge.Sequence
}

func (p orderPosition) less(q orderPosition) bool {
	return cmp.Or(cmp.Compare(p.fence, q.fence), cmp.Compare(p.seq, q.seq)) < 0
}

// offlineDelay leaves time to send the answer to an order before connections are reset.
const offlineDelay = 50 * time.Millisecond

// Expect is the condition of an order: the incarnation and revision that the sender last read from the engine.
type Expect struct {
	Incarnation camphorhinge.Incarnation `json:"incarnation"`
	Revision    uint64                   `json:"revision"`
}

// Order is the body of POST /v1/orders and of POST /v1/orders/prepare, which uses Fence and Seq only.
type Order struct {
	Fence    camphorhinge.Term          `json:"fence"`
	Seq      camphorhinge.Sequence      `json:"seq"`
	Expect   *Expect                    `json:"expect,omitempty"`
	Role     camphorhinge.Role          `json:"role,omitempty"`
	Models   []camphorhinge.ModelName   `json:"models,omitempty"`
	Adapters []camphorhinge.AdapterName `json:"adapters,omitempty"`
	Nonce    string                     `json:"nonce,omitempty"`
}

// OrderAnswer is the answer to an order or a prepare.
type OrderAnswer struct {
	// State is changing, done or refused.
	State       string                   `json:"state"`
	Error       string                   `json:"error,omitempty"`
	Incarnation camphorhinge.Incarnation `json:"incarnation"`
	Revision    uint64                   `json:"revision"`
	Nonce       string                   `json:"nonce,omitempty"`
}

// Values of OrderAnswer.State and LastOrder.State.
const (
	StateChanging = "changing"
	StateDone     = "done"
	StateRefused  = "refused"
)

// Reasons for which an order is refused.
const (
	ReasonFence     = "fence"
	ReasonCondition = "condition"
	ReasonNonce     = "nonce"
	ReasonBusy      = "busy"
)

// prepare issues a single-use nonce and voids earlier ones.
func (e *Engine) prepare(o Order) OrderAnswer {
	e.mu.Lock()
	defer e.mu.Unlock()
	position := orderPosition{o.Fence, o.Seq}
	if e.cfg.Fencing == camphorhinge.FencingChecked && position.less(e.state.highest) {
		return e.refuse("prepare", o, ReasonFence)
	}
	e.raiseFence(position)
	e.state.nonce = fmt.Sprintf("%016x", e.rng.Uint64())
	e.recordOrder("prepare", o, "taken")
	a := e.answer(StateDone)
	a.Nonce = e.state.nonce
	return a
}

// order accepts an order, or refuses it with a reason. The revision rises at once; a change takes effect after its
// duration.
func (e *Engine) order(o Order) OrderAnswer {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := &e.state
	position := orderPosition{o.Fence, o.Seq}
	checked := e.cfg.Fencing == camphorhinge.FencingChecked
	if checked && position.less(s.highest) {
		return e.refuse("order", o, ReasonFence)
	}
	if s.last.State != "" && position == (orderPosition{s.last.Fence, s.last.Seq}) && checked {
		e.recordOrder("order", o, "repeated")
		return e.answer(s.last.State)
	}
	// An engine that checks the fencing token is safe without the extra condition, but enforces one that is given.
	if (o.Expect != nil || !checked) && e.cfg.Orders == camphorhinge.OrdersConditional {
		if o.Expect == nil || *o.Expect != (Expect{s.incarnation, s.revision}) {
			return e.refuse("order", o, ReasonCondition)
		}
	}
	if (o.Nonce != "" || !checked) && e.cfg.Orders == camphorhinge.OrdersTwoStep {
		if o.Nonce == "" || o.Nonce != s.nonce {
			return e.refuse("order", o, ReasonNonce)
		}
	}
	if s.busy {
		return e.refuse("order", o, ReasonBusy)
	}
	s.nonce = ""
	e.raiseFence(position)
	s.revision++
	s.last = camphorhinge.LastOrder{Fence: o.Fence, Seq: o.Seq, State: StateDone}
	e.orderCount++
	e.recordOrder("order", o, "taken")
	e.startChange(o)
	e.announceNow()
	return e.answer(s.last.State)
}

// startChange starts the change that an order requests and aborts all sequences. An order that changes nothing only
// raises the revision: it takes no time and aborts no sequence.
func (e *Engine) startChange(o Order) {
	s := &e.state
	duration := time.Duration(0)
	roleChange := o.Role != "" && o.Role != s.role
	if roleChange {
		duration += e.cfg.ChangeTime
	}
	loads := 0
	for _, m := range o.Models {
		if !slices.Contains(s.models, m) {
			loads++
		}
	}
	for _, a := range o.Adapters {
		if !slices.Contains(s.adapters, a) {
			loads++
		}
	}
	duration += time.Duration(loads) * e.cfg.LoadTime
	unloads := o.Models != nil && !sameSet(o.Models, s.models) || o.Adapters != nil && !sameSet(o.Adapters, s.adapters)
	if !roleChange && loads == 0 && !unloads {
		return
	}
	e.counters.Changes++
	s.busy = true
	s.last.State = StateChanging
	e.pending = &o
	e.abortAll()
	incarnation, orderNumber := s.incarnation, e.orderCount
	e.jobs <- func(ctx context.Context) {
		if e.cfg.OfflineDuringChange {
			if !sleep(ctx, offlineDelay) {
				return
			}
			e.listener.Down()
		}
		if sleep(ctx, duration) {
			e.finishChange(o, incarnation, orderNumber)
		}
	}
}

// finishChange puts the change of an order into effect and empties the cache, unless the engine has crashed since.
func (e *Engine) finishChange(o Order, incarnation camphorhinge.Incarnation, orderNumber int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := &e.state
	if s.incarnation != incarnation || e.down {
		return
	}
	if orderNumber == e.cfg.CrashOnOrder {
		e.crash()
		return
	}
	e.pending = nil
	if o.Role != "" {
		s.role = o.Role
	}
	if o.Models != nil {
		s.models = slices.Clone(o.Models)
	}
	if o.Adapters != nil {
		s.adapters = slices.Clone(o.Adapters)
	}
	s.busy = false
	s.last.State = StateDone
	e.cache = newCache(e.cfg, e.rng).continueEvents(e.cache)
	if e.cfg.OfflineDuringChange {
		e.listener.Up()
	}
	e.announceNow()
}

// applyHalf applies a part of the change in progress, the role and the first half of the models, as a crash during a
// change does.
func (e *Engine) applyHalf() {
	o := e.pending
	e.pending = nil
	if o == nil || !e.cfg.HalfApply {
		return
	}
	if o.Role != "" {
		e.state.role = o.Role
	}
	if o.Models != nil {
		e.state.models = slices.Clone(o.Models[:len(o.Models)/2])
	}
}

// continueEvents makes a new, empty cache continue the event sequence of the old one, and adds an eviction event for
// each prefix of the old one.
func (c *cache) continueEvents(old *cache) *cache {
	c.seq, c.sentSeq, c.events = old.seq, old.sentSeq, old.events
	for e := old.lru.Back(); e != nil; e = e.Prev() {
		h, _ := e.Value.(uint64)
		c.addEvent(h, true, time.Now())
	}
	return c
}

// raiseFence records the highest position of an accepted order or prepare call.
func (e *Engine) raiseFence(position orderPosition) {
	if e.state.highest.less(position) {
		e.state.highest = position
	}
}

func (e *Engine) answer(state string) OrderAnswer {
	return OrderAnswer{State: state, Incarnation: e.state.incarnation, Revision: e.state.revision}
}

func (e *Engine) refuse(kind string, o Order, reason string) OrderAnswer {
	e.recordOrder(kind, o, reason)
	return OrderAnswer{State: StateRefused, Error: reason, Incarnation: e.state.incarnation, Revision: e.state.revision}
}

func (e *Engine) recordOrder(kind string, o Order, result string) {
	if len(e.counters.Orders) >= maxOrderRecords {
		e.counters.Orders = slices.Delete(e.counters.Orders, 0, maxOrderRecords/2)
	}
	e.counters.Orders = append(e.counters.Orders, OrderRecord{
		Kind: kind, Fence: o.Fence, Seq: o.Seq, Role: o.Role, Result: result,
		Incarnation: e.state.incarnation, Revision: e.state.revision,
	})
}

func sameSet[T cmp.Ordered](a, b []T) bool {
	a, b = slices.Clone(a), slices.Clone(b)
	slices.Sort(a)
	slices.Sort(b)
	return slices.Equal(slices.Compact(a), slices.Compact(b))
}
