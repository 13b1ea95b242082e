package clock

import (
	"time"

	"golang.org/x/sys/unix"

	"example.org/camphorhinge"
)

// Boot is a camphorhinge.Clock over CLOCK_BOOTTIME. The Go runtime's own monotonic clock stops while a VM is suspended,
// so a lease measured with it could look valid after its end.
type Boot struct{}

// New returns the clock of this VM.
func New() Boot { return Boot{} }

// Now returns the time since the VM started, suspended time included.
func (Boot) Now() camphorhinge.Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The call fails only on a kernel without this clock, on which no lease is safe.
		panic("clock_gettime(CLOCK_BOOTTIME): " + err.Error())
	}
	return camphorhinge.Instant(time.Duration(ts.Nano()))
}
