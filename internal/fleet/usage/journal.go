package usage

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/node/peer/peerpb"
	"example.org/camphorhinge/internal/state/disk"
)

const (
	// syncInterval is the time between two syncs of received counts, which is what the loss of power of a core node may cost.
	syncInterval = 200 * time.Millisecond
	// journalPrefix is the prefix of the names of journal files; a number in hexadecimal digits follows.
	journalPrefix = "usage-"
	// journalHeader is the size of the length and the checksum before each record.
	journalHeader = 12
	// maxJournalFile is the size from which records go into a new file: 300 entry nodes are estimated to send 4 MB within keepCounts, at 500
	// bytes a message.
	maxJournalFile = 16 << 20
	// maxJournalFiles bounds the number of files before the current one. A process that ends within keepCounts leaves one.
	maxJournalFiles = 8
)

// JournalConfig holds the dependencies of a Journal.
type JournalConfig struct {
	Files   camphorhinge.FileSystem
	Clock   camphorhinge.Clock
	Log     *slog.Logger
	Metrics *metrics.Set
}

// Journal keeps what a Collector has received on disk, so that a loss of power at all nodes costs the counts of the last second and not
// those of all open windows. Counts that can't be written stay in memory only. It is safe for concurrent use.
type Journal struct {
	cfg  JournalConfig
	lost *metrics.Counter

	mu      sync.Mutex
	pending []byte

	// Only OpenJournal, and after it Run, use the fields below. began is when the current file was created, size is what it holds that was
	// synced, and earlier has the names of the files before it, the oldest first.
	file    camphorhinge.File
	number  uint64
	size    int64
	began   camphorhinge.Instant
	earlier []string
	failing bool
}

// OpenJournal passes all counts in the journal of a data folder to restore, and returns a Journal that adds to it; Run must be running.
func OpenJournal(cfg JournalConfig, restore func(*peerpb.CountRequest)) (*Journal, error) {
	j := &Journal{cfg: cfg, lost: cfg.Metrics.NewCounter("camphorhinge_usage_journal_failures_total")}
	names, err := cfg.Files.List()
	if err != nil {
		return nil, &Error{Op: "open journal", Kind: KindDisk, Err: err}
	}
	for _, name := range names {
		digits, ok := strings.CutPrefix(name, journalPrefix)
		number, err := strconv.ParseUint(digits, 16, 64)
		if !ok || err != nil {
			continue
		}
		data, err := disk.ReadFile(cfg.Files, name)
		if err != nil {
			return nil, &Error{Op: "open journal", Kind: KindDisk, Err: err}
		}
		readRecords(data, restore)
		j.number = max(j.number, number)
		j.earlier = append(j.earlier, name)
	}
	slices.Sort(j.earlier)
	return j, nil
}

// Append adds received counts, which the next sync makes durable.
func (j *Journal) Append(req *peerpb.CountRequest) {
	payload, err := proto.Marshal(req)
	if err != nil {
		panic("encode counts: " + err.Error()) // They were decoded from a message.
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.pending)+len(payload)+journalHeader > maxJournalFile {
		j.lost.Inc() // A write has not returned for so long that this much waits.
		return
	}
	j.pending = binary.LittleEndian.AppendUint32(j.pending, uint32(len(payload)))
	j.pending = binary.LittleEndian.AppendUint64(j.pending, xxhash.Sum64(payload))
	j.pending = append(j.pending, payload...)
}

// Run writes received counts until ctx ends, and then what is left.
func (j *Journal) Run(ctx context.Context) error {
	ticker := time.NewTicker(syncInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
		j.flush()
	}
	if j.file != nil {
		_ = j.file.Close() // All that was written has been synced.
	}
	return nil
}

// flush writes and syncs what is pending. After a failure it goes on with a new file, since what the failed one holds is not known.
func (j *Journal) flush() {
	j.mu.Lock()
	data := j.pending
	j.pending = nil
	j.mu.Unlock()
	if len(data) == 0 {
		return
	}
	err := j.write(data)
	if err != nil {
		j.lost.Inc()
		if j.file != nil {
			_ = j.file.Close() // It has failed.
			j.endFile()
		}
	}
	if failing := err != nil; failing != j.failing {
		j.failing = failing
		if failing {
			j.cfg.Log.Warn("usage counts can't be written to disk", "error", err)
		} else {
			j.cfg.Log.Info("usage counts are written to disk again")
		}
	}
}

// write adds records to the file, or to a new one after a file that is full or has lasted for keepCounts. What was written before the
// latter began is about windows that no report is made of any more.
func (j *Journal) write(data []byte) error {
	now := j.cfg.Clock.Now()
	lasted := j.file != nil && now.Sub(j.began) > keepCounts
	if j.file != nil && (lasted || j.size+int64(len(data)) > maxJournalFile) {
		if err := j.file.Close(); err != nil {
			return err
		}
		if lasted {
			j.removeOldest(len(j.earlier))
		}
		j.endFile()
	}
	if j.file == nil {
		j.removeOldest(len(j.earlier) - maxJournalFiles)
		if err := j.create(now); err != nil {
			return err
		}
	}
	if _, err := j.file.Write(data); err != nil {
		return err
	}
	if err := j.file.Sync(); err != nil {
		return err
	}
	j.size += int64(len(data))
	return nil
}

// endFile records that the current file gets no more records. One without any is removed: a full disk often has room for names only.
func (j *Journal) endFile() {
	name := journalName(j.number)
	j.file = nil
	if j.size > 0 || !j.remove(name) {
		j.earlier = append(j.earlier, name)
	}
}

// removeOldest removes the n oldest of the earlier files. One that can't be removed stays among them.
func (j *Journal) removeOldest(n int) {
	if n <= 0 {
		return
	}
	kept := slices.DeleteFunc(slices.Clone(j.earlier[:n]), j.remove)
	j.earlier = append(kept, j.earlier[n:]...)
}

// remove removes a file and reports whether it is gone.
func (j *Journal) remove(name string) bool {
	err := j.cfg.Files.Remove(name)
	return err == nil || errors.Is(err, fs.ErrNotExist)
}

// create begins the next file.
func (j *Journal) create(now camphorhinge.Instant) error {
	file, err := j.cfg.Files.Create(journalName(j.number + 1))
	if err != nil {
		return err
	}
	j.file, j.size, j.began = file, 0, now
	j.number++
	return j.cfg.Files.SyncDir()
}

func journalName(number uint64) string { return fmt.Sprintf("%s%016x", journalPrefix, number) }

// readRecords passes the records of a file to restore, up to the first one that was not written whole.
func readRecords(data []byte, restore func(*peerpb.CountRequest)) {
	for len(data) >= journalHeader {
		length, sum := uint64(binary.LittleEndian.Uint32(data)), binary.LittleEndian.Uint64(data[4:])
		data = data[journalHeader:]
		req := &peerpb.CountRequest{}
		if length > uint64(len(data)) || xxhash.Sum64(data[:length]) != sum || proto.Unmarshal(data[:length], req) != nil {
			return
		}
		restore(req)
		data = data[length:]
	}
}
