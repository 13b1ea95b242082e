// Package engine is the client of an engine's control protocol: reading it back, and preparing and sending
// orders.
//
// An order ends in one of three ways that must not be mixed up: the engine took it, the engine refused it, or nobody
// knows. Everything that is not the engine's own well-formed word on the order is unknown. The client never sends an
// order a second time on its own.
package engine
