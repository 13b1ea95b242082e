package camphorhinge

// RunClass tells a caller whether its request was run by a target.
type RunClass string

const (
	// NotRun promises that no target ran the request.
	NotRun RunClass = "not-run"
	// Run states that a target ran the request.
	Run RunClass = "run"
	// Unknown states that the request may have been run.
	Unknown RunClass = "unknown"
)

// Headers of the protocols towards callers and targets.
const (
	// HeaderRun carries the RunClass, from targets and to callers.
	HeaderRun = "Camphorhinge-Run"
	// HeaderAttempt carries the AttemptID to targets.
	HeaderAttempt = "Camphorhinge-Attempt"
	// HeaderDeadline carries the time left for the request, in milliseconds.
	HeaderDeadline = "Camphorhinge-Deadline-Ms"
	// HeaderPriority carries the Priority as a decimal number.
	HeaderPriority = "Camphorhinge-Priority"
	// HeaderResume carries the offset, in events, at which a stream goes on.
	HeaderResume = "Camphorhinge-Resume"
	// HeaderRequest carries the RequestID to callers.
	HeaderRequest = "Camphorhinge-Request"
	// HeaderIdempotencyKey carries the caller's key of a non-idempotent request.
	HeaderIdempotencyKey = "Idempotency-Key"
)
