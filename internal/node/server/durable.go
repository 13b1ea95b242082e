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
	"example.org/camphorhinge/internal/fleet/workload"
	"example.org/camphorhinge/internal/node/config"
	"example.org/camphorhinge/internal/node/control"
	"example.org/camphorhinge/internal/node/member"
	"example.org/camphorhinge/internal/node/peer/peerpb"
	"example.org/camphorhinge/internal/node/status"
	"example.org/camphorhinge/internal/node/transport"
	"example.org/camphorhinge/internal/record/table"
	"example.org/camphorhinge/internal/request/claim"
	"example.org/camphorhinge/internal/request/quarantine"
	"example.org/camphorhinge/internal/state/consensus"
	"example.org/camphorhinge/internal/state/disk"
	"example.org/camphorhinge/internal/state/replica"
	"example.org/camphorhinge/internal/state/wal"
)

const (
	// discoverPause is the time between two attempts to learn the cluster that a new replica joins.
	discoverPause = 200 * time.Millisecond
	// discoverTimeout bounds the search for the cluster to join.
	discoverTimeout = 60 * time.Second
	// joinPause is the time between two attempts to join; a refusal comes at once.
	joinPause = time.Second
	// callTimeout bounds one call of the replica's own upkeep.
	callTimeout = 5 * time.Second
	// transferTimeout bounds the hand-over of leadership at a planned stop.
	transferTimeout = 3 * time.Second
)

// durable is the replica of the durable state on a node with a data folder.
type durable struct {
	log       *slog.Logger
	decisions camphorhinge.Decisions
	clock     camphorhinge.Clock
	self      *peerpb.Node
	client    *control.Client
	leases    *config.Leases
	folder    *disk.Folder
	cluster   camphorhinge.ClusterID
	id        camphorhinge.ReplicaID
	replica   *replica.Replica
	transport *transport.Transport
	records   *table.Table
	members   *member.Table
	claims    *claim.Machine
	crashes   *quarantine.Machine
	book      *order.Table
	// mix collects the nodes' reports while this replica leads.
	mix     *workload.Collector
	control *control.Server
	// voters is the number of voters that the leader keeps, lostAfter how long one may stay away before a spare learner takes
	// its place.
	voters    int
	lostAfter time.Duration
	// led is the term of the leadership that has begun, or 0.
	led atomic.Uint64
	// ledSince is when the present leadership began; only lead uses it.
	ledSince camphorhinge.Instant
	// away tells since when a listed node that gave its lease back has not returned; only lead uses it.
	away map[camphorhinge.NodeID]camphorhinge.Instant
	// leads receives the terms of leaderships that began; 0 tells that one has ended.
	leads chan camphorhinge.Term
}

// openDurable opens the data folder and makes the replica, if the node has one.
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
	d := &durable{
		log: s.log, decisions: s.ring, clock: s.clock, self: s.self, client: s.client, leases: s.leases, folder: folder,
		cluster: log.Identity().Cluster, id: log.Identity().Replica,
		records: table.New(), members: member.New(), claims: claim.NewMachine(), crashes: quarantine.NewMachine(),
		book: order.NewTable(), mix: workload.NewCollector(s.clock),
		away:  map[camphorhinge.NodeID]camphorhinge.Instant{},
		leads: make(chan camphorhinge.Term, 16), voters: defaultVoters, lostAfter: defaultLostAfter,
	}
	if s.cfg.Voters > 0 {
		d.voters = s.cfg.Voters
	}
	if s.cfg.LostAfter > 0 {
		d.lostAfter = s.cfg.LostAfter
	}
	s.self.Replica = uint64(d.id)
	book := transport.NewBook(d.address)
	d.transport = transport.New(transport.Config{
		Cluster: d.cluster, Replica: d.id, Address: s.self.GetAddress(), Pool: s.pool, Book: book,
		Deliver: func(ctx context.Context, m []consensus.Message) error { return d.replica.Receive(ctx, m) },
		Chunk:   d.receiveChunk, Metrics: s.metrics,
	})
	d.replica, err = replica.New(replica.Config{
		Storage: log, Transport: d, Clock: s.clock, Wall: func() int64 { return time.Now().UnixMilli() },
		Machines: map[camphorhinge.CommandKind]camphorhinge.Machine{
			camphorhinge.CommandRecord: notifying{d.records, s.applied}, camphorhinge.CommandMember: notifying{d.members, s.applied},
			camphorhinge.CommandClaim: d.claims, camphorhinge.CommandCrash: d.crashes,
			camphorhinge.CommandOrder:   notifying{d.book, s.applied},
			camphorhinge.CommandRouting: notifying{s.routes, s.applied},
		},
		Seed: s.seed(), Log: s.log,
		OnLeader:   func(t camphorhinge.Term) { d.leads <- t },
		OnFollower: func(camphorhinge.Term) { d.leads <- 0 },
	})
	if err != nil {
		return err
	}
	s.durable = d
	return nil
}

// openLog opens the log of the data folder, or makes one in an empty folder as the settings say.
func (s *Server) openLog(ctx context.Context, folder *disk.Folder) (*wal.Log, error) {
	start := replica.Start{Bootstrap: s.cfg.Bootstrap && !s.cfg.Resume, Address: s.self.GetAddress()}
	log, err := replica.Open(folder, wal.Config{}, start)
	var failed *replica.Error
	if !errors.As(err, &failed) || failed.Kind != replica.KindStart {
		return log, err
	}
	switch {
	case s.cfg.Resume && s.cfg.Bootstrap:
		start.Bootstrap = true
	case s.cfg.Join:
		// Only an empty folder needs another node's answer: after a loss of all nodes none would answer first.
		if start.Join, err = s.discover(ctx); err != nil {
			return nil, err
		}
	default:
		return nil, err
	}
	return replica.Open(folder, wal.Config{}, start)
}

// notifying calls after each applied command.
type notifying struct {
	camphorhinge.Machine
	after func()
}

// Apply applies a command and tells of it.
func (n notifying) Apply(e camphorhinge.Entry, command []byte) []byte {
	result := n.Machine.Apply(e, command)
	n.after()
	return result
}

// applied wakes the nodes' renewals, which wait for changes.
func (s *Server) applied() {
	if s.control != nil {
		s.control.Applied()
	}
	if s.source != nil {
		s.source.Changed()
	}
}

// discover asks the other nodes for the cluster that a new replica joins.
func (s *Server) discover(ctx context.Context) (camphorhinge.ClusterID, error) {
	ctx, cancel := context.WithTimeout(ctx, discoverTimeout)
	defer cancel()
	last := errors.New("no node answered")
	for {
		for _, address := range s.seeds() {
			if address == s.self.GetAddress() {
				continue
			}
			one, stop := context.WithTimeout(ctx, time.Second)
			resp, err := s.pool.Get(address).Control.Status(one, &peerpb.StatusRequest{})
			stop()
			if err != nil {
				last = err
				continue
			}
			if resp.GetCluster() != "" {
				return camphorhinge.ClusterID(resp.GetCluster()), nil
			}
		}
		select {
		case <-ctx.Done():
			return "", fmt.Errorf("cluster to join: %w", last)
		case <-time.After(discoverPause):
		}
	}
}

// address returns a replica's peer address by the list of nodes, which follows a node that moved, or else by the
// membership.
func (d *durable) address(id camphorhinge.ReplicaID) string {
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
func (d *durable) Send(to camphorhinge.ReplicaID, messages []consensus.Message) {
	d.transport.Send(to, messages)
}

// SendChunk implements replica.Transport.
func (d *durable) SendChunk(ctx context.Context, to camphorhinge.ReplicaID, c replica.Chunk) error {
	return d.transport.SendChunk(ctx, &peerpb.ChunkRequest{
		To: uint64(to), Term: uint64(c.Term), Index: uint64(c.Index), Offset: c.Offset, Data: c.Data, Last: c.Last,
	})
}

func (d *durable) receiveChunk(ctx context.Context, req *peerpb.ChunkRequest) error {
	return d.replica.ReceiveChunk(ctx, replica.Chunk{
		From: camphorhinge.ReplicaID(req.GetFrom()), Term: camphorhinge.Term(req.GetTerm()),
		Index: camphorhinge.Index(req.GetIndex()), Offset: req.GetOffset(), Data: req.GetData(), Last: req.GetLast(),
	})
}

// run drives the replica until ctx ends or its storage fails.
func (d *durable) run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		if err := d.replica.Run(ctx); err != nil {
			return &Error{Op: "replica", Kind: KindState, Err: err}
		}
		return nil
	})
	g.Go(func() error { return d.transport.Run(ctx) })
	g.Go(func() error { return d.lead(ctx) })
	g.Go(func() error { return d.join(ctx) })
	return g.Wait()
}

// join tells the leader of this replica, so that it becomes a learner; a replica that is a member already says the same
// again, which corrects its address after a move.
func (d *durable) join(ctx context.Context) error {
	for ctx.Err() == nil {
		one, cancel := context.WithTimeout(ctx, callTimeout)
		_, err := d.client.Join(one, &peerpb.JoinRequest{Node: d.self, Cluster: string(d.cluster)})
		cancel()
		if err == nil {
			return nil
		}
		var refused *control.Error
		if errors.As(err, &refused) && refused.Kind == control.KindRefused {
			d.log.Error("join refused", "error", err)
		} else {
			d.log.Debug("join not answered", "error", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(joinPause):
		}
	}
	return nil
}

// transfer hands leadership over before a planned stop.
func (d *durable) transfer() {
	if _, leads := d.replica.Authority(); !leads || len(d.replica.Membership().Voters()) < 2 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
	defer cancel()
	if err := d.replica.Transfer(ctx, 0); err != nil {
		d.log.Warn("leadership not handed over", "error", err)
	}
}

// describe adds to a status what the durable state knows.
func (d *durable) describe(st *status.Status) {
	s := d.replica.Status()
	st.Cluster = d.cluster
	st.Replica = &status.Replica{
		ID: d.id, Role: s.Role.String(), Term: s.Term, Commit: s.Commit, Applied: s.Applied, Lease: s.Leased,
		Disk: d.size(),
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
	if s.Leased {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		st.Repaired = d.replica.CheckRepaired(ctx) == nil
	}
}

// size returns the size of the data folder's files, in bytes; files that are being replaced are left out.
func (d *durable) size() int64 {
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
