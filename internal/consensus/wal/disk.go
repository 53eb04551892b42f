package wal

// Disk is the set of file operations that the log needs. Each one that writes
// returns only when its effect would survive a power loss. Offsets and sizes are in
// bytes.
type Disk interface {
	// Read returns the content of a file, or nil when there is none.
	Read(name string) ([]byte, error)
	// Create creates a file of zero bytes with the given size.
	Create(name string, size int) error
	// Write overwrites part of a file.
	Write(name string, offset int, data []byte) error
	// Replace replaces a file as a whole: after a power loss either the old content is
	// there or all of the new.
	Replace(name string, data []byte) error
	// AppendReplacement writes a part of a replacement for a file, which itself does
	// not change. A part at offset 0 starts the replacement anew.
	AppendReplacement(name string, offset int, data []byte) error
	// CommitReplacement replaces a file by what AppendReplacement wrote.
	CommitReplacement(name string) error
}
