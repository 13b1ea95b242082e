package order

import (
	"context"
	"errors"
	"strconv"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/fleet/engine"
)

// change brings one engine to its decision, with one order at a time. It checks the lease before each step and after
// each wait; when the lease is lost, the order stays open for the next leader.
type change struct {
	*Controller
	term    camphorhinge.Term
	name    camphorhinge.TargetName
	service camphorhinge.ServiceName
	// unfenced is true if the record allows orders to an engine that has no protection against late orders.
	unfenced bool
	order    *lifecycle[State, Event]
}

func (x *change) fire(e Event) {
	x.order.fire(e)
	x.setOrderState(x.name, x.order.state)
}

// run resolves an open order, or else sends a new one if the engine's state differs from its decision.
func (x *change) run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, x.cfg.DrainTimeout+x.cfg.ChangeTimeout)
	defer cancel()
	e, ok := x.cfg.Table.Entry(x.name)
	if !ok {
		return nil
	}
	if e.Open != nil {
		// An earlier job, perhaps of another leader, may have sent the order.
		x.order = newOrderLifecycle(Recorded)
		x.fire(EventUnknown)
		x.fireEngine(x.name, EventChange)
		return x.resolve(ctx, *e.Open)
	}
	a, err := x.readIdle(ctx)
	if err != nil {
		return err
	}
	if e.Desired.Equal(Observed(&a)) {
		// Nothing is left to change: committing the decision without Draining ends the cordon.
		return x.propose(ctx, command{
			Op: opDecide, Term: x.term, Engine: x.name, Service: e.Service, Desired: e.Desired,
		})
	}
	if !Protected(&a) && !x.unfenced {
		return &Error{Op: "order", Kind: KindRefused, Err: errors.New(ReasonUnfenced)}
	}
	x.order = newOrderLifecycle(Planned)
	// The fencing call before the order uses the sequence below that of the order.
	o := Order{
		Engine: x.name, Incarnation: a.Incarnation, Fence: x.term, Seq: e.Seq + 2, Desired: e.Desired,
	}
	if err := x.propose(ctx, command{Op: opRecord, Term: x.term, Engine: x.name, Order: &o}); err != nil {
		return err
	}
	x.fire(EventCommitted)
	x.fireEngine(x.name, EventChange)
	x.fire(EventCordoned)
	if err := x.drain(ctx, o); err != nil {
		if isKind(err, KindDeposed) || ctx.Err() != nil {
			return err
		}
		// The order was not sent, so it can be abandoned without fencing.
		x.fire(EventAbandon)
		return errors.Join(err, x.close(ctx, o, Abandoned))
	}
	return x.send(ctx, o)
}

// drain waits until no request runs on the engine. It fails with KindTimeout after DrainTimeout, and with KindLost when
// the engine is no longer live or has restarted.
func (x *change) drain(ctx context.Context, o Order) error {
	limit := x.cfg.Clock.Now().Add(x.cfg.DrainTimeout)
	for !x.cfg.Drains.Drained(x.name) {
		if x.cfg.Clock.Now() >= limit {
			return &Error{Op: "drain", Kind: KindTimeout, Err: errDrainTimeout}
		}
		if err := x.pause(ctx); err != nil {
			return err
		}
		t, err := x.target(x.service, x.name)
		if err != nil {
			return err
		}
		if t.Incarnation != o.Incarnation {
			return &Error{Op: "drain", Kind: KindLost, Err: errRestarted}
		}
	}
	return x.checkLease(x.term)
}

// send fences the engine off, reads it back and sends the order, unless the engine already has the desired state or has
// restarted.
func (x *change) send(ctx context.Context, o Order) error {
	nonce, err := x.fenceOff(ctx, o.Seq-1)
	if err != nil {
		return err
	}
	a, err := x.readIdle(ctx)
	if err != nil {
		return err
	}
	if o.Desired.Equal(Observed(&a)) {
		x.fire(EventDone)
		return x.close(ctx, o, Done)
	}
	if a.Incarnation != o.Incarnation {
		x.fire(EventAbandon)
		return x.close(ctx, o, Abandoned)
	}
	t, err := x.target(x.service, x.name)
	if err != nil {
		return err
	}
	if err := x.checkLease(x.term); err != nil {
		return err
	}
	x.fire(EventSent)
	x.fireEngine(x.name, EventOrdered)
	r := x.cfg.Engines.Order(ctx, t.Address, engine.Order{
		Fence: o.Fence, Seq: o.Seq, Nonce: nonce,
		Expect: &engine.Expect{Incarnation: a.Incarnation, Revision: a.Revision},
		Role:   o.Desired.Role, Models: o.Desired.Models, Adapters: o.Desired.Adapters,
	})
	x.recordDecision("order", string(x.name), string(r.Outcome), map[string]string{
		"fence": strconv.FormatUint(uint64(o.Fence), 10), "seq": strconv.FormatUint(uint64(o.Seq), 10), "reason": r.Reason,
	})
	if err := x.checkLease(x.term); err != nil {
		return err
	}
	switch r.Outcome {
	case engine.Refused:
		x.fire(EventRefused)
		return x.close(ctx, o, Refused)
	case engine.Done, engine.Changing:
		a, err := x.readIdle(ctx)
		if err != nil {
			return err
		}
		if o.Desired.Equal(Observed(&a)) {
			x.fire(EventDone)
			return x.close(ctx, o, Done)
		}
	}
	// There was no answer, or the engine applied only part of the change.
	x.fire(EventUnknown)
	if err := x.propose(ctx, command{Op: opResolve, Term: x.term, Engine: x.name, Order: withState(o, Unknown)}); err != nil {
		return err
	}
	return x.resolve(ctx, o)
}

// resolve establishes and records the outcome of an open order. After the fencing the engine accepts no late copy of
// the order, so the state that is then read is final, except for an unprotected engine, which can't be fenced. If that
// state is not the desired one, the order is abandoned, and the next plan sends what is still missing with a new
// sequence.
func (x *change) resolve(ctx context.Context, o Order) error {
	e, ok := x.cfg.Table.Entry(x.name)
	if !ok {
		return nil
	}
	if _, err := x.fenceOff(ctx, e.Seq+1); err != nil {
		return err
	}
	a, err := x.readIdle(ctx)
	if err != nil {
		return err
	}
	x.fire(EventFenced)
	switch {
	case o.Desired.Equal(Observed(&a)):
		x.fire(EventDone)
		return x.close(ctx, o, Done)
	case o.Desired.Equal(e.Desired):
		x.fire(EventResend)
	default:
		x.fire(EventAbandon)
	}
	return x.close(ctx, o, Abandoned)
}

// close commits the outcome of an order.
func (x *change) close(ctx context.Context, o Order, state State) error {
	x.fireEngine(x.name, EventReadBack)
	if err := x.propose(ctx, command{Op: opResolve, Term: x.term, Engine: x.name, Order: withState(o, state)}); err != nil {
		return err
	}
	x.fireEngine(x.name, EventCompare)
	return nil
}

func withState(o Order, state State) *Order {
	o.State = state
	return &o
}

// fenceOff voids every control call that was sent to the engine before, and returns the nonce of a two-step engine. It
// repeats the call until the engine confirms, because an unanswered call may not have arrived. For an unprotected
// engine it only reads the engine back.
func (x *change) fenceOff(ctx context.Context, seq camphorhinge.Sequence) (nonce string, err error) {
	for {
		a, address, err := x.readBack(ctx)
		if err != nil {
			return "", err
		}
		var r engine.Result
		switch {
		case !Protected(&a):
			return "", nil // no call can void a late order; run sends orders to such an engine only if unfenced is set
		case a.Fencing != camphorhinge.FencingChecked && a.Orders == camphorhinge.OrdersTwoStep:
			r = x.cfg.Engines.Prepare(ctx, address, x.term, seq)
		default:
			r = x.cfg.Engines.Order(ctx, address, engine.Order{
				Fence: x.term, Seq: seq, Expect: &engine.Expect{Incarnation: a.Incarnation, Revision: a.Revision},
			})
		}
		if err := x.checkLease(x.term); err != nil {
			return "", err
		}
		if r.Outcome == engine.Done || r.Outcome == engine.Changing {
			return r.Nonce, nil
		}
		// The engine refused the call because it is busy or its state has changed since, or it did not answer.
		if err := x.pause(ctx); err != nil {
			return "", err
		}
	}
}

// readIdle reads the engine back until it is not carrying out a change.
func (x *change) readIdle(ctx context.Context) (camphorhinge.Announcement, error) {
	limit := x.cfg.Clock.Now().Add(x.cfg.ChangeTimeout)
	for {
		a, _, err := x.readBack(ctx)
		if err != nil || !a.Busy {
			return a, err
		}
		if x.cfg.Clock.Now() >= limit {
			return a, &Error{Op: "read", Kind: KindTimeout, Err: errIdleTimeout}
		}
		if err := x.pause(ctx); err != nil {
			return a, err
		}
	}
}

// readBack reads the engine's announcement from the engine itself, and returns it with the engine's address. It retries
// for as long as the engine is live but does not answer.
func (x *change) readBack(ctx context.Context) (camphorhinge.Announcement, string, error) {
	for {
		if err := x.checkLease(x.term); err != nil {
			return camphorhinge.Announcement{}, "", err
		}
		t, err := x.target(x.service, x.name)
		if err != nil {
			return camphorhinge.Announcement{}, "", err
		}
		sentAt := x.cfg.Clock.Now()
		a, err := x.cfg.Engines.Read(ctx, t.Address)
		if leaseErr := x.checkLease(x.term); leaseErr != nil {
			return camphorhinge.Announcement{}, "", leaseErr
		}
		if err == nil && a.Name == x.name {
			x.recordReadBack(a, sentAt)
			return a, t.Address, nil
		}
		if err := x.pause(ctx); err != nil {
			return camphorhinge.Announcement{}, "", err
		}
	}
}

// pause waits for PollInterval and then checks the lease.
func (x *change) pause(ctx context.Context) error {
	if err := wait(ctx, x.cfg.PollInterval); err != nil {
		return err
	}
	return x.checkLease(x.term)
}
