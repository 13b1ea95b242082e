package accept

import (
	"math"
	"syscall"
)

// Share returns a percentage of the file descriptors that the process may have, at least 1, or 0 if their number is not bounded.
func Share(percent uint64) int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return 0
	}
	return max(int(limit.Cur*percent/100), 1)
}
