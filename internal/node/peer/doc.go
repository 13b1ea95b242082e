// Package peer carries calls between camphorhinge's own processes: twirp over HTTP/1.1 with mutual TLS.
//
// Certificates are read again when their files change. A call that times out drops all idle connections to that peer,
// since a connection whose path has lost its state stays silent for good while new ones work.
package peer
