// Package wal implements a write-ahead log that stores a replica's log entries, hard state, identity and snapshot in
// the files of one folder.
//
// The folder contains the file identity, segments named log-N with increasing numbers, and one snapshot-I. Each file is
// a sequence of frames: length (4 bytes), xxhash64 of the payload (8 bytes), payload; numbers are little-endian. A
// segment starts with a header frame that repeats the identity and the hard state, so that older segments can be
// removed.
//
// Each payload contains the frame's own offset and the synced length of the segment at the time the frame was written.
// An invalid frame at the end of the last segment is a torn write and is truncated, unless a valid frame after it
// proves that the invalid one had been synced. That case, and an invalid frame anywhere else, is corruption.
//
// Data written by Append and SaveState is durable only after Sync. After a failed write, sync or removal (KindDisk) the
// log rejects all further writes, because a failed sync leaves it undefined which data is durable. Open rewrites the
// last segment, because data of a failed sync may stay readable until the next crash without being on disk.
//
// Invariants: the entries are contiguous and start at or below the snapshot's index plus one; entries at or below the
// commit index are never replaced. A Log is not safe for concurrent use.
package wal
