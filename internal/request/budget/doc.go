// Package budget implements a retry budget, which bounds the attempts beyond the first of each request. The bound holds
// for all nodes together over a sliding window. Each node enforces its part of it without communication.
package budget
