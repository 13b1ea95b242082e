// Package schedule places the model requests of all entry nodes on core nodes, since a single entry node does not
// see the work that the others send to an engine.
//
// A core node's Scheduler holds the Placer that entry nodes call; it tracks each engine's outstanding prefill
// work and cached prompt segments. Its state is not durable: an entry node that gets no answer in time asks the next core node, or places
// the request from its local state.
//
// One core node places the requests of a small service. The engines of a large one are divided into shards (package shard), each of
// which has a core node; a call names the shard of its request. A core node whose engines are busy passes requests on to one with free
// engines.
//
// The placements of an entry node belong to a session, which has a number for each start of the entry node's process
// and each core node. The entry node begins a new session when it has dropped events, and the core node then ends the
// placements of the earlier one, since their end events may be among those lost.
package schedule
