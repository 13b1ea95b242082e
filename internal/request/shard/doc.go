// Package shard divides the engines of a service into shards, so that several core nodes place its requests without deciding
// for the same engines.
//
// The functions are pure: nodes that know the same numbers of engines agree on the shard of an engine and of a request without
// an exchange. A change of the number of shards or of engines moves few of them.
package shard
