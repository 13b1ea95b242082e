// Package place decides on which target a request runs, whether an engine of the prefill role computes the prompt of a
// model request first, and in which order requests are served when engines are busy.
//
// A Placer holds one node's state of the targets: the work sent to them, the load reported in their answers, the
// estimated contents of their KV caches, and recent failures. A Queue holds model requests until an engine can start
// them. Neither has a clock, network or goroutine; the current time is passed to each call.
//
// A prompt segment shared by several requests is prefilled once; after that, engines fetch it from one that has it
// cached. A Placer that has no record of other nodes' work (see Config.Central) sends the first requests with a segment
// to its home engine, which is chosen by rendezvous hashing and is the same on all nodes.
package place
