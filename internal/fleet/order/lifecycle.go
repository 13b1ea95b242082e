package order

import (
	"fmt"
	"io"

	"github.com/qmuntal/stateless"
)

// EngineState is a state in the lifecycle of an engine, as tracked by the controller.
type EngineState string

// States of an engine.
const (
	EngineAnnounced EngineState = "announced"
	// EngineMatching is the state of a live engine that is being compared with its decision or differs from it.
	EngineMatching EngineState = "matching"
	EngineServing  EngineState = "serving"
	EngineDraining EngineState = "draining"
	EngineChanging EngineState = "changing"
	// EngineReading is the state of an engine whose read-back is not yet compared with its decision.
	EngineReading EngineState = "reading"
	// EngineLost is the state of an engine that is not live.
	EngineLost EngineState = "lost"
)

// EngineEvent moves an engine from one state to another.
type EngineEvent string

// Events of an engine.
const (
	// EventCompare starts the comparison of the observed state with the decision.
	EventCompare EngineEvent = "compare"
	// EventMatched follows a comparison without a difference.
	EventMatched EngineEvent = "matched"
	// EventChange starts a change; the engine is cordoned.
	EventChange EngineEvent = "change"
	// EventOrdered follows the sending of an order.
	EventOrdered EngineEvent = "ordered"
	// EventReadBack precedes the commit of an order's outcome.
	EventReadBack EngineEvent = "read back"
	// EventExpired follows the expiry of the engine's announcement.
	EventExpired EngineEvent = "expired"
	// EventReturned follows a new announcement of a lost engine.
	EventReturned EngineEvent = "returned"
)

// State is a state in the lifecycle of an order.
type State string

// States of an order.
const (
	Planned State = "planned"
	// Recorded is the state of an order that is committed in the Table.
	Recorded State = "recorded"
	Draining State = "draining"
	Sent     State = "sent"
	Done     State = "done"
	Refused  State = "refused"
	// Unknown is the state of an order that the engine may have accepted.
	Unknown State = "unknown"
	// ReadBack is the state of an order with an unknown outcome once the engine is fenced and read back.
	ReadBack State = "read back"
	// Abandoned is the state of an order that was given up before the engine had the desired state.
	Abandoned State = "abandoned"
)

// Event moves an order from one state to another.
type Event string

// Events of an order.
const (
	EventCommitted Event = "committed"
	// EventCordoned follows the commit of the order, which cordons the engine at the latest.
	EventCordoned Event = "held"
	EventSent     Event = "sent"
	EventDone     Event = "done"
	EventRefused  Event = "refused"
	// EventUnknown follows a missing answer or a partly applied change, or starts the resolution of an order that an
	// earlier job left open.
	EventUnknown Event = "no answer"
	// EventFenced follows the fencing and read-back of an engine whose order has an unknown outcome.
	EventFenced Event = "sealed and read"
	// EventResend abandons the sent copy in favour of an order with a new sequence.
	EventResend Event = "send again"
	// EventAbandon abandons an order that was not sent or no longer follows from the decision.
	EventAbandon Event = "abandon"
)

type transition[S, E ~string] struct {
	from  S
	event E
	to    S
}

func engineTransitions() []transition[EngineState, EngineEvent] {
	return []transition[EngineState, EngineEvent]{
		{EngineAnnounced, EventCompare, EngineMatching},
		{EngineAnnounced, EventExpired, EngineLost},
		{EngineMatching, EventMatched, EngineServing},
		{EngineMatching, EventChange, EngineDraining},
		{EngineMatching, EventExpired, EngineLost},
		{EngineServing, EventCompare, EngineMatching},
		{EngineServing, EventChange, EngineDraining},
		{EngineServing, EventExpired, EngineLost},
		{EngineDraining, EventOrdered, EngineChanging},
		{EngineDraining, EventReadBack, EngineReading},
		{EngineDraining, EventExpired, EngineLost},
		{EngineChanging, EventReadBack, EngineReading},
		{EngineChanging, EventExpired, EngineLost},
		{EngineReading, EventCompare, EngineMatching},
		{EngineReading, EventExpired, EngineLost},
		{EngineLost, EventReturned, EngineAnnounced},
	}
}

func orderTransitions() []transition[State, Event] {
	return []transition[State, Event]{
		{Planned, EventCommitted, Recorded},
		{Recorded, EventCordoned, Draining},
		{Recorded, EventUnknown, Unknown},
		{Draining, EventSent, Sent},
		{Draining, EventAbandon, Abandoned},
		{Draining, EventDone, Done},
		{Sent, EventDone, Done},
		{Sent, EventRefused, Refused},
		{Sent, EventUnknown, Unknown},
		{Unknown, EventFenced, ReadBack},
		{ReadBack, EventDone, Done},
		{ReadBack, EventResend, Abandoned},
		{ReadBack, EventAbandon, Abandoned},
	}
}

// lifecycle is the current state of an engine or order, and the state machine of its allowed transitions.
type lifecycle[S, E ~string] struct {
	machine *stateless.StateMachine
	state   S
}

func newLifecycle[S, E ~string](start S, table []transition[S, E]) *lifecycle[S, E] {
	l := &lifecycle[S, E]{machine: stateless.NewStateMachine(start), state: start}
	for _, t := range table {
		l.machine.Configure(t.from).Permit(t.event, t.to)
	}
	return l
}

func newEngineLifecycle() *lifecycle[EngineState, EngineEvent] {
	return newLifecycle(EngineAnnounced, engineTransitions())
}

func newOrderLifecycle(start State) *lifecycle[State, Event] {
	return newLifecycle(start, orderTransitions())
}

// fire makes a transition; it panics on one that the table does not allow, which is a bug of the caller.
func (l *lifecycle[S, E]) fire(e E) {
	if err := l.machine.Fire(e); err != nil {
		panic(fmt.Sprintf("lifecycle: %v", err))
	}
	s, ok := l.machine.MustState().(S)
	if !ok {
		panic("lifecycle: state of another type")
	}
	l.state = s
}

// try makes a transition if the table allows it.
func (l *lifecycle[S, E]) try(e E) {
	if ok, err := l.machine.CanFire(e); ok && err == nil {
		l.fire(e)
	}
}

// WriteTransitions writes the transitions of engines and orders as a Markdown page.
func WriteTransitions(w io.Writer) error {
	const head = "# Lifecycles of engines and orders\n\n" +
		"The tables are written by the tests of `internal/fleet/order`. An engine begins as announced, an order as planned;\n" +
		"done, refused and abandoned are the ends of an order. What is still missing then is sent as a new order.\n\n"
	if _, err := io.WriteString(w, head); err != nil {
		return err
	}
	if err := writeTable(w, "engine", engineTransitions()); err != nil {
		return err
	}
	if _, err := fmt.Fprintln(w); err != nil {
		return err
	}
	return writeTable(w, "order", orderTransitions())
}

func writeTable[S, E ~string](w io.Writer, name string, table []transition[S, E]) error {
	if _, err := fmt.Fprintf(w, "| %s | event | next |\n| --- | --- | --- |\n", name); err != nil {
		return err
	}
	for _, t := range table {
		if _, err := fmt.Fprintf(w, "| %s | %s | %s |\n", t.from, t.event, t.to); err != nil {
			return err
		}
	}
	return nil
}
