// Package place decides where a request runs: on which target, and for model requests whether an engine of the prefill role
// reads the prompt first, and which of several requests goes first when engines are busy.
//
// A Placer holds what one node knows of the targets: the work that was sent to them, the load that they stated in their
// answers, the prompt parts that they are believed to hold, and recent failures. A Queue holds model requests until an engine
// can begin with them. Neither has a clock, network or goroutine; each call is told the time.
//
// A prompt part that several requests share is read once and fetched from an engine that holds it after that. A Placer that
// does not know the work of other nodes sends the first requests with a part to its home, which follows from rendezvous
// hashing and is the same on all nodes.
package place
