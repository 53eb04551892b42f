package simulation

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/consensus/raft"
	"orchidward/internal/consensus/wal"
	"orchidward/internal/controlplane"
	"orchidward/internal/gateway"
	"orchidward/internal/inflight"
	"orchidward/internal/state"
	"orchidward/internal/transport/wire"
)

// Server is a process of the control plane, with a disk whose operations take time. The
// disk operations are in server_disk.go.
type Server struct {
	*Process
	// Machine is the state machine that runs in the process, nil while it is down.
	Machine *controlplane.Server
	Disk    *Disk
	Seeds   []string
	// Level is the highest level of log entries that the server's version supports.
	Level uint16
	// Diskless is set for a server that stores nothing, never votes, and forwards
	// requests.
	Diskless bool
	// Removed is set for a server that never starts again.
	Removed bool
	// QuitReason is why the process exited by itself, empty if it did not.
	QuitReason string
	// DiskDelay is added to the duration of each disk operation, in ms.
	DiskDelay int64
	// DiskStalledUntil is the earliest time at which a disk operation can complete.
	DiskStalledUntil int64
	// PersistedIndex is the index of the last log entry on the disk.
	PersistedIndex identifier.Index

	cluster *Cluster
	layout  wal.Layout
	log     *wal.Log
	writes  wal.WriteQueue
	// operation is the disk operation in progress, nil for none.
	operation *wal.Operation
	// requests are the requests that were sent to this server directly.
	requests    *inflight.Requests
	lastRequest uint64
}

// Size of a server's log, small enough that many runs compact it.
const (
	logFiles     = 6
	logFileBytes = 256 << 10
)

func (s ClusterSpec) logFileBytes() int { return max(s.LogFileBytes, logFileBytes) }

// AddServer adds a server with an empty disk, without starting it.
func (c *Cluster) AddServer(name, domain string) *Server {
	server := &Server{
		Process: c.addProcess(name, domain),
		Disk:    newDisk(),
		Seeds:   c.Seeds,
		Level:   state.SupportedLevel,
		cluster: c,
		layout:  wal.Layout{Files: logFiles, Bytes: c.Spec.logFileBytes()},
	}
	c.Servers = append(c.Servers, server)
	return server
}

// Start starts the process from the content of its disk.
func (s *Server) Start() {
	s.begin(s.cluster.Now)
	s.writes = wal.WriteQueue{}
	s.operation = nil
	s.log = nil
	s.PersistedIndex = 0
	s.requests = inflight.New()
	if s.Diskless {
		s.Machine = controlplane.New(s.config(), 0)
	} else if err := s.recover(); err != nil {
		s.quit(err.Error())
		return
	}
	s.cluster.tickWhileUp(s.Process, controlplane.TickInterval, s.tick)
}

func (s *Server) config() controlplane.Config {
	return controlplane.Config{
		Addr:     s.Addr,
		Domain:   identifier.Domain(s.Domain),
		Seeds:    s.Seeds,
		Seed:     s.cluster.Random.Int63(),
		Timing:   s.cluster.Spec.timing(),
		Level:    s.Level,
		MayFound: true,
		Diskless: s.Diskless,

		LossesTolerated: s.cluster.Spec.LossesTolerated,
	}
}

// recover creates the state machine of a server from its disk. It fails if the machine
// rejects the content of the disk.
func (s *Server) recover() error {
	id, layout, err := wal.Identity(s.Disk, identifier.Node(s.cluster.Random.Uint64()|1), s.layout)
	if err != nil {
		panic("simulation: " + s.Name + ": " + err.Error())
	}
	s.layout = layout
	config := s.config()
	config.ID = id
	s.Machine = controlplane.New(config, 0)
	log, recovered, err := wal.Open(s.Disk, s.layout)
	if err != nil {
		panic("simulation: " + s.Name + ": " + err.Error())
	}
	s.log = log
	if recovered != nil {
		s.PersistedIndex = recovered.Snapshot.Index + identifier.Index(len(recovered.Entries))
		if err = s.Machine.Resume(recovered.HardState, recovered.Snapshot, recovered.Entries); err != nil {
			return err
		}
	}
	s.Machine.LogPercentUsed = s.logPercentUsed
	return nil
}

func (s *Server) logPercentUsed() int {
	if s.log == nil {
		return 0
	}
	return s.log.PercentUsed()
}

// Crash ends the process at once, as a power loss does: a write in progress is lost,
// torn or complete.
func (s *Server) Crash() {
	if !s.Up {
		return
	}
	s.interruptWrite()
	s.Stop()
}

// Stop ends the process without a power loss.
func (s *Server) Stop() {
	s.cluster.Kill(s.Process)
	s.Machine = nil
	s.log = nil
}

// quit ends a process whose state machine or disk makes it exit.
func (s *Server) quit(reason string) {
	s.QuitReason = reason
	s.Crash()
}

// WipeDisk crashes the server and empties its disk; the server may start again, empty,
// at its old address.
func (s *Server) WipeDisk() {
	s.Crash()
	s.Disk = newDisk()
}

func (s *Server) tick() {
	s.Machine.Tick(s.cluster.Monotonic(s.Process), s.cluster.WallTime(s.Process))
	s.requests.Tick(s.cluster.Monotonic(s.Process), s.Machine.Connected())
	s.Flush()
}

// Flush sends and writes the output of the state machine. A test that calls the
// machine directly must call Flush afterwards.
func (s *Server) Flush() {
	if s.cluster.Failpoint != nil && s.cluster.Failpoint(s) {
		return
	}
	output := s.Machine.TakeOutput()
	for _, e := range output.Events {
		s.cluster.Logf("%s %s %v", s.Name, e.Name, e.Fields)
	}
	s.writes.Add(output.CreateLog, output.Writes, output.Snapshot)
	if output.Quit != "" {
		s.quit(output.Quit)
		return
	}
	s.startOperation()
	s.send(output.Messages)
	s.dispatch()
}

// send completes the requests sent to this server directly with their responses, and
// sends all other messages.
func (s *Server) send(list []wire.Envelope) {
	remote := list[:0]
	for _, envelope := range list {
		if envelope.To.Local() {
			s.requests.Complete(envelope.To, envelope.Message.Response, s.cluster.Monotonic(s.Process))
			continue
		}
		remote = append(remote, envelope)
	}
	s.cluster.sendFrames(s.Process, remote)
}

// dispatch passes the due requests that were sent to this server directly to the state
// machine.
func (s *Server) dispatch() {
	due := s.requests.TakeDispatches()
	for _, one := range due {
		message := wire.Message{Request: one.Request}
		s.Machine.HandleMessage(one.Peer, message, s.cluster.Monotonic(s.Process), s.cluster.WallTime(s.Process))
	}
	if len(due) > 0 {
		s.Flush()
	}
}

// handleRequest handles a request sent to this server directly; respond is called once,
// unless the process ends before that or the caller hangs up.
func (s *Server) handleRequest(request gateway.Request, respond func(status int, body []byte)) (hangUp func()) {
	s.lastRequest++
	request.ID = s.lastRequest
	request.Waited = s.cluster.waited(s.Process)
	done := func(response gateway.Response) { respond(response.Status, response.Body) }
	s.requests.Admit(request, done, s.cluster.Monotonic(s.Process), s.Machine.Connected())
	s.dispatch()
	incarnation := s.Incarnation
	return func() {
		if s.Incarnation != incarnation {
			return
		}
		s.requests.Forget(request.ID)
		s.dispatch()
	}
}

// IsLeader reports whether this server considers itself the leader and is not suspended.
func (s *Server) IsLeader() bool {
	if !s.Up || s.Frozen || s.Machine == nil || s.Machine.Raft() == nil {
		return false
	}
	return s.Machine.Raft().Role() == raft.Leader
}
