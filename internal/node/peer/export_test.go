package peer

import (
	"net"
	"net/http"
	"sync/atomic"
)

// CountConnections returns a function that returns the number of open connections; it must be called before Serve.
func (s *Server) CountConnections() func() int {
	var open atomic.Int32
	s.http.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			open.Add(1)
		case http.StateClosed, http.StateHijacked:
			open.Add(-1)
		}
	}
	return func() int { return int(open.Load()) }
}
