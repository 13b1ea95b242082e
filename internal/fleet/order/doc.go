// Package order stores the desired state of each engine and brings engines to it, with one order at a time.
//
// Table is the replicated state: one decision for each engine, which covers role, models and adapters together, and
// at most one open order. Plan is a pure function from a service's record and the live engines to the next decisions.
// Controller runs on the lease holder and carries the decisions out.
//
// Before an order, the controller fences the engine off, which voids every request that is still in transit: it
// raises the highest fence that the engine has recorded (checked), obtains a new nonce (twostep), or raises the
// revision (conditional). Then it reads the engine back until it is idle. The read-back shows every order that the
// engine accepted before the fencing, and the engine accepts no order from before it afterwards. model/orders.pml
// checks this.
//
// A checked engine must keep its highest fence across a restart, or refuse an order for another incarnation. An
// engine that does neither could accept a late order after a crash.
//
// Invariants: an engine has one decision and at most one open order; an order is committed before it is sent; a
// command of a term below the highest recorded changes nothing; an order with an unknown outcome stays open until
// fencing and a read-back establish the outcome.
package order
