package camphorhinge

// RunClass states to a caller whether a target ran its request.
type RunClass string

const (
	// NotRun guarantees that no target ran the request.
	NotRun RunClass = "not-run"
	// Run states that a target ran the request.
	Run RunClass = "run"
	// Unknown states that a target may have run the request.
	Unknown RunClass = "unknown"
)

// Headers of the protocols spoken with callers and targets.
const (
	// HeaderRun carries the RunClass, from targets and to callers.
	HeaderRun = "Camphorhinge-Run"
	// HeaderAttempt carries the AttemptID to targets.
	HeaderAttempt = "Camphorhinge-Attempt"
	// HeaderDeadline carries the time remaining for the request, in milliseconds.
	HeaderDeadline = "Camphorhinge-Deadline-Ms"
	// HeaderPriority carries the Priority as a decimal number.
	HeaderPriority = "Camphorhinge-Priority"
	// HeaderResume carries the offset, in events, at which a stream resumes.
	HeaderResume = "Camphorhinge-Resume"
	// HeaderRequest carries the RequestID to callers.
	HeaderRequest = "Camphorhinge-Request"
	// HeaderIdempotencyKey carries the caller's key of a non-idempotent request.
	HeaderIdempotencyKey = "Idempotency-Key"
)
