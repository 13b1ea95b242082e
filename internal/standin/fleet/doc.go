// Package fleet announces many simulated engines from one process, to measure the cost of announcements for the nodes.
// The engines serve no requests and answer no polls.
package fleet
