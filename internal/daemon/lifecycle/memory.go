package lifecycle

import "runtime/debug"

// LimitMemory sets the soft memory limit of the Go runtime to four fifths of the process's
// limit, in bytes, because the runtime may briefly exceed its own limit. A limit of 0 sets
// none.
func LimitMemory(limit int64) {
	if limit > 0 {
		debug.SetMemoryLimit(limit / 10 * 8)
	}
}
