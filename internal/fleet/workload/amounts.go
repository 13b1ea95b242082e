package workload

import (
	"fmt"
	"math"

	"example.org/camphorhinge"
)

// Amounts holds the counts of one service's model requests over a period.
type Amounts struct {
	// Requests counts the requests that arrived, Prompt their prompt tokens, and AllowedOutput the sum of their output
	// limits.
	Requests      int64               `json:"a,omitempty"`
	Prompt        camphorhinge.Tokens `json:"p,omitempty"`
	AllowedOutput camphorhinge.Tokens `json:"m,omitempty"`
	// Output counts the output tokens delivered, including those of answers that broke off.
	Output camphorhinge.Tokens `json:"o,omitempty"`
	// Completed counts the complete answers, InTime those within the deadline.
	Completed int64 `json:"c,omitempty"`
	InTime    int64 `json:"t,omitempty"`
	// Measured counts the complete answers whose number of output tokens is known, MeasuredOutput those tokens. The
	// number is unknown for an answer that is not streamed.
	Measured       int64               `json:"n,omitempty"`
	MeasuredOutput camphorhinge.Tokens `json:"w,omitempty"`
	// Refused counts the requests that were shed or found no target.
	Refused int64 `json:"r,omitempty"`
	// Limited counts the requests over their workspace's limit, LimitedTokens their prompt tokens and allowed output.
	Limited       int64               `json:"l,omitempty"`
	LimitedTokens camphorhinge.Tokens `json:"lt,omitempty"`
}

func (a *Amounts) add(b Amounts) {
	a.Requests += b.Requests
	a.Prompt += b.Prompt
	a.AllowedOutput += b.AllowedOutput
	a.Output += b.Output
	a.Completed += b.Completed
	a.InTime += b.InTime
	a.Measured += b.Measured
	a.MeasuredOutput += b.MeasuredOutput
	a.Refused += b.Refused
	a.Limited += b.Limited
	a.LimitedTokens += b.LimitedTokens
}

// scaled returns the amounts multiplied by a fraction.
func (a *Amounts) scaled(fraction float64) Amounts {
	count := func(n int64) int64 { return int64(math.Round(float64(n) * fraction)) }
	tokens := func(n camphorhinge.Tokens) camphorhinge.Tokens { return camphorhinge.Tokens(count(int64(n))) }
	return Amounts{
		Requests: count(a.Requests), Prompt: tokens(a.Prompt), AllowedOutput: tokens(a.AllowedOutput), Output: tokens(a.Output),
		Completed: count(a.Completed), InTime: count(a.InTime), Measured: count(a.Measured), MeasuredOutput: tokens(a.MeasuredOutput),
		Refused: count(a.Refused), Limited: count(a.Limited), LimitedTokens: tokens(a.LimitedTokens),
	}
}

// valid reports whether all amounts are in the range from 0 to maxAmount.
func (a *Amounts) valid() bool {
	for _, n := range []int64{
		a.Requests, int64(a.Prompt), int64(a.AllowedOutput), int64(a.Output), a.Completed, a.InTime, a.Measured, int64(a.MeasuredOutput),
		a.Refused, a.Limited, int64(a.LimitedTokens),
	} {
		if n < 0 || n > maxAmount {
			return false
		}
	}
	return true
}

// maxAmount bounds a single amount, so that sums over all nodes and samples can't overflow.
const maxAmount = 1 << 44

// report is the wire form of a Meter's report.
type report struct {
	Node camphorhinge.NodeID `json:"node"`
	// Start identifies the start of the node's process, Seq numbers the reports of one start from 1.
	Start uint64 `json:"start"`
	Seq   uint64 `json:"seq"`
	// Span is the period that the report covers, in milliseconds.
	Span     int64                                `json:"span"`
	Services map[camphorhinge.ServiceName]Amounts `json:"services,omitempty"`
}

const (
	// MaxServices bounds the services in a report.
	MaxServices = 64
	// MaxReport bounds the size of a report in bytes. It is enough for MaxServices services with the longest names and
	// the largest amounts.
	MaxReport = 24 << 10
)

// Kind classifies an Error.
type Kind string

const (
	// KindMalformed marks an invalid report, which was ignored.
	KindMalformed Kind = "malformed"
	// KindFull marks a report with services beyond the number that the collector keeps; the other services were
	// counted.
	KindFull Kind = "full"
	// KindFollower marks a report to a node that does not lead.
	KindFollower Kind = "follower"
)

// Error is an error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("workload %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
