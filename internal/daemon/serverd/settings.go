package serverd

import (
	"crypto/rand"
	"encoding/binary"

	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
	"orchidward/internal/consensus/raft"
	"orchidward/internal/controlplane"
	"orchidward/internal/state"
)

// Settings is the configuration of a server daemon. Data is the data folder; if it is empty,
// the server has no disk and only forwards requests. If HTTP is empty, the server has no HTTP
// pages.
type Settings struct {
	Data   string
	Addr   string
	HTTP   string
	Domain identifier.Domain
	Seeds  []string
	// Files and FileKb are the number of files of a new write-ahead log and the size of each
	// in KiB.
	Files  int64
	FileKb int64
	// MayFound lets a server with an empty folder found a group, with InitialLimits as the
	// site-wide cells of the limits table.
	MayFound      bool
	InitialLimits map[string]string
	// Memory is the memory limit of the process in bytes; 0 sets none.
	Memory int64
	// ElectionTimeout is the minimum time that a server waits for a leader before it starts an
	// election; 0 selects the default.
	ElectionTimeout clock.Millis
	// LossesTolerated is how many server disks may be lost at once; 0 if unspecified.
	LossesTolerated int
}

func (s Settings) timing() raft.Timing {
	if s.ElectionTimeout == 0 {
		return raft.DefaultTiming()
	}
	return raft.NewTiming(s.ElectionTimeout)
}

// server returns the configuration of the server itself.
func (s Settings) server(id identifier.Node) controlplane.Config {
	return controlplane.Config{
		ID:            id,
		Addr:          s.Addr,
		Domain:        s.Domain,
		Seeds:         s.Seeds,
		Seed:          int64(randomID() >> 1),
		Timing:        s.timing(),
		Level:         state.SupportedLevel,
		MayFound:      s.MayFound,
		InitialLimits: s.InitialLimits,
		Diskless:      s.Data == "",

		LossesTolerated: s.LossesTolerated,
	}
}

// randomID returns a random non-zero number.
func randomID() uint64 {
	var bytes [8]byte
	if _, err := rand.Read(bytes[:]); err != nil {
		panic("serverd: no random numbers: " + err.Error())
	}
	return binary.LittleEndian.Uint64(bytes[:]) | 1
}
