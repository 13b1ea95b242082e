// Package prefix hashes the leading blocks of a prompt, so that requests with a common prefix can be sent to an engine
// that still has its KV cache. Nodes and engines use the same hashes; each cache event carries one of them.
package prefix
