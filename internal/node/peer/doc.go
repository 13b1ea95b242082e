// Package peer implements the calls between camphorhinge's own processes: twirp over HTTP/1.1 with mutual TLS.
//
// Certificates are reloaded when their files change. A call that times out closes all idle connections to that peer: if
// the state of a connection has been lost on the network path, the connection never recovers while new ones work.
package peer
