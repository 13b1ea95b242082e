package place

import (
	"time"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/record/routing"
)

// Segment is a section of a prompt. Requests with the same leading segments share their KV cache.
type Segment struct {
	// Hash identifies the content.
	Hash   uint64
	Tokens camphorhinge.Tokens
}

// Request describes a request to a Placer.
type Request struct {
	Service camphorhinge.ServiceName
	// Engine describes the engines of the service; nil for a plain service, whose targets are not model engines.
	Engine *routing.Engine
	// Segments are the segments of the prompt in order; the last one is private to this request or its session.
	Segments []Segment
	// Prompt is the number of prompt tokens, Output the maximum number of tokens to generate.
	Prompt, Output camphorhinge.Tokens
	// Software is the software version of the target that may serve the request; nil means any. Other targets may prefill its
	// prompt.
	Software *camphorhinge.SoftwareVersion
	// Resumable is set for a stream that may be continued at another target when it breaks off.
	Resumable bool
	// Exclude lists targets to which the request must not be sent again.
	Exclude []camphorhinge.TargetName
	// Direct rules out plans with a separate prefill engine.
	Direct bool
	// Workspace is the workspace of the caller, or empty.
	Workspace camphorhinge.WorkspaceName
	// Zone is that of the entry node that sends the request, Bytes the size of the request.
	Zone  camphorhinge.Zone
	Bytes int
	// Upload is the time in which the entry node's link sends the request once. A separate prefill sends it twice.
	Upload time.Duration
	// Rank is the rank of the route; 0 is the most urgent.
	Rank int
	// Settle is the time for which a new engine is spared until its role has been set; 0 spares none.
	Settle time.Duration
	// Due is when the first event becomes late, Deadline when the caller gives up; 0 means no bound.
	Due, Deadline camphorhinge.Instant
}

// mayServe reports whether a target has the software version that may serve the request.
func (r *Request) mayServe(t *camphorhinge.Target) bool {
	return r.Software == nil || *r.Software == t.Software
}

// shared returns the segments that other requests may have as well, which are all but the last, and their total size.
func (r *Request) shared() ([]Segment, camphorhinge.Tokens) {
	if len(r.Segments) == 0 {
		return nil, 0
	}
	segments := r.Segments[:len(r.Segments)-1]
	var n camphorhinge.Tokens
	for _, seg := range segments {
		n += seg.Tokens
	}
	return segments, n
}

// Plan is the choice of targets for a request.
type Plan struct {
	// Prefill is the engine that computes the KV cache and hands it over; nil when Serve does the prefill itself.
	Prefill *camphorhinge.Target
	// Serve is the target that runs the request.
	Serve *camphorhinge.Target
	// Fetch is the engine from which the prefilling engine fetches missing shared segments; nil when it fetches none.
	Fetch *camphorhinge.Target
	// Expected is the expected time to the first event, or to the answer of a plain service.
	Expected time.Duration
	// Uncached is the expected number of prompt tokens to prefill.
	Uncached camphorhinge.Tokens
	// Reason describes the plan in a few words, for logs.
	Reason string
	// fetchTime is the duration of the transfer from Fetch, and handoverTime that of the one from Prefill to Serve.
	fetchTime, handoverTime time.Duration
}

// Outcome is how an attempt at a target ended. The numbers are part of the protocol between nodes.
type Outcome int

const (
	// Served marks a complete answer.
	Served Outcome = iota
	// Refused marks a target that reported that it did not run the request, for example because it was full or changed
	// its role.
	Refused
	// Errored marks an answer with a server error.
	Errored
	// Broken marks an incomplete answer or one that violates the protocol.
	Broken
	// TimedOut marks a target that did not answer in time on an open connection.
	TimedOut
	// Unreachable marks a target to which no connection could be opened.
	Unreachable
	// AddressReused marks an address that now belongs to another process.
	AddressReused
	// Abandoned marks an attempt that was not made, or that the caller or the request's deadline ended. It does not
	// count for or against the target.
	Abandoned
)

// Load is the load that a target reports in an answer: its running and waiting requests, and how many it runs at once.
type Load struct {
	Running, Waiting, Slots int
	// Slowness is the time that work takes on the target's machine at this moment, relative to the usual time; 0 means that the
	// target does not report it.
	Slowness float64
}
