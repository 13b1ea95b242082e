package camphorhinge

import "time"

// Role is what an engine does in the serving of a request.
type Role string

const (
	// RoleMixed serves prefill and decode.
	RoleMixed Role = "mixed"
	// RolePrefill computes the KV cache of prompts and hands it over.
	RolePrefill Role = "prefill"
	// RoleDecode generates tokens from an imported KV cache.
	RoleDecode Role = "decode"
)

// Fencing tells whether an engine refuses orders that carry an old fencing token.
type Fencing string

const (
	// FencingChecked marks an engine that refuses an order with a lower (fence, seq).
	FencingChecked Fencing = "checked"
	// FencingIgnored marks an engine that ignores the fencing token.
	FencingIgnored Fencing = "ignored"
)

// OrderProtocol tells which extra condition an engine supports on orders.
type OrderProtocol string

const (
	// OrdersPlain marks an engine that takes an order without a condition.
	OrdersPlain OrderProtocol = "plain"
	// OrdersTwoStep marks an engine whose orders need a nonce from a preceding prepare call.
	OrdersTwoStep OrderProtocol = "twostep"
	// OrdersConditional marks an engine that checks the incarnation and revision named by an order.
	OrdersConditional OrderProtocol = "conditional"
)

// Load is an engine's or service's report of its own load; it describes the past.
type Load struct {
	Running    int    `json:"running"`
	Waiting    int    `json:"waiting"`
	Tokens     Tokens `json:"tokens"`
	Blocks     Blocks `json:"blocks"`
	FreeBlocks Blocks `json:"freeBlocks"`
	// Age is the time, in milliseconds, between taking the report and sending it.
	Age int64 `json:"age"`
}

// CacheEvent tells that an engine stored or evicted the KV cache of a prompt prefix.
type CacheEvent struct {
	Seq    Sequence `json:"seq"`
	Prefix uint64   `json:"prefix"`
	Blocks Blocks   `json:"blocks"`
	Evict  bool     `json:"evict,omitempty"`
}

// CacheReport carries cache events up to Seq; events may be missing.
type CacheReport struct {
	Seq    Sequence     `json:"seq"`
	Events []CacheEvent `json:"events,omitempty"`
}

// LastOrder is an engine's own word on the last order that it took.
type LastOrder struct {
	Fence Term     `json:"fence"`
	Seq   Sequence `json:"seq"`
	State string   `json:"state"`
}

// Announcement is what a target states about itself, each second and on a change.
// Of two announcements of one target the higher (Incarnation, Seq) holds.
type Announcement struct {
	Name        TargetName    `json:"name"`
	Service     ServiceName   `json:"service"`
	Address     string        `json:"address"`
	Zone        Zone          `json:"zone"`
	Incarnation Incarnation   `json:"incarnation"`
	Seq         Sequence      `json:"seq"`
	Kind        string        `json:"kind"`
	Role        Role          `json:"role,omitempty"`
	Models      []ModelName   `json:"models,omitempty"`
	Adapters    []AdapterName `json:"adapters,omitempty"`
	Fencing     Fencing       `json:"fencing,omitempty"`
	Orders      OrderProtocol `json:"orders,omitempty"`
	// Slots is the number of requests that the target runs at once; 0 when it does not say.
	Slots int `json:"slots,omitempty"`
	// Warming is how much longer the target is slow after its start, in milliseconds.
	Warming int64 `json:"warming,omitempty"`
	Leaving bool  `json:"leaving,omitempty"`
	// Left tells that the target has left for good; a later announcement of the same incarnation is void.
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

// Target is a live target as one node sees it.
type Target struct {
	Announcement
	// ReportedAt is when the node learned of the announcement, moved back by its age on the way.
	ReportedAt Instant
	// Serving is false while the target must get no new work: it is leaving, draining, changing or unmatched.
	Serving bool
}

// TargetExpiry is how long a target stays live after its last renewal.
const TargetExpiry = 2500 * time.Millisecond

// AnnounceInterval is the time between two renewals of a target.
const AnnounceInterval = time.Second
