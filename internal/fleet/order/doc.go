// Package order keeps what each engine shall serve, and brings engines there with one order at a time.
//
// Book is the replicated state: one decision for each engine, which names role, models and adapters together, and at most
// one open order. Plan is a pure function from a service's record and the live engines to the next decisions. Controller
// runs on the lease holder and carries decisions out.
//
// Before an order the controller seals the engine, which voids every frame that is still under way: it raises the highest
// fence that the engine has seen (checked), takes a new nonce (twostep), or raises the revision (conditional). Then it
// reads the engine back until it is idle. What the engine took before the seal is seen by the read-back, and it takes
// nothing from before the seal later. model/orders.pml checks this.
//
// A checked engine must keep its highest fence over a restart, or refuse an order that names another incarnation. One that
// does neither could take a late order after a crash.
//
// Invariants: an engine has one decision and at most one open order; an order is committed before it is sent; a command
// of a lower term than the highest seen changes nothing; an order with an unknown outcome stays open until a seal and a
// read-back told what became of it.
package order
