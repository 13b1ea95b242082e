// Package wal keeps a replica's log, hard state, identity and snapshot in the files of one folder.
//
// The folder holds the file identity, segments named log-N with rising numbers, and one snapshot-I. Each file is a row
// of frames: length (4 bytes), xxhash64 of the payload (8 bytes), payload; numbers are little-endian. A segment starts
// with a header frame that repeats the identity and the hard state, so that older segments may go.
//
// Each payload states the frame's own offset and the length of the segment that had been synced when the frame was
// written. A bad frame at the end of the last segment is a torn write, and is cut off, unless a whole frame after it
// shows that it had been synced; that, and a bad frame anywhere else, is corruption.
//
// What Append and SaveState wrote is durable only after Sync. After an error of KindDisk the log refuses all further
// writes: a failed sync leaves open what is durable. Open writes the last segment anew, because bytes of a failed sync
// can be readable until the next crash without being on the disk.
//
// Invariants: the entries are contiguous, and start at or below the snapshot's index plus one; no entry at or below
// the commit index is replaced. A Log is used by one goroutine.
package wal
