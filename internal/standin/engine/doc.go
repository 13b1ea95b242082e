// Package engine is a stand-in for a model engine. It speaks the target protocol of the design page over HTTP, batches
// continuously in token time, and injects the faults that engines show: crashes, half-applied orders, late and missing
// cache events, lagging load reports and silent connections.
//
// Its output is a function of the prompt and the position alone (see Token), so that a caller can check an answer.
package engine
