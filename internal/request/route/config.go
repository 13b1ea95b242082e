package route

import (
	"errors"
	"fmt"
	"time"

	"example.org/camphorhinge"
)

const (
	// slowStart is the time over which a new or returning target grows to its full share.
	slowStart = 10 * time.Second
	// slowStartFloor is the share at its beginning; with none, nothing would show that the target works.
	slowStartFloor = 0.1
	// startupGrace is how long after its own start a node takes each new target for one that served before.
	startupGrace = 3 * time.Second
	// scanLimit is the number of targets up to which all are compared. Above it a sample is.
	scanLimit = 64
	// sampleSize is the number of eligible targets in a sample.
	sampleSize = 48
	// maxSampleDraws bounds the targets looked at to fill a sample, so that a pick among 10,000 stays below 50 us.
	maxSampleDraws = 4 * sampleSize
	// maxPrefixHolders is the number of targets that are looked up by the prefixes of one prompt.
	maxPrefixHolders = 64
	// maxSampledHolders is the number of them that are added to a sample.
	maxSampledHolders = 8
	// rareTargetsTTL is how long the few targets of a model are remembered, since a sample rarely meets them.
	rareTargetsTTL = time.Second
	// maxRareModels bounds the models remembered so.
	maxRareModels = 256
	// stateRetention is how long the bookkeeping of a target outlives its last announcement.
	stateRetention = time.Minute
	// minSlowdownWeight is the weight of one result in the learned speed of a target.
	minSlowdownWeight = 0.05
	// priorResults is the number of results that what is known of the service counts for, and speedCertain the greatest
	// number that a target's own results count for.
	priorResults  = 200.0
	maxOwnResults = 400
	// serviceSlowdownWeight is the weight of one target's speed in that of its service.
	serviceSlowdownWeight = 0.2
	// minMeasuredOutput is the least number of output tokens of a result that counts for the speed.
	minMeasuredOutput = 8
	// minHistoryWeight is the weight of one result in the output history of a service.
	minHistoryWeight = 0.02
	// minHistoryResults is the number of results from which the history counts.
	minHistoryResults = 8
)

// Config holds what a Router depends on. Zero values of the numbers take the defaults given with each field.
type Config struct {
	Targets camphorhinge.Targets
	Clock   camphorhinge.Clock
	// Zone is the node's own availability zone.
	Zone camphorhinge.Zone
	// Seed seeds the choices; nodes need different ones, or they would choose alike.
	Seed uint64
	// Nodes returns the number of nodes that send to the same targets; 1 when it is nil.
	Nodes func() int

	// PrefillRate is the first estimate of an engine's prefill in tokens per second, 20,000 by default.
	PrefillRate float64
	// TokenTime is the first estimate of the time of one output token in an empty batch, 20 ms by default.
	TokenTime time.Duration
	// BatchSlope is the share of TokenTime that each further sequence adds, 0.02 by default.
	BatchSlope float64
	// DrainRate is the first estimate of the tokens per second at which an engine works off its queue, 4,000 by default.
	DrainRate float64
	// OffRoleFactor is how much slower an engine does the work of the other role, 4 by default.
	OffRoleFactor float64
	// BlockTransferTime is the time to move one block of KV cache, 1 ms by default.
	BlockTransferTime time.Duration
	// ServiceTime is the first estimate of one request to a plain service, 20 ms by default.
	ServiceTime time.Duration
	// ZoneMargin is the expected gain from which another zone is preferred to the own one, 10 ms by default.
	ZoneMargin time.Duration
	// IndexPairs bounds the pairs of prefix and target in the index, 100,000 by default.
	IndexPairs int
	// Output is the expected output before there is a history, 256 tokens by default.
	Output camphorhinge.Tokens
}

func (c Config) withDefaults() Config {
	setDefault(&c.PrefillRate, 20_000)
	setDefault(&c.TokenTime, 20*time.Millisecond)
	setDefault(&c.BatchSlope, 0.02)
	setDefault(&c.DrainRate, 4_000)
	setDefault(&c.OffRoleFactor, 4)
	setDefault(&c.BlockTransferTime, time.Millisecond)
	setDefault(&c.ServiceTime, 20*time.Millisecond)
	setDefault(&c.ZoneMargin, 10*time.Millisecond)
	setDefault(&c.IndexPairs, 100_000)
	setDefault(&c.Output, 256)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Kind classes an Error.
type Kind string

// KindConfig marks a Config that lacks a dependency.
const KindConfig Kind = "config"

var errMissingDependency = errors.New("targets and clock are needed")

// Error is the error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("route: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
