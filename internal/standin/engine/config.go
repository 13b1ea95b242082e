package engine

import (
	"time"

	"example.org/camphorhinge"
)

// Config describes one engine. Zero values take the defaults given with each field.
type Config struct {
	Name    camphorhinge.TargetName
	Service camphorhinge.ServiceName
	Zone    camphorhinge.Zone
	// Listen is the address to listen on; 127.0.0.1:0 by default.
	Listen string
	// Advertise is the announced address; that of the listener by default.
	Advertise string
	// Announce lists the base URLs of nodes, such as http://127.0.0.1:8081.
	Announce []string
	// Incarnation is the first incarnation; the wall-clock time in milliseconds by default.
	Incarnation camphorhinge.Incarnation

	Role     camphorhinge.Role // RoleMixed by default
	Models   []camphorhinge.ModelName
	Adapters []camphorhinge.AdapterName
	Fencing  camphorhinge.Fencing       // FencingChecked by default
	Orders   camphorhinge.OrderProtocol // OrdersPlain by default

	// PrefillRate is in prompt tokens per second, 20,000 by default.
	PrefillRate float64
	// TokenTime is the duration of one output token at batch size 1, 10 ms by default.
	TokenTime time.Duration
	// BatchSlope is the fraction of TokenTime that each further sequence of the batch adds to a step, 0.02 by default.
	BatchSlope float64
	// OffRoleFactor divides the speed of decode on a prefill engine and of prefill on a decode engine, 4 by default.
	OffRoleFactor float64
	// MaxBatch is the maximum number of sequences in the batch, 32 by default.
	MaxBatch int
	// MaxWaiting is the maximum number of queued requests, 256 by default; further ones are refused.
	MaxWaiting int
	// PrefillChunk is the maximum number of prompt tokens in one step, 2,048 by default.
	PrefillChunk camphorhinge.Tokens
	// Blocks is the KV cache for running sequences, in blocks; 256 by default.
	Blocks camphorhinge.Blocks
	// CacheBlocks is the size of the prefix cache, in blocks; 128 by default.
	CacheBlocks int

	// ChangeTime is the duration of a role change, 2 s by default; the engine accepts no work meanwhile.
	ChangeTime time.Duration
	// LoadTime is the time to load one model or adapter, 1 s by default.
	LoadTime time.Duration
	// OfflineDuringChange resets connections and stops announcements during a change.
	OfflineDuringChange bool
	// KVBlockTime is the time to import one block of KV cache, 1 ms by default.
	KVBlockTime time.Duration
	// ResumeGrace is how long a sequence without a reader keeps running and can be resumed, 3 s by default.
	ResumeGrace time.Duration

	// LoadLag is the minimum age of a load report when it is sent.
	LoadLag time.Duration
	// CacheLag is the minimum age of a cache event when it is sent.
	CacheLag time.Duration
	// CacheLoss is the probability, from 0 to 1, that a cache event is never sent.
	CacheLoss float64
	// Seed seeds the random choice of lost cache events and the nonces.
	Seed uint64

	// CrashOn crashes the engine when it starts a prompt that contains this text.
	CrashOn string
	// CrashOnOrder crashes the engine during the change of the order with this number, counted from 1.
	CrashOnOrder int
	// HalfApply leaves an order partly applied when the engine crashes during the change.
	HalfApply bool
	// KeepFence preserves the highest fencing token across a crash.
	KeepFence bool
	// RestartTime is the time from a crash to the restart with a new incarnation, 500 ms by default.
	RestartTime time.Duration
}

func (c Config) withDefaults() Config {
	setDefault(&c.Listen, "127.0.0.1:0")
	setDefault(&c.Incarnation, camphorhinge.Incarnation(time.Now().UnixMilli()))
	setDefault(&c.Role, camphorhinge.RoleMixed)
	setDefault(&c.Fencing, camphorhinge.FencingChecked)
	setDefault(&c.Orders, camphorhinge.OrdersPlain)
	setDefault(&c.PrefillRate, 20_000)
	setDefault(&c.TokenTime, 10*time.Millisecond)
	setDefault(&c.BatchSlope, 0.02)
	setDefault(&c.OffRoleFactor, 4)
	setDefault(&c.MaxBatch, 32)
	setDefault(&c.MaxWaiting, 256)
	setDefault(&c.PrefillChunk, 2048)
	setDefault(&c.Blocks, 256)
	setDefault(&c.CacheBlocks, 128)
	setDefault(&c.ChangeTime, 2*time.Second)
	setDefault(&c.LoadTime, time.Second)
	setDefault(&c.KVBlockTime, time.Millisecond)
	setDefault(&c.ResumeGrace, 3*time.Second)
	setDefault(&c.RestartTime, 500*time.Millisecond)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
