package camphorhinge

import "time"

// NodeID identifies one node; it is stable across restarts of the process on its VM.
type NodeID string

// ReplicaID identifies one replica of the durable state. A replica that lost its disk rejoins under a new ReplicaID.
type ReplicaID uint64

// ClusterID identifies one cluster; it is generated at random at bootstrap and written to every data folder.
type ClusterID string

// Term numbers the leaderships; it is also the fencing token of the orders that the leader of the term sends.
type Term uint64

// Index is the position of an entry in the replicated log; the first entry has index 1.
type Index uint64

// Revision counts the accepted changes of the configuration that had an effect; it never decreases.
type Revision uint64

// Version is the number that the operator gives a record; it strictly increases per kind and name.
type Version uint64

// ServiceName names a service that callers address, such as asesor-lm.
type ServiceName string

// TargetName names one replica of a service: a model engine or a process of a plain service.
type TargetName string

// SoftwareVersion names the version of the software that a target runs. A stream can only be continued on a target of the
// version that began it.
type SoftwareVersion string

// Zone names an availability zone, such as caribe-a.
type Zone string

// WorkspaceName names a customer or team that has its own key and limits.
type WorkspaceName string

// ModelName names a model that engines load and callers request.
type ModelName string

// AdapterName names an adapter of a model.
type AdapterName string

// AttemptID identifies one exchange with one target; a retried request gets a new AttemptID.
type AttemptID string

// RequestID identifies one request of a caller across all its attempts.
type RequestID string

// Incarnation numbers the starts of a target; a target that restarts announces a higher one.
type Incarnation uint64

// Sequence numbers announcements, cache events or orders, each within its own scope.
type Sequence uint64

// Fingerprint is the xxhash64 of a request's workspace, service and body.
type Fingerprint uint64

// Priority orders requests from 0 (lowest, shed first) to 9 (highest).
type Priority uint8

// Tokens counts prompt or output tokens.
type Tokens int64

// Blocks counts fixed-size blocks of engine memory, each of BlockTokens tokens.
type Blocks int64

// BlockTokens is the size of one block of engine memory, in tokens.
const BlockTokens Tokens = 1000

// MaxPriority is the highest Priority.
const MaxPriority Priority = 9

// Instant is a point in time on a monotonic clock that also advances while the system is suspended, as a duration since
// the zero of that clock. Instants of different processes can't be compared.
type Instant time.Duration

// Sub returns the duration from earlier to t.
func (t Instant) Sub(earlier Instant) time.Duration { return time.Duration(t - earlier) }

// Add returns t moved by d.
func (t Instant) Add(d time.Duration) Instant { return t + Instant(d) }
