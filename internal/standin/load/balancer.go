package load

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

// readyInterval is the time between two readiness checks of the balancer.
const readyInterval = 200 * time.Millisecond

// balancer selects among the ready nodes by round robin.
type balancer struct {
	nodes  []string
	ready  atomic.Pointer[[]string]
	next   atomic.Uint64
	client *http.Client
}

func newBalancer(nodes []string) *balancer {
	b := &balancer{nodes: nodes, client: &http.Client{Timeout: readyInterval, Transport: &http.Transport{DisableKeepAlives: true}}}
	b.ready.Store(&nodes)
	return b
}

// run checks the nodes until ctx ends. When none is ready, the last ready ones stay in use, as with common load
// balancers.
func (b *balancer) run(ctx context.Context) error {
	for {
		b.checkAll(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(readyInterval):
		}
	}
}

// checkAll checks the readiness of all nodes once.
func (b *balancer) checkAll(ctx context.Context) {
	var ready []string
	for _, n := range b.nodes {
		if b.isReady(ctx, n) {
			ready = append(ready, n)
		}
	}
	if len(ready) > 0 {
		b.ready.Store(&ready)
	}
}

func (b *balancer) isReady(ctx context.Context, node string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, node+"/readyz", http.NoBody)
	if err != nil {
		return false
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (b *balancer) pick() string {
	ready := *b.ready.Load()
	return ready[b.next.Add(1)%uint64(len(ready))]
}
