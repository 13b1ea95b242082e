// Package ingress adapts hertz to the needs of packages that serve callers. It detects callers that disconnect, limits
// slow and large requests, answers requests that can't be parsed with the project's own errors, and sends streamed answers
// that can be aborted.
package ingress
