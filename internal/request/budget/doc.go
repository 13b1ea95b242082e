// Package budget bounds the attempts beyond the first of each request. The bound holds for all nodes together over a sliding
// window, and each node keeps to its part of it without asking the others.
package budget
