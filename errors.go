package camphorhinge

import "errors"

// ErrUncertain marks an operation whose effect is not known.
var ErrUncertain = errors.New("outcome uncertain")

// ErrNotLeader marks a call that only the leader answers.
var ErrNotLeader = errors.New("not the leader")
