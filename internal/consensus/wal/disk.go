package wal

// Disk is the set of file operations that the log needs. Operations that write return
// only once their effect is durable. Offsets and sizes are in bytes.
type Disk interface {
	// Read returns the content of a file, or nil if the file does not exist.
	Read(name string) ([]byte, error)
	// Create creates a zero-filled file of the given size.
	Create(name string, size int) error
	// Write overwrites part of a file.
	Write(name string, offset int, data []byte) error
	// Replace replaces a file atomically: after a power loss it has either its complete old
	// or its complete new content.
	Replace(name string, data []byte) error
	// AppendReplacement writes a part of a replacement for a file, without changing the
	// file itself. A part at offset 0 discards the parts written before.
	AppendReplacement(name string, offset int, data []byte) error
	// CommitReplacement atomically replaces a file by the parts that AppendReplacement wrote.
	CommitReplacement(name string) error
}
