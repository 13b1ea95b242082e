// Package client is the command line's client of the operator API.
//
// It tries the given addresses in order. A write is resent to the next address when its outcome is uncertain or the
// node is unavailable, which is safe because the cluster recognizes resends. When no node gives a definite answer, the
// error states whether one of the attempts may have taken effect. Each error has an exit code for the command.
package client
