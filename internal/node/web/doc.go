// Package web runs a hertz server on an open listener inside a group, with limits on slow and large requests and a
// planned stop.
package web
