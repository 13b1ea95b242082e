package replica

import (
	"crypto/rand"
	"encoding/binary"
	"errors"

	"github.com/google/uuid"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/state/consensus"
	"example.org/camphorhinge/internal/state/wal"
)

// Start says how Open treats an empty data folder. The zero value is for a restart, which requires a folder with a log.
type Start struct {
	// Bootstrap creates a new cluster with this replica as its only voter.
	Bootstrap bool
	// Join is the existing cluster for which to create a replica, which then waits until the leader adds it as a learner.
	Join camphorhinge.ClusterID
	// Address is this replica's peer address, for Bootstrap.
	Address string
}

// Open opens the log of a data folder, or creates one in an empty folder. Each new log gets a new random identity, so
// that no replica returns with an empty disk under its old identity. Bootstrap is refused for a folder with a log, and
// so is Join for a folder of another cluster.
func Open(fsys camphorhinge.FileSystem, cfg wal.Config, start Start) (*wal.Log, error) {
	const op = "open"
	log, err := wal.Open(fsys, cfg)
	var e *wal.Error
	switch {
	case err == nil && start.Bootstrap:
		return nil, errors.Join(failure(op, KindStart, "bootstrap of a folder that holds replica %d", log.Identity().Replica),
			log.Close())
	case err == nil && start.Join != "" && start.Join != log.Identity().Cluster:
		return nil, errors.Join(failure(op, KindStart, "the folder belongs to cluster %q", log.Identity().Cluster), log.Close())
	case err == nil:
		return log, nil
	case !errors.As(err, &e) || e.Kind != wal.KindEmpty:
		return nil, &Error{Op: op, Kind: KindStorage, Err: err}
	case !start.Bootstrap && start.Join == "":
		return nil, &Error{Op: op, Kind: KindStart, Err: err}
	}
	id := wal.Identity{Replica: randomReplicaID(), Cluster: start.Join}
	if start.Bootstrap {
		id.Cluster = camphorhinge.ClusterID(uuid.NewString())
	}
	if log, err = wal.Create(fsys, id, cfg); err != nil {
		return nil, &Error{Op: op, Kind: KindStorage, Err: err}
	}
	if !start.Bootstrap {
		return log, nil
	}
	members := consensus.Membership{Members: []consensus.Member{{ID: id.Replica, Voter: true, Address: start.Address}}}
	hard, entries := consensus.Bootstrap(members)
	w := writer{storage: log}
	err = w.writeOne(write{number: 1, hardState: &hard, entries: entries})
	if err == nil {
		err = log.Sync()
	}
	if err != nil {
		return nil, errors.Join(&Error{Op: op, Kind: KindStorage, Err: err}, log.Close())
	}
	return log, nil
}

// randomReplicaID returns a random identity of 63 bits, which no other replica is expected to have had.
func randomReplicaID() camphorhinge.ReplicaID {
	var b [8]byte
	for {
		// rand.Read never fails.
		_, _ = rand.Read(b[:])
		if id := binary.BigEndian.Uint64(b[:]) >> 1; id != 0 {
			return camphorhinge.ReplicaID(id)
		}
	}
}
