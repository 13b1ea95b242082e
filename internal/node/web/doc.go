// Package web runs a hertz server with limits on slow and large requests and a graceful shutdown, and opens its port
// before it serves.
package web
