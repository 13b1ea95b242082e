//go:build race

package site

import (
	"os"
	"runtime"
	"testing"
)

// TestMain lets one goroutine run at a time. On several processors the race detector of Go 1.26 crashes in some runs of this
// package, probably because goroutines of one synctest bubble use its timers' context of the detector at the same moment.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
