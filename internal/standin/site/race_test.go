//go:build race

package site

import (
	"os"
	"runtime"
	"testing"
)

// TestMain lets one goroutine run at a time. The race detector of Go 1.26 crashes when goroutines of one synctest bubble
// handle their timers' channels at the same moment on several processors: the bubble's timers share one context of it.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
