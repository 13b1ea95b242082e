package camphorhinge

import "time"

// NodeID names one process that runs serve; it is stable across restarts of that process on its VM.
type NodeID string

// ReplicaID names one replica of the durable state. A replica that lost its disk returns under a new ReplicaID.
type ReplicaID uint64

// ClusterID names one cluster; it is drawn at bootstrap and written to every data folder.
type ClusterID string

// Term numbers one leadership; it is also the fencing token of the orders which that leader sends.
type Term uint64

// Index is the position of an entry in the replicated log; the first entry has index 1.
type Index uint64

// Revision counts the accepted effective changes of the configuration; it only rises.
type Revision uint64

// Version is the operator's number of a record; it strictly rises per kind and name.
type Version uint64

// ServiceName names a service that callers address, such as asesor-lm.
type ServiceName string

// TargetName names one replica of a service: a model engine or a process of a plain service.
type TargetName string

// Zone names an availability zone, such as caribe-a.
type Zone string

// WorkspaceName names a customer or team that has its own key and limits.
type WorkspaceName string

// ModelName names a model that engines load and callers ask for.
type ModelName string

// AdapterName names an adapter of a model.
type AdapterName string

// AttemptID names one exchange with one target; a retried request gets a new AttemptID.
type AttemptID string

// RequestID names one request of a caller over all its attempts.
type RequestID string

// Incarnation numbers one start of a target; a target that restarts announces a higher one.
type Incarnation uint64

// Sequence numbers announcements, cache events or orders within their own scope.
type Sequence uint64

// Fingerprint is the xxhash64 of a request's workspace, service and body.
type Fingerprint uint64

// Priority orders requests from 0 (lowest, shed first) to 9 (highest).
type Priority uint8

// Tokens counts prompt or output tokens.
type Tokens int64

// Blocks counts pieces of engine memory, each of BlockTokens tokens.
type Blocks int64

// BlockTokens is the size of one piece of engine memory, in tokens.
const BlockTokens Tokens = 1000

// MaxPriority is the highest Priority.
const MaxPriority Priority = 9

// Instant is a time on a monotonic clock that also counts suspended time, as a duration since the clock's own zero.
// Instants of two processes can't be compared.
type Instant time.Duration

// Sub returns the duration from earlier to t.
func (t Instant) Sub(earlier Instant) time.Duration { return time.Duration(t - earlier) }

// Add returns t moved by d.
func (t Instant) Add(d time.Duration) Instant { return t + Instant(d) }
