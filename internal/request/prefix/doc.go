// Package prefix hashes the leading blocks of a prompt, so that requests with a common start can be sent to an engine
// that still holds its KV cache. Nodes and engines use the same hashes; a cache event names one of them.
package prefix
