package setting

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"example.org/camphorhinge"
)

// Core holds the settings of a core node, which has a replica of the durable state and is called by targets and the
// operator.
type Core struct {
	Node camphorhinge.NodeID
	Zone camphorhinge.Zone
	// ControlListen is the listen address (IP:port) for targets and the operator, PeerListen the one for other nodes, and
	// MetricsListen the one for metrics, or empty for no metrics.
	ControlListen, PeerListen, MetricsListen string
	// Data is the path of the data folder.
	Data string
	// Form creates a new cluster if the data folder is empty; otherwise a node with an empty folder joins the cluster of
	// Peers.
	Form bool
	// Peers are peer addresses of other core nodes.
	Peers []string
	// Voters is the number of voters that the leader maintains; it must be odd.
	Voters int
	// LostAfter is how long a voter may be unreachable before a spare replica replaces it.
	LostAfter time.Duration
	// Handover is how long a new leader waits before it sends orders to engines.
	Handover time.Duration
	// Grace bounds a planned stop.
	Grace time.Duration
	// ControlBytes, PeerBytes and RelayBytes are the greatest numbers of bytes that are held at a time of bodies at the control port, of
	// messages between nodes, and for connections through this node; 0 means no limit.
	ControlBytes, PeerBytes, RelayBytes int64
	// BodyRate is the minimum rate of bodies at the control port, in bytes a second; 0 means none.
	BodyRate int64
	// ResponseBytes is the greatest number of bytes of responses with the configuration that are held until they were sent; 0 means no
	// limit.
	ResponseBytes int64
	// Memory bounds the replicated state in memory.
	Memory StateMemory
	// RevocationBound is the time after which a removed key must not be accepted at any entry node; 0 means that there is no such bound.
	RevocationBound time.Duration
	// HeaderBytes is the greatest number of bytes that incomplete headers at the control port take; 0 means no limit.
	HeaderBytes int64
	// ControlConnections and PeerConnections are the greatest numbers of open connections of both ports, OtherConnections that of the
	// metrics port, and RelayConnections that of connections to targets for other nodes; 0 means no limit.
	ControlConnections, PeerConnections, OtherConnections, RelayConnections int
	// Provider is the provider of targets; its zero value stands for none.
	Provider Provider
}

// StateMemory bounds the memory of the replicated state, in bytes; 0 selects the default.
type StateMemory struct {
	// LogBytes bounds the entries of the log that are kept after a snapshot, VersionBytes the earlier versions of the routing
	// configuration, and QueueBytes the queued proposals and, separately, the entries in queued messages.
	LogBytes, VersionBytes, QueueBytes int64
}

// Check returns an error for each invalid setting, joined, or nil.
func (m *StateMemory) Check() error {
	return check(m.LogBytes >= 0 && m.VersionBytes >= 0 && m.QueueBytes >= 0, "bytes of the replicated state: expected no negative number")
}

// Provider holds what a core node owes the provider of targets while it leads.
type Provider struct {
	// Address is IP:port, or empty when nothing is owed.
	Address string
	// CallsPerSecond is the number of calls that the provider takes from all nodes together; 0 means no limit.
	CallsPerSecond float64
	// Scaling is set when the number of targets of services is to be ordered.
	Scaling bool
	// UsageWindow is the length of the windows of usage reports, or 0 when none are owed. A report is due UsageDue after its
	// window's end.
	UsageWindow, UsageDue time.Duration
}

// Check returns an error for each invalid setting, joined, or nil.
func (p *Provider) Check() error {
	return errors.Join(
		checkOptional("provider", p.Address),
		check(p.CallsPerSecond >= 0, "calls to the provider: expected no negative number"),
		check(p.UsageWindow >= 0 && p.UsageDue >= 0, "window of usage reports: expected no negative time"),
		check(p.Address != "" || !p.Scaling && p.UsageWindow == 0, "provider: expected its address"),
	)
}

// Check returns an error for each invalid setting, joined, or nil.
func (s *Core) Check() error {
	return errors.Join(
		checkNode(s.Node, s.Zone),
		checkListen("control", s.ControlListen),
		checkListen("peer", s.PeerListen),
		checkOptional("metrics", s.MetricsListen),
		check(s.Data != "", "data folder: expected one"),
		check(s.Form || len(s.Peers) > 0, "peers: expected at least one address"),
		check(s.Voters > 0 && s.Voters%2 == 1, "voters: expected an odd number, got %d", s.Voters),
		check(s.LostAfter > 0, "time until a voter counts as lost: expected more than 0"),
		check(s.Grace > 0, "grace time: expected more than 0"),
		check(s.BodyRate >= 0, "minimum rate of bodies: expected no negative number"),
		check(s.ControlBytes >= 0 && s.PeerBytes >= 0 && s.RelayBytes >= 0 && s.ResponseBytes >= 0, "bytes of messages: expected no negative number"),
		check(s.RevocationBound >= 0, "bound of revocations: expected no negative time"),
		s.Memory.Check(),
		s.Provider.Check(),
	)
}

// Serve returns the settings of the components that core nodes share with the serve process.
func (s *Core) Serve() Serve {
	return Serve{
		Node: s.Node, Zone: s.Zone, PeerListen: s.PeerListen, PeerAddress: s.PeerListen, PeerSource: hostOf(s.PeerListen),
		Data: s.Data, Bootstrap: s.Form, Join: !s.Form, Resume: true, Peers: s.Peers, PeerPlain: true,
		Voters: s.Voters, LostAfter: s.LostAfter, Memory: s.Memory,
	}
}

// Entry holds the settings of an entry node, which forwards the requests of callers.
type Entry struct {
	Node camphorhinge.NodeID
	Zone camphorhinge.Zone
	// CallerListen is the listen address (IP:port) for callers, ReadyListen the one for readiness checks of the
	// balancer, and MetricsListen the one for metrics, or empty for no metrics.
	CallerListen, ReadyListen, MetricsListen string
	// Peers are peer addresses of core nodes.
	Peers []string
	// RetryRatio, RetryAllowance and RetryWindow bound the retries of all entry nodes together: in each window there
	// are at most RetryRatio times the number of requests plus RetryAllowance.
	RetryRatio, RetryAllowance float64
	RetryWindow                time.Duration
	// StopDelay is the time from failing readiness to closing the caller port at a planned stop; Grace bounds the stop.
	StopDelay, Grace time.Duration
	// LinkMbps is the speed of the node's link in Mbit/s; 0 means unknown.
	LinkMbps float64
	// BodyBytes, AnswerBytes and PeerBytes are the greatest numbers of bytes of request bodies, of answers and of responses of other nodes
	// that are held at a time; 0 means no limit.
	BodyBytes, AnswerBytes, PeerBytes int64
	// BodyRate is the minimum rate of bodies of callers, in bytes a second: slower ones are ended if others need their memory; 0 means none.
	BodyRate int64
	// HeaderBytes is the greatest number of bytes that incomplete headers of callers take; 0 means no limit.
	HeaderBytes int64
	// CallerConnections is the greatest number of open connections of callers, TotalConnections that of callers and to targets together, and
	// OtherConnections that of each other port; 0 means no limit.
	CallerConnections, TotalConnections, OtherConnections int
	// RevocationBound is the time after which a removed key must not be accepted, whether or not this node reaches a core node; 0
	// means that there is no such bound.
	RevocationBound time.Duration
	// UsageWindow is the length of the windows in which the requests of workspaces are counted; 0 means that they are not.
	UsageWindow time.Duration
}

// Check returns an error for each invalid setting, joined, or nil.
func (s *Entry) Check() error {
	return errors.Join(
		checkNode(s.Node, s.Zone),
		checkListen("caller", s.CallerListen),
		checkListen("readiness", s.ReadyListen),
		checkOptional("metrics", s.MetricsListen),
		check(len(s.Peers) > 0, "peers: expected at least one address"),
		check(s.RetryRatio >= 0 && s.RetryAllowance >= 0, "retry budget: expected no negative number"),
		check(s.BodyRate >= 0, "minimum rate of bodies: expected no negative number"),
		check(s.BodyBytes >= 0 && s.AnswerBytes >= 0 && s.PeerBytes >= 0, "bytes of messages: expected no negative number"),
		check(s.RevocationBound >= 0 && s.UsageWindow >= 0, "bound of revocations and window of usage: expected no negative time"),
		check(s.RetryWindow > 0, "window of the retry budget: expected more than 0"),
		check(s.StopDelay >= 0 && s.Grace > s.StopDelay, "grace time: expected more than the stop delay %v, got %v", s.StopDelay, s.Grace),
	)
}

func check(ok bool, format string, args ...any) error {
	if ok {
		return nil
	}
	return fmt.Errorf(format, args...)
}

func checkNode(node camphorhinge.NodeID, zone camphorhinge.Zone) error {
	return errors.Join(
		check(node != "", "node: expected a name"),
		check(zone != "", "zone: expected a name"),
	)
}

func checkListen(what, address string) error {
	_, err := netip.ParseAddrPort(address)
	return check(err == nil, "%s address: expected IP:port, got %q", what, address)
}

func checkOptional(what, address string) error {
	if address == "" {
		return nil
	}
	return checkListen(what, address)
}

func hostOf(address string) string {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return ""
	}
	return a.Addr().String()
}
