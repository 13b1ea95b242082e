// Package order stores the desired state of each engine and brings engines to it, with one order at a time.
//
// Table is the replicated state: one decision for each engine, which covers role, models and adapters together, and
// at most one open order. Plan is a pure function from a service's record and the live engines to the next decisions.
// Controller runs on the lease holder and carries the decisions out.
//
// Before an order, the controller fences the engine off, which voids every control call that is in transit. The fencing
// call is a touch, which is an order that requests no state, or a prepare: a touch raises the highest fence that the
// engine has recorded (checked) or its revision (conditional), a prepare obtains a new nonce (twostep). Then the
// controller reads the engine back until it is idle. The read-back shows every order that the engine accepted before
// the fencing, and the engine accepts no order from before it afterwards. model/orders.pml checks this. An unprotected
// engine supports none of the three and can't be fenced; it gets orders only if the record of its service sets
// unfenced.
//
// A checked engine must keep its highest fence across a restart, or refuse an order for another incarnation. An
// engine that does neither could accept a late order after a crash.
//
// Invariants: an engine has one decision and at most one open order; an order is committed before it is sent; a
// command of a term below the highest recorded changes nothing; an order with an unknown outcome stays open until
// fencing and a read-back establish the outcome.
package order
