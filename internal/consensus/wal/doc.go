// Package wal is the write-ahead log of one consensus member: its hard state and
// log entries, and its newest snapshot, in one data folder.
//
// Entries go into a fixed number of preallocated files, which are written in
// rotation. Every batch is one numbered and checksummed record, written and synced
// before the next, so that a torn tail can be told from damage: nothing valid ever
// lies behind a torn record. A file may be overwritten once the snapshot covers
// every entry in it. The snapshot is a file of its own that is replaced as a whole.
//
// Input is a [raft.Write], either passed to Log.Save or scheduled together with
// background snapshots by a [WriteQueue]. Output is what Open reads back after a
// restart, a [Recovered].
//
// Invariants:
//
//   - What Save has returned for without error is read back after a power loss at
//     any later moment.
//   - What a power loss has torn is dropped; any other damage is an error
//     (ErrDamaged), never a log that goes on without its entries.
//   - A log that is full (ErrFull) refuses a write rather than overwrite an entry
//     that no snapshot covers.
//
// Begin with log.go (the log), then recovery.go (reading it back). record.go and
// batch.go hold the record format, snapshot_file.go and snapshot_writer.go the
// snapshot, write_queue.go the order of the work of a disk. Disk is all that the
// log needs of a file system; Folder is the real one (folder.go, filesystem.go).
package wal
