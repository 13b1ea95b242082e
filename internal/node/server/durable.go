package server

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/fleet/order"
	"example.org/camphorhinge/internal/fleet/usage"
	"example.org/camphorhinge/internal/fleet/workload"
	"example.org/camphorhinge/internal/node/config"
	"example.org/camphorhinge/internal/node/control"
	"example.org/camphorhinge/internal/node/member"
	"example.org/camphorhinge/internal/node/peer/peerpb"
	"example.org/camphorhinge/internal/node/status"
	"example.org/camphorhinge/internal/node/transport"
	"example.org/camphorhinge/internal/record/table"
	"example.org/camphorhinge/internal/request/claim"
	"example.org/camphorhinge/internal/request/origin"
	"example.org/camphorhinge/internal/request/quarantine"
	"example.org/camphorhinge/internal/state/consensus"
	"example.org/camphorhinge/internal/state/disk"
	"example.org/camphorhinge/internal/state/replica"
	"example.org/camphorhinge/internal/state/wal"
)

const (
	// discoverPause is the pause between two attempts to find the cluster that a new replica joins.
	discoverPause = 200 * time.Millisecond
	// discoverTimeout bounds the search for the cluster to join.
	discoverTimeout = 60 * time.Second
	// joinPause is the pause between two attempts to join; a refused attempt returns at once.
	joinPause = time.Second
	// callTimeout bounds one call that maintains the membership.
	callTimeout = 5 * time.Second
	// fullPause is the pause between two attempts to open the log on a full disk.
	fullPause = 200 * time.Millisecond
	// transferTimeout bounds the transfer of leadership at a planned stop.
	transferTimeout = 3 * time.Second
)

// durableState is the replicated state of a node with a data folder: the replica, its state machines, and the leader's
// maintenance of the membership.
type durableState struct {
	log        *slog.Logger
	decisions  camphorhinge.Decisions
	clock      camphorhinge.Clock
	self       *peerpb.Node
	client     *control.Client
	leases     *config.Leases
	folder     *disk.Folder
	cluster    camphorhinge.ClusterID
	id         camphorhinge.ReplicaID
	replica    *replica.Replica
	transport  *transport.Transport
	records    *table.Table
	members    *member.Table
	claims     *claim.Machine
	crashes    *quarantine.Machine
	scoreCache scoreCache
	orderTable *order.Table
	// versions are the software versions in service.
	versions *origin.Machine
	// usage holds the usage reports to the provider.
	usage *usage.Machine
	// workload collects the workload reports of all nodes while this replica leads.
	workload *workload.Collector
	control  *control.Server
	// voters is the number of voters that the leader maintains; lostAfter is how long a voter may be unreachable before a
	// spare learner replaces it.
	voters    int
	lostAfter time.Duration
	// activeTerm is the term of the current leadership once its leases have been initialized, or 0.
	activeTerm atomic.Uint64
	// leaderSince is when the current leadership began; only runLeader uses it.
	leaderSince camphorhinge.Instant
	// absentSince records when the leader first saw a listed node without a lease, as after a planned stop; only runLeader
	// uses it.
	absentSince map[camphorhinge.NodeID]camphorhinge.Instant
	// leadership receives the term of each leadership that begins, and 0 when one ends.
	leadership chan camphorhinge.Term
}

// openDurable opens the data folder and creates the replica; it does nothing on a node without a data folder.
func (s *Server) openDurable(ctx context.Context) error {
	if s.cfg.Data == "" {
		return nil
	}
	folder, err := disk.Open(s.cfg.Data)
	if err != nil {
		return err
	}
	s.closers = append(s.closers, folder)
	log, err := s.openLog(ctx, folder)
	if err != nil {
		return err
	}
	s.closers = append(s.closers, log)
	d := &durableState{
		log: s.log, decisions: s.ring, clock: s.clock, self: s.self, client: s.client, leases: s.leases, folder: folder,
		cluster: log.Identity().Cluster, id: log.Identity().Replica,
		records: table.New(), members: member.New(), claims: claim.NewMachine(), crashes: quarantine.NewMachine(),
		orderTable: order.NewTable(), versions: origin.NewMachine(), usage: usage.NewMachine(), workload: workload.NewCollector(s.clock),
		absentSince: map[camphorhinge.NodeID]camphorhinge.Instant{},
		leadership:  make(chan camphorhinge.Term, 16), voters: defaultVoters, lostAfter: defaultLostAfter,
	}
	if s.cfg.Voters > 0 {
		d.voters = s.cfg.Voters
	}
	if s.cfg.LostAfter > 0 {
		d.lostAfter = s.cfg.LostAfter
	}
	s.self.Replica = uint64(d.id)
	addresses := transport.NewAddressTable(d.address)
	d.transport = transport.New(transport.Config{
		Cluster: d.cluster, Replica: d.id, Address: s.self.GetAddress(), Pool: s.pool, Addresses: addresses,
		Deliver: func(ctx context.Context, m []consensus.Message) error { return d.replica.Receive(ctx, m) },
		Chunk:   d.receiveChunk, Metrics: s.metrics,
	})
	d.replica, err = replica.New(replica.Config{
		Storage: log, Transport: d, Clock: s.clock, Wall: func() int64 { return time.Now().UnixMilli() },
		Machines: map[camphorhinge.CommandKind]camphorhinge.Machine{
			camphorhinge.CommandRecord: notifyingMachine{d.records, s.notifyApplied}, camphorhinge.CommandMember: notifyingMachine{d.members, s.notifyApplied},
			camphorhinge.CommandClaim: d.claims, camphorhinge.CommandCrash: notifyingMachine{d.crashes, d.notifyCrash(s.notifyApplied)},
			camphorhinge.CommandOrder:   notifyingMachine{d.orderTable, s.notifyApplied},
			camphorhinge.CommandRouting: notifyingMachine{s.routes, s.notifyApplied},
			camphorhinge.CommandVersion: d.versions, camphorhinge.CommandUsage: d.usage,
		},
		Seed: s.seed(), Log: s.log, KeptBytes: int(s.cfg.Memory.LogBytes), QueuedBytes: int(s.cfg.Memory.QueueBytes),
		OnLeader:   func(t camphorhinge.Term) { d.leadership <- t },
		OnFollower: func(camphorhinge.Term) { d.leadership <- 0 },
	})
	if err != nil {
		return err
	}
	s.durable = d
	return nil
}

// openLog opens the log in the data folder. In an empty folder it creates one, by bootstrap or by joining a cluster
// according to the settings.
func (s *Server) openLog(ctx context.Context, folder *disk.Folder) (*wal.Log, error) {
	start := replica.Start{Bootstrap: s.cfg.Bootstrap && !s.cfg.Resume, Address: s.self.GetAddress()}
	log, err := openWhenSpace(ctx, s.log, func() (*wal.Log, error) { return replica.Open(folder, wal.Config{}, start) })
	var failed *replica.Error
	if !errors.As(err, &failed) || failed.Kind != replica.KindStart {
		return log, err
	}
	switch {
	case s.cfg.Resume && s.cfg.Bootstrap:
		start.Bootstrap = true
	case s.cfg.Join:
		// Only an empty folder needs another node's response. With a log the node starts on its own, since nodes that all
		// restart at once would otherwise wait for each other.
		if start.Join, err = s.discover(ctx); err != nil {
			return nil, err
		}
	default:
		return nil, err
	}
	return openWhenSpace(ctx, s.log, func() (*wal.Log, error) { return replica.Open(folder, wal.Config{}, start) })
}

// openWhenSpace opens a log, and repeats that while the disk has no space to rewrite its last segment, until ctx ends: a process that
// ended instead would start again and again.
func openWhenSpace(ctx context.Context, logger *slog.Logger, open func() (*wal.Log, error)) (*wal.Log, error) {
	for waiting := false; ; waiting = true {
		log, err := open()
		if !errors.Is(err, camphorhinge.ErrNoSpace) {
			return log, err
		}
		if !waiting {
			logger.Warn("disk is full, the start waits for space", "error", err)
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(fullPause):
		}
	}
}

// notifyingMachine is a Machine that calls onApplied after each applied command.
type notifyingMachine struct {
	camphorhinge.Machine
	onApplied func()
}

// Apply applies a command and calls onApplied.
func (n notifyingMachine) Apply(e camphorhinge.Entry, command []byte) []byte {
	result := n.Machine.Apply(e, command)
	n.onApplied()
	return result
}

// notifyCrash returns a function that makes the crash scores due and then calls next.
func (d *durableState) notifyCrash(next func()) func() {
	return func() {
		d.scoreCache.changed.Store(true)
		next()
	}
}

// notifyApplied wakes the renewals and watches that wait for changes.
func (s *Server) notifyApplied() {
	if s.control != nil {
		s.control.Applied()
	}
	if s.source != nil {
		s.source.WakeWatches()
	}
}

// discover queries the seed nodes until one returns the ID of the cluster that a new replica joins.
func (s *Server) discover(ctx context.Context) (camphorhinge.ClusterID, error) {
	ctx, cancel := context.WithTimeout(ctx, discoverTimeout)
	defer cancel()
	lastErr := errors.New("no node answered")
	for {
		for _, address := range s.seeds() {
			if address == s.self.GetAddress() {
				continue
			}
			callCtx, cancelCall := context.WithTimeout(ctx, time.Second)
			resp, err := s.pool.Get(address).Control.Status(callCtx, &peerpb.StatusRequest{})
			cancelCall()
			if err != nil {
				lastErr = err
				continue
			}
			if resp.GetCluster() != "" {
				return camphorhinge.ClusterID(resp.GetCluster()), nil
			}
		}
		select {
		case <-ctx.Done():
			return "", fmt.Errorf("find the cluster to join: %w", lastErr)
		case <-time.After(discoverPause):
		}
	}
}

// address returns the peer address of a replica, or "" if it is unknown. The list of nodes takes precedence over the
// membership, since it is updated when a node moves.
func (d *durableState) address(id camphorhinge.ReplicaID) string {
	for _, n := range d.members.Nodes() {
		if n.Replica == id {
			return n.Address
		}
	}
	if d.replica == nil {
		return ""
	}
	m, _ := d.replica.Membership().Find(id)
	return m.Address
}

// Send implements replica.Transport.
func (d *durableState) Send(to camphorhinge.ReplicaID, messages []consensus.Message) {
	d.transport.Send(to, messages)
}

// SendChunk implements replica.Transport.
func (d *durableState) SendChunk(ctx context.Context, to camphorhinge.ReplicaID, c replica.Chunk) error {
	return d.transport.SendChunk(ctx, &peerpb.ChunkRequest{
		To: uint64(to), Term: uint64(c.Term), Index: uint64(c.Index), Offset: c.Offset, Data: c.Data, Last: c.Last,
	})
}

func (d *durableState) receiveChunk(ctx context.Context, req *peerpb.ChunkRequest) error {
	return d.replica.ReceiveChunk(ctx, replica.Chunk{
		From: camphorhinge.ReplicaID(req.GetFrom()), Term: camphorhinge.Term(req.GetTerm()),
		Index: camphorhinge.Index(req.GetIndex()), Offset: req.GetOffset(), Data: req.GetData(), Last: req.GetLast(),
	})
}

// run drives the replica until ctx ends or its storage fails.
func (d *durableState) run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		if err := d.replica.Run(ctx); err != nil {
			return &Error{Op: "replica", Kind: KindState, Err: err}
		}
		return nil
	})
	g.Go(func() error { return d.transport.Run(ctx) })
	g.Go(func() error { return d.runLeader(ctx) })
	g.Go(func() error { return d.join(ctx) })
	return g.Wait()
}

// join registers this replica with the leader, which adds it as a learner. A replica that is already a member joins
// again, which updates its address after a move.
func (d *durableState) join(ctx context.Context) error {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		_, err := d.client.Join(callCtx, &peerpb.JoinRequest{Node: d.self, Cluster: string(d.cluster)})
		cancel()
		if err == nil {
			return nil
		}
		var refused *control.Error
		if errors.As(err, &refused) && refused.Kind == control.KindRefused {
			d.log.Error("join refused", "error", err)
		} else {
			d.log.Debug("join failed", "error", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(joinPause):
		}
	}
	return nil
}

// transferLeadership transfers leadership to another voter before a planned stop, if this replica leads.
func (d *durableState) transferLeadership() {
	if _, leads := d.replica.Authority(); !leads || len(d.replica.Membership().Voters()) < 2 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
	defer cancel()
	if err := d.replica.Transfer(ctx, 0); err != nil {
		d.log.Warn("leadership not transferred", "error", err)
	}
}

// fillStatus adds the state of the replica, the cluster and its nodes to a status.
func (d *durableState) fillStatus(st *status.Status) {
	s := d.replica.Status()
	st.Cluster = d.cluster
	st.Replica = &status.Replica{
		ID: d.id, Role: s.Role.String(), Term: s.Term, Commit: s.Commit, Applied: s.Applied, Lease: s.Leased,
		Disk: d.diskUsage(),
	}
	leases := d.leases.Members()
	for _, n := range d.members.Nodes() {
		one := status.Node{Name: n.Name, Address: n.Address, Zone: n.Zone, Replica: n.Replica}
		if m, ok := s.Membership.Find(n.Replica); ok {
			one.Member = "learner"
			if m.Voter {
				one.Member = "voter"
			}
		}
		if l, ok := leases[n.Name]; ok {
			one.Revision, one.Age = l.Confirmed.Revision, l.Age.Milliseconds()
		}
		if n.Replica == s.Leader {
			st.Leader = n.Name
		}
		st.Nodes = append(st.Nodes, one)
	}
	if waiting, last := d.usage.Waiting(), d.usage.Last(); last > 0 || len(waiting) > 0 {
		st.Usage = &status.Usage{Last: last, Waiting: waiting}
	}
	if s.Leased {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		st.Repaired = d.replica.CheckRepaired(ctx) == nil
	}
}

// diskUsage returns the total size of the files in the data folder, in bytes. It omits files that cannot be opened, for
// example because they are being replaced.
func (d *durableState) diskUsage() int64 {
	names, err := d.folder.List()
	if err != nil {
		return 0
	}
	var total int64
	for _, name := range names {
		f, err := d.folder.Open(name)
		if err != nil {
			continue
		}
		if n, err := f.Size(); err == nil {
			total += n
		}
		f.Close()
	}
	return total
}
