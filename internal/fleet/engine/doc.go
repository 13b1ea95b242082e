// Package engine is the client of an engine's control protocol: it reads an engine back, and prepares and sends
// orders.
//
// An order has one of three outcomes that must be kept apart: the engine accepted it, the engine refused it, or the
// outcome is unknown. It is unknown after everything but a well-formed answer of the engine to the order. The client
// never retries an order by itself.
package engine
