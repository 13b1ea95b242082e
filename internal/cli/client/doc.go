// Package client is the command line's client of the operator API.
//
// It tries the given addresses in order. A write is sent again after an uncertain or unavailable answer, which is safe
// because the cluster recognises resends; when no attempt gives an answer the error says whether an earlier one may
// have taken effect. Each error carries the exit code of the command.
package client
