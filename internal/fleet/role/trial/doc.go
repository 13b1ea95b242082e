// Package trial compares role policies in a small fluid model of a service, on traces with a shifting ratio of prompt
// to output tokens.
package trial
