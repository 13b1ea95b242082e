package clock

import (
	"time"

	"golang.org/x/sys/unix"

	"example.org/camphorhinge"
)

// Boot is a camphorhinge.Clock based on CLOCK_BOOTTIME. The monotonic clock of the Go runtime stops while a VM is
// suspended, so that a lease measured with it could appear valid after it has expired.
type Boot struct{}

// New returns the clock of this VM.
func New() Boot { return Boot{} }

// Now returns the time since the VM started, including suspended time.
func (Boot) Now() camphorhinge.Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The call fails only on kernels without this clock, on which leases are not safe.
		panic("clock_gettime(CLOCK_BOOTTIME): " + err.Error())
	}
	return camphorhinge.Instant(time.Duration(ts.Nano()))
}
