// Package place decides where a request runs: on which target, and for model requests whether an engine of the prefill role
// reads the prompt first.
//
// A Placer holds what one node knows of the targets: the work that it sent itself, the load that targets stated in their
// answers, the prompt parts that it believes to be cached, and recent failures. It has no clock, network or goroutine; each
// call is told the time.
//
// Requests that share a prompt part go to the same few engines, on all nodes alike: the homes of the part follow from
// rendezvous hashing. A part is thus read once and cached on few engines, and no node asks another.
package place
