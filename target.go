package camphorhinge

import "time"

// Role is the part that an engine takes in serving requests.
type Role string

const (
	// RoleMixed serves prefill and decode.
	RoleMixed Role = "mixed"
	// RolePrefill computes the KV cache of prompts and transfers it to other engines.
	RolePrefill Role = "prefill"
	// RoleDecode generates tokens from an imported KV cache.
	RoleDecode Role = "decode"
)

// Fencing states whether an engine refuses orders that carry an old fencing token.
type Fencing string

const (
	// FencingChecked marks an engine that refuses an order with a lower (fence, seq).
	FencingChecked Fencing = "checked"
	// FencingIgnored marks an engine that ignores the fencing token.
	FencingIgnored Fencing = "ignored"
)

// OrderProtocol states which precondition on orders an engine supports.
type OrderProtocol string

const (
	// OrdersPlain marks an engine that takes orders without a precondition.
	OrdersPlain OrderProtocol = "plain"
	// OrdersTwoStep marks an engine whose orders need a nonce from a preceding prepare call.
	OrdersTwoStep OrderProtocol = "twostep"
	// OrdersConditional marks an engine that checks the incarnation and revision named by an order.
	OrdersConditional OrderProtocol = "conditional"
)

// Load is the load that an engine or service reports; it is Age old when it is sent.
type Load struct {
	Running    int    `json:"running"`
	Waiting    int    `json:"waiting"`
	Tokens     Tokens `json:"tokens"`
	Blocks     Blocks `json:"blocks"`
	FreeBlocks Blocks `json:"freeBlocks"`
	// Age is the time, in milliseconds, between taking the report and sending it.
	Age int64 `json:"age"`
}

// CacheEvent reports that an engine stored or evicted the KV cache of a prompt prefix.
type CacheEvent struct {
	Seq    Sequence `json:"seq"`
	Prefix uint64   `json:"prefix"`
	Blocks Blocks   `json:"blocks"`
	Evict  bool     `json:"evict,omitempty"`
}

// CacheReport carries cache events up to Seq; some events may be missing.
type CacheReport struct {
	Seq    Sequence     `json:"seq"`
	Events []CacheEvent `json:"events,omitempty"`
}

// LastOrder is an engine's report on the last order that it accepted.
type LastOrder struct {
	Fence Term     `json:"fence"`
	Seq   Sequence `json:"seq"`
	State string   `json:"state"`
}

// Announcement is the state that a target reports every AnnounceInterval and on each change.
// Of two announcements of one target, the one with the higher (Incarnation, Seq) is in force.
type Announcement struct {
	Name        TargetName  `json:"name"`
	Service     ServiceName `json:"service"`
	Address     string      `json:"address"`
	Zone        Zone        `json:"zone"`
	Incarnation Incarnation `json:"incarnation"`
	// Software is the version of the target's software, or empty when the target does not state one.
	Software SoftwareVersion `json:"software,omitempty"`
	Seq      Sequence        `json:"seq"`
	Kind     string          `json:"kind"`
	Role     Role            `json:"role,omitempty"`
	Models   []ModelName     `json:"models,omitempty"`
	Adapters []AdapterName   `json:"adapters,omitempty"`
	Fencing  Fencing         `json:"fencing,omitempty"`
	Orders   OrderProtocol   `json:"orders,omitempty"`
	// Slots is the number of requests that the target runs concurrently, or 0 when it does not report one.
	Slots int `json:"slots,omitempty"`
	// Warming is the remaining time for which the target is slow after its start, in milliseconds.
	Warming int64 `json:"warming,omitempty"`
	Leaving bool  `json:"leaving,omitempty"`
	// Spot is true for a target that the provider may reclaim.
	Spot bool `json:"spot,omitempty"`
	// LeavesIn is the time that a leaving target has left, in milliseconds; 0 means that it is not known.
	LeavesIn int64 `json:"leavesIn,omitempty"`
	// Left is true once the target has left permanently; later announcements of the same incarnation are ignored.
	Left     bool        `json:"left,omitempty"`
	Busy     bool        `json:"busy,omitempty"`
	Revision uint64      `json:"revision,omitempty"`
	Last     LastOrder   `json:"last"`
	Load     Load        `json:"load"`
	Cache    CacheReport `json:"cache"`
}

// Kinds of targets in an Announcement.
const (
	// KindEngine marks a model engine.
	KindEngine = "engine"
	// KindService marks a process of a plain service.
	KindService = "service"
)

// Target is a live target with what one node has recorded of it.
type Target struct {
	Announcement
	// ReportedAt is the time at which the target sent the announcement: that of receipt, less the time in transit.
	ReportedAt Instant
	// Serving is false while the target must get no new work: it is leaving, busy or cordoned.
	Serving bool
}

// TargetExpiry is how long a target stays live after its last renewal.
const TargetExpiry = 2500 * time.Millisecond

// AnnounceInterval is the time between two renewals of a target.
const AnnounceInterval = time.Second
