package route

import (
	"errors"
	"fmt"
	"time"

	"example.org/camphorhinge"
)

const (
	// slowStart is the time over which the share of a new or recovered target rises to its full one.
	slowStart = 10 * time.Second
	// slowStartFloor is the share at the start; without any requests, the target could not show that it works.
	slowStartFloor = 0.1
	// startupGrace is how long after its own start a node skips the slow start of new targets, which have likely served
	// before.
	startupGrace = 3 * time.Second
	// scanLimit is the number of targets up to which all are compared; with more, a sample is compared.
	scanLimit = 64
	// sampleSize is the number of eligible targets in a sample.
	sampleSize = 48
	// maxSampleDraws bounds the targets examined to fill a sample, so that a pick among 10,000 takes less than 50 us.
	maxSampleDraws = 4 * sampleSize
	// maxPrefixHolders bounds the targets that are looked up by the prefixes of one prompt.
	maxPrefixHolders = 64
	// maxSampledHolders is the number of prefix holders that are added to a sample.
	maxSampledHolders = 8
	// rareTargetsTTL is how long the list of the targets of a model with few of them is cached, since a sample rarely
	// includes them.
	rareTargetsTTL = time.Second
	// maxRareModels bounds the number of such lists.
	maxRareModels = 256
	// stateRetention is how long the state of a target is kept after its last use.
	stateRetention = time.Minute
	// minSlowdownWeight is the weight of one result in the moving average of a target's slowdown, after the first
	// results.
	minSlowdownWeight = 0.05
	// The effective slowdown of a target is the weighted mean of its own slowdown and that of its service. The weight of
	// the service is priorResults, that of the target is its number of results, up to maxOwnResults.
	priorResults  = 200.0
	maxOwnResults = 400
	// serviceSlowdownWeight is the weight of one target's slowdown in that of its service.
	serviceSlowdownWeight = 0.2
	// minMeasuredOutput is the least number of output tokens of a result from which the slowdown is measured.
	minMeasuredOutput = 8
	// minHistoryWeight is the weight of one result in the mean output of a service, after the first results.
	minHistoryWeight = 0.02
	// minHistoryResults is the number of results from which the mean output is used.
	minHistoryResults = 8
)

// Config holds the dependencies and settings of a Router. A number that is zero takes the default given with its field.
type Config struct {
	Targets camphorhinge.Targets
	Clock   camphorhinge.Clock
	// Zone is the node's own availability zone.
	Zone camphorhinge.Zone
	// Seed seeds the random choices. It must differ between nodes, which would otherwise make the same choices.
	Seed uint64
	// Nodes returns the number of nodes that send to the same targets; 1 when it is nil.
	Nodes func() int

	// PrefillRate is the initial estimate of an engine's prefill rate in tokens per second, 20,000 by default.
	PrefillRate float64
	// TokenTime is the initial estimate of the time per output token in an empty batch, 20 ms by default.
	TokenTime time.Duration
	// BatchSlope is the fraction of TokenTime that each further sequence in the batch adds, 0.02 by default.
	BatchSlope float64
	// DrainRate is the initial estimate of the rate in tokens per second at which an engine processes its queue, 4,000
	// by default.
	DrainRate float64
	// OffRoleFactor is the factor by which an engine is slower at the work of the other role, 4 by default.
	OffRoleFactor float64
	// BlockTransferTime is the time to transfer one block of KV cache, 1 ms by default.
	BlockTransferTime time.Duration
	// ServiceTime is the initial estimate of the duration of a request to a plain service, 20 ms by default.
	ServiceTime time.Duration
	// ZoneMargin is the expected gain from which a target in another zone is preferred, 10 ms by default.
	ZoneMargin time.Duration
	// IndexPairs bounds the number of (prefix, target) pairs in the index, 100,000 by default.
	IndexPairs int
	// Output is the expected output of a service without a history, 256 tokens by default.
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

// Kind classifies an Error.
type Kind string

// KindConfig marks a Config that lacks a dependency.
const KindConfig Kind = "config"

var errMissingDependency = errors.New("targets and clock are needed")

// Error is returned by New for an invalid Config.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("route: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }
