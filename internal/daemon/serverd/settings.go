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

// Settings are what a server is started with. Without Data, a folder, it is one without a
// disk, which only forwards requests. Without HTTP it serves no pages of its own.
type Settings struct {
	Data   string
	Addr   string
	HTTP   string
	Domain identifier.Domain
	Seeds  []string
	// Files and FileKb are the number of the files of a new write-ahead log and their size
	// in KiB.
	Files  int64
	FileKb int64
	// MayFound lets a server with an empty folder found a group, with InitialLimits as the
	// site-wide cells of the limits table.
	MayFound      bool
	InitialLimits map[string]string
	// Memory is the memory limit of the process in bytes; 0 sets none.
	Memory int64
	// ElectionTimeout is the least time that a server waits for a leader before it asks
	// for an election; 0 is the usual one.
	ElectionTimeout clock.Millis
	// LossesTolerated is how many disks of servers may be lost at once; 0 if that is not
	// said.
	LossesTolerated int
}

func (s Settings) timing() raft.Timing {
	if s.ElectionTimeout == 0 {
		return raft.DefaultTiming()
	}
	return raft.NewTiming(s.ElectionTimeout)
}

// server is the configuration of the server itself.
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

// randomID is a random number that is not 0.
func randomID() uint64 {
	var bytes [8]byte
	if _, err := rand.Read(bytes[:]); err != nil {
		panic("serverd: no random numbers: " + err.Error())
	}
	return binary.LittleEndian.Uint64(bytes[:]) | 1
}
