package camphorhinge

import "errors"

// ErrUncertain marks an operation that may or may not have taken effect.
var ErrUncertain = errors.New("outcome uncertain")

// ErrNotLeader is returned by a node that is not the leader for a call that only the leader serves.
var ErrNotLeader = errors.New("not the leader")

// ErrNoSpace marks an operation for which the disk had no space.
var ErrNoSpace = errors.New("no space on the disk")
