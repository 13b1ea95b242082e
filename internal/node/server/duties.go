package server

import (
	"context"
	"time"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/fleet/balance"
	"example.org/camphorhinge/internal/fleet/duty"
	"example.org/camphorhinge/internal/fleet/scale"
	"example.org/camphorhinge/internal/fleet/usage"
	"example.org/camphorhinge/internal/node/clock"
	"example.org/camphorhinge/internal/node/feed"
	"example.org/camphorhinge/internal/node/status"
)

// newHolder returns the holder of the duties; all calls to the provider share it.
func (c *Core) newHolder() *duty.Holder {
	return duty.New(duty.Config{
		Node: c.cfg.Node, Authority: c.durable.replica, Clock: c.clock, HandoverDelay: c.settings.Handover,
		CallsPerSecond: c.settings.Provider.CallsPerSecond,
	})
}

// buildDuties creates what the settings ask for: the reporter of usage and the controller of the number of engines. It returns the
// collector of usage counts, or nil when no reports are owed.
func (c *Core) buildDuties(cfg CoreConfig) feed.Usage {
	p := c.settings.Provider
	if p.UsageWindow == 0 && !p.Scaling {
		return nil
	}
	holder := c.newHolder()
	provider := cfg.Provider(p.Address, holder)
	if p.Scaling {
		c.buildScaler(provider, holder)
	}
	if p.UsageWindow == 0 {
		return nil
	}
	return c.buildReporter(provider, holder)
}

// buildCollector creates the collector of usage counts with what its journal has kept. Without a journal that can be read, the counts of open
// windows are lost with the power of all nodes, but the node serves.
func (c *Core) buildCollector() *usage.Collector {
	collector := usage.NewCollector(c.clock, wallClock)
	journal, err := usage.OpenJournal(usage.JournalConfig{Files: c.durable.folder, Clock: c.clock, Log: c.log, Metrics: c.metrics}, collector.Record)
	if err != nil {
		c.log.Error("usage counts are not kept on disk", "error", err)
		return collector
	}
	c.journal = journal
	collector.UseJournal(journal)
	return collector
}

// buildReporter creates the reporter of usage and returns the collector of the counts that it reports.
func (c *Core) buildReporter(provider usage.Provider, holder *duty.Holder) *usage.Collector {
	p := c.settings.Provider
	collector := c.buildCollector()
	c.reporter = usage.NewReporter(usage.ReporterConfig{
		Window: p.UsageWindow, Due: p.UsageDue, Duties: holder, Provider: provider, Machine: c.durable.usage,
		Proposer: c.client, Collector: collector, Others: c.otherCoreAddresses,
		Feed:  func(address string) usage.Feed { return c.pool.Get(address).Feed },
		Clock: c.clock, Time: clock.NewReference(c.clock, func() int { return len(c.durable.coreAddresses()) }), Log: c.log, Metrics: c.metrics,
	})
	return collector
}

// wallClock returns the wall clock in milliseconds since the Unix epoch.
func wallClock() int64 { return time.Now().UnixMilli() }

// buildScaler creates the controller that orders the number of engines.
func (c *Core) buildScaler(provider scale.Provider, holder scale.Duties) {
	c.scaler = scale.New(scale.Config{
		Duties: holder, Provider: provider, Targets: c.registry, Configuration: c.routes.Current, Load: c.engineLoad,
		Clock: c.clock, HandoverDelay: c.settings.Handover, Log: c.log, Metrics: c.metrics,
	})
}

// balanceLoad returns the load of a service's engines for the assignment of roles.
func (c *Core) balanceLoad(ctx context.Context, service camphorhinge.ServiceName) balance.Load {
	load := c.engineLoad(ctx, service)
	if current := c.routes.Current(); c.scaler != nil && current != nil {
		s := current.Service(service)
		load.Scaled = s != nil && s.Scaling != nil
	}
	return load
}

// wantedStatus returns the wanted numbers of engines; there are none unless this node orders them.
func (c *Core) wantedStatus() []status.Wanted {
	if c.scaler == nil {
		return nil
	}
	var out []status.Wanted
	for _, w := range c.scaler.Wanted() {
		out = append(out, status.Wanted{
			Service: w.Service, Zone: w.Kind.Zone, Spot: w.Kind.Spot, Wanted: w.Wanted, Ordered: w.Ordered, Serving: w.Serving,
		})
	}
	return out
}
