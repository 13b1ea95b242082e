package server

import (
	"encoding/hex"
	"sync/atomic"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/node/config"
	"example.org/camphorhinge/internal/record/schema"
	"example.org/camphorhinge/internal/record/table"
	"example.org/camphorhinge/internal/request/admit"
	"example.org/camphorhinge/internal/request/frontend"
)

// configuration gives the frontend access to the records in force; it implements frontend.Configuration.
type configuration struct {
	mirror *table.Mirror
	lease  *config.Lease
	// synced reports whether the node has received the targets that are registered at other nodes.
	synced   func() bool
	stopping atomic.Bool
}

// Ready reports whether the node has a valid configuration lease, has received the targets, and is not stopping.
func (c *configuration) Ready() bool { return !c.stopping.Load() && c.lease.Ready() && c.synced() }

// MayServe reports whether the configuration is recent enough for new requests.
func (c *configuration) MayServe() bool { return c.lease.MayServe() }

// Model returns the model, adapter and service that serve a model or adapter name.
func (c *configuration) Model(name string) (frontend.Model, bool) {
	v := c.mirror.View()
	m := frontend.Model{Model: camphorhinge.ModelName(name)}
	if a := v.Adapter(camphorhinge.AdapterName(name)); a != nil {
		m.Model, m.Adapter = a.Model, a.Name
	}
	s := v.ServiceByModel(m.Model)
	if s == nil {
		return frontend.Model{}, false
	}
	m.Service = service(s)
	return m, true
}

// Path returns the plain service with the longest matching path prefix.
func (c *configuration) Path(path string) (frontend.Service, bool) {
	s := c.mirror.View().ServiceByPath(path)
	if s == nil {
		return frontend.Service{}, false
	}
	return service(s), true
}

func service(s *schema.Service) frontend.Service {
	return frontend.Service{Name: s.Name, Idempotent: s.Idempotent, Priority: s.Priority, Deadline: s.Deadline}
}

// Workspace returns the workspace whose API key has the given SHA-256, in lower-case hexadecimal.
func (c *configuration) Workspace(keyDigest string) (frontend.Workspace, bool) {
	var key schema.KeyDigest
	if n, err := hex.Decode(key[:], []byte(keyDigest)); err != nil || n != len(key) {
		return frontend.Workspace{}, false
	}
	w := c.mirror.View().Workspace(key)
	if w == nil {
		return frontend.Workspace{}, false
	}
	return frontend.Workspace{Name: w.Name, Priority: w.Ceiling}, true
}

// limits returns the admission limits in force; it implements admit.Limits.
type limits struct{ mirror *table.Mirror }

// Limit returns the limit of a workspace at a priority, and the priority that identifies its token bucket.
func (l limits) Limit(
	workspace camphorhinge.WorkspaceName, priority camphorhinge.Priority,
) (camphorhinge.Priority, admit.Limit) {
	r := l.mirror.View().Record(schema.Key{Kind: schema.KindWorkspace, Name: string(workspace)})
	if r == nil || r.Document == nil || r.Document.Workspace == nil {
		return priority, admit.Limit{}
	}
	bucket, limit, ok := r.Document.Workspace.LimitOf(priority)
	if !ok {
		return priority, admit.Limit{}
	}
	return bucket, admit.Limit{Requests: limit.Requests, Tokens: limit.Tokens}
}
