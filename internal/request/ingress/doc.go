// Package ingress adapts hertz to what the packages that serve callers need: requests whose callers may leave, limits on
// slow and large requests, errors in the project's own form for requests that can't be parsed, and answers in pieces that
// can be cut.
package ingress
