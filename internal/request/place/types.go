package place

import (
	"time"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/record/routing"
)

// Segment is a part of a prompt. Requests whose first parts are the same share their KV cache.
type Segment struct {
	// Hash names the content.
	Hash   uint64
	Tokens camphorhinge.Tokens
}

// Request is what a Placer knows of a request.
type Request struct {
	Service camphorhinge.ServiceName
	// Engine describes the engines of the service; nil for a plain service.
	Engine *routing.Engine
	// Segments are the parts of the prompt in order; the last one belongs to this request or its session alone.
	Segments []Segment
	// Prompt and Output are the numbers of tokens to read and at most to generate.
	Prompt, Output camphorhinge.Tokens
	// Exclude are targets that the request must not go to again.
	Exclude []camphorhinge.TargetName
	// Direct rules out a plan with a separate prefill engine.
	Direct bool
	// Zone is that of the entry node that sends the request, Bytes the request's size.
	Zone  camphorhinge.Zone
	Bytes int
	// Rank is that of the route; 0 is the most urgent.
	Rank int
	// Due is when the first event becomes late, Deadline when the caller gives up; 0 stands for no bound.
	Due, Deadline camphorhinge.Instant
}

// shared returns the parts that other requests have as well, and their size.
func (r *Request) shared() ([]Segment, camphorhinge.Tokens) {
	if len(r.Segments) == 0 {
		return nil, 0
	}
	parts := r.Segments[:len(r.Segments)-1]
	var n camphorhinge.Tokens
	for _, p := range parts {
		n += p.Tokens
	}
	return parts, n
}

// Plan is where a request goes.
type Plan struct {
	// Prefill is the engine that reads the prompt first and hands its KV cache over; nil when Serve reads it itself.
	Prefill *camphorhinge.Target
	// Serve is the target that runs the request.
	Serve *camphorhinge.Target
	// Fetch is the engine from which the reading engine fetches the shared parts that it lacks; nil when it fetches none.
	Fetch *camphorhinge.Target
	// Expected is the expected time to the first event, or to the answer of a plain service.
	Expected time.Duration
	// Uncached is the number of prompt tokens that are expected to be read.
	Uncached camphorhinge.Tokens
	// Reason tells why this plan was chosen.
	Reason string
}

// Outcome is how an attempt at a target ended. The numbers are part of the protocol between nodes.
type Outcome int

const (
	// Served marks a complete answer.
	Served Outcome = iota
	// Refused marks a target that stated that it did not run the request, because it was full.
	Refused
	// Errored marks an answer with a server error.
	Errored
	// Broken marks an answer that broke off or broke the protocol.
	Broken
	// TimedOut marks a target that did not answer in time although the connection was open.
	TimedOut
	// Unreachable marks a target to which no connection could be opened.
	Unreachable
	// AddressReused marks an address that belongs to another process now.
	AddressReused
	// Abandoned marks an attempt that ended for a reason of the caller's, or was not made; it says nothing of the target.
	Abandoned
)

// Load is a target's own word on its load.
type Load struct {
	Running, Waiting, Slots int
}
