package server

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/fleet/registry"
	"example.org/camphorhinge/internal/node/peer"
	"example.org/camphorhinge/internal/node/status"
	"example.org/camphorhinge/internal/node/tunnel"
	"example.org/camphorhinge/internal/node/web"
	"example.org/camphorhinge/internal/record/routing"
)

// openMetrics opens a port that serves metrics and the node's status, with a bound on its connections; an empty address opens none.
func openMetrics(address string, connections int, set *metrics.Set, nodeStatus func() *status.Status) (*web.Server, error) {
	if address == "" {
		return nil, nil
	}
	s, err := web.New(web.Config{Address: address, MaxBody: maxSmallBody, Connections: connections, Port: "metrics", Metrics: set})
	if err != nil {
		return nil, err
	}
	s.Hertz.GET("/metrics", func(_ context.Context, c *app.RequestContext) {
		c.Response.Header.SetContentType("text/plain; version=0.0.4")
		set.WritePrometheus(c.Response.BodyWriter())
		metrics.WriteProcessMetrics(c.Response.BodyWriter())
	})
	s.Hertz.GET(status.Path, func(_ context.Context, c *app.RequestContext) {
		data, err := json.Marshal(nodeStatus())
		if err != nil {
			c.String(consts.StatusInternalServerError, err.Error())
			return
		}
		c.Data(consts.StatusOK, "application/json", data)
	})
	return s, nil
}

// trafficInterval is the time between two log lines with the calls to other nodes.
const trafficInterval = 10 * time.Second

// logTraffic logs the number of calls to and from other nodes and their bytes by method, the number of connections from other
// nodes and the processor time of this process, until ctx ends.
func logTraffic(ctx context.Context, log *slog.Logger, set *metrics.Set, connections func() int64) error {
	ticker := time.NewTicker(trafficInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		var totals []any
		for _, name := range set.ListMetricNames() {
			if short, ok := trafficName(name); ok && strings.Contains(short, "_total") {
				totals = append(totals, slog.Uint64(short, set.GetOrCreateCounter(name).Get()))
			}
		}
		log.Info("calls to and from other nodes since the start", "connections", connections(),
			"processor_ms", processorTime().Milliseconds(), slog.Group("totals", totals...))
	}
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic("read the own processor time: " + err.Error()) // It fails for invalid arguments only.
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// trafficName returns the short name of a metric of the traffic between nodes, or false for other metrics.
func trafficName(name string) (string, bool) {
	if short, ok := strings.CutPrefix(name, peer.TrafficPrefix); ok {
		return short, true
	}
	short, ok := strings.CutPrefix(name, tunnel.MetricsPrefix)
	return "tunnel_" + short, ok
}

// nodeStatus returns the status of a core node.
func (c *Core) nodeStatus() *status.Status {
	st := newStatus(c.cfg.Node, c.cfg.Zone, c.registry, c.clock.Now())
	describeRouting(st, c.routes.Current())
	c.durable.fillStatus(st)
	st.Wanted = c.wantedStatus()
	return st
}

// nodeStatus returns the status of an entry node.
func (e *Entry) nodeStatus() *status.Status {
	st := newStatus(e.cfg.Settings.Node, e.cfg.Settings.Zone, e.registry, e.clock.Now())
	st.Stopping = e.stopping.Load()
	if index := e.follower.Index(); index != nil {
		describeRouting(st, index.Config)
	}
	for _, address := range e.follower.Cores() {
		st.Nodes = append(st.Nodes, status.Node{Address: address})
	}
	return st
}

// describeRouting adds the version and the workspaces of a routing configuration to a status, unless it is nil.
func describeRouting(st *status.Status, c *routing.Config) {
	if c == nil {
		return
	}
	st.Configuration = fmt.Sprintf("version %d", c.Version)
	for i := range c.Workspaces {
		st.Workspaces = append(st.Workspaces, c.Workspaces[i].Name)
	}
	slices.Sort(st.Workspaces)
}

func targetStatus(t *camphorhinge.Target, now camphorhinge.Instant) status.Target {
	return status.Target{
		Name: t.Name, Service: t.Service, Address: t.Address, Zone: t.Zone, Kind: t.Kind, Role: t.Role,
		Serving: t.Serving, Leaving: t.Leaving, Age: now.Sub(t.ReportedAt).Milliseconds(),
	}
}

func newStatus(node camphorhinge.NodeID, zone camphorhinge.Zone, r *registry.Registry, now camphorhinge.Instant) *status.Status {
	st := &status.Status{Node: node, Zone: zone, Configuration: "none"}
	for _, t := range r.All() {
		st.Targets = append(st.Targets, targetStatus(t, now))
	}
	return st
}
