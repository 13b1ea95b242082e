// Package engine is a stand-in for a model engine. It implements the target protocol over HTTP, simulates continuous
// batching with a configurable time per token, and injects the faults of real engines: crashes, partly applied orders,
// late and missing cache events, lagging load reports and silent connections.
//
// Its output depends only on the prompt and the position (see Token), so that a caller can verify an answer.
package engine
