package main

// storageMutations break the write-ahead log and its snapshots.
var storageMutations = []mutation{
	{
		name:        "superseded snapshot is completed",
		file:        "internal/consensus/wal/snapshot_writer.go",
		original:    "if w.snapshot.Index <= l.snapshotIndex {",
		replacement: "if w.snapshot.Index == 0 {",
		tests:       packages("./internal/consensus/wal"),
		want:        "superseded snapshot is still being written",
	},
	{
		name:        "torn records are accepted",
		file:        "internal/consensus/wal/record.go",
		original:    "if binary.LittleEndian.Uint32(record[checksumOffset:]) != recordChecksum(record) {",
		replacement: "if false {",
		tests:       packages("./internal/consensus/wal"),
		want:        "is damaged, but the log opens with",
	},
	{
		name:        "a new file is renamed before it is synced",
		file:        "internal/consensus/wal/folder.go",
		original:    "\treturn replacement.Sync()\n",
		replacement: "\treturn nil\n",
		tests:       test("./internal/consensus/wal", "TestPowerLossAnywhere"),
		want:        "powerloss_test.go",
	},
	{
		name:        "a new name is acknowledged before its folder is synced",
		file:        "internal/consensus/wal/folder.go",
		original:    "return f.files.syncFolder()",
		replacement: "return nil",
		tests:       test("./internal/consensus/wal", "TestPowerLossAnywhere"),
		want:        "powerloss_test.go",
	},
	{
		name:        "records are acknowledged before they are synced",
		file:        "internal/consensus/wal/folder.go",
		original:    "return open.syncData()",
		replacement: "return nil",
		tests:       test("./internal/consensus/wal", "TestPowerLossAnywhere"),
		want:        "acknowledged",
	},
	{
		name:        "directory entry of a data folder is not synced",
		file:        "internal/consensus/wal/filesystem.go",
		original:    "err = syncPath(parent)",
		replacement: "err = nil",
		tests:       test("./internal/consensus/wal", "TestFolderIsSynced"),
		want:        "is not synced",
	},
	{
		name:        "changes fill the log during a snapshot",
		file:        "internal/consensus/wal/write_queue.go",
		original:    "q.backlog.Len() == 0 || q.percentUsed >= snapshotFirstPercent):",
		replacement: "q.backlog.Len() == 0):",
		tests:       test("./internal/consensus/wal", "TestLogNeverFillsDuringSnapshot"),
		want:        "log is full",
	},
}
