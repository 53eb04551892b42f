// Package wal implements the write-ahead log of one consensus member: its hard state,
// log entries and newest snapshot, stored in one data folder.
//
// Entries are stored in a fixed number of preallocated files, which are written in
// rotation. Every batch is one record with a sequence number and a checksum. A record is
// synced before the next one is written, so a torn tail can be distinguished from
// corruption: no valid record ever follows a torn one. A file may be overwritten once the
// snapshot covers every entry in it. The snapshot is a separate file that is replaced
// atomically.
//
// The input is a [raft.Write], either passed to Log.Save or scheduled together with
// background snapshots by a [WriteQueue]. The output is a [Recovered], which Open reads
// back after a restart.
//
// Invariants:
//
//   - Everything that a successful Save has written is read back after a power loss at
//     any later time.
//   - A record torn by a power loss is dropped. Any other corruption is an error
//     (ErrDamaged): the log never continues without entries that it acknowledged.
//   - A full log (ErrFull) rejects a write rather than overwrite an entry that no
//     snapshot covers.
//
// Begin with log.go (the log), then recovery.go (reading it back). record.go and batch.go
// implement the record format, snapshot_file.go and snapshot_writer.go the snapshot, and
// write_queue.go the scheduling of disk operations. Disk is the interface to the file
// system; Folder is its implementation on a real one (folder.go, filesystem.go).
package wal
