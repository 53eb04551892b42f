// A keeper in the world: its machine, and a disk that takes its time.

package simulation

import (
	"github.com/go-faster/errors"

	"orchidward/internal/api/identifier"
	"orchidward/internal/consensus/raft"
	"orchidward/internal/consensus/wal"
	"orchidward/internal/controlplane"
	"orchidward/internal/gateway"
	"orchidward/internal/inflight"
	"orchidward/internal/state"
	"orchidward/internal/transport/wire"
)

type Server struct {
	*Process
	cluster     *Cluster
	Machine  *controlplane.Server
	Disk  *Disk
	log  *wal.Log
	layout wal.Layout
	writes  wal.WriteQueue
	// requests are those made at this keeper itself.
	requests *inflight.Requests
	nextRequest  uint64
	operation      *wal.Operation
	DiskDelay     int64
	DiskStalledUntil    int64
	Seeds    []string
	Removed     bool
	Level    uint16
	QuitReason    string
	// PersistedIndex is how far the log on its disk goes.
	PersistedIndex identifier.Index
	// Diskless makes it a porter.
	Diskless bool
}

func (cluster *Cluster) AddServer(name, zone string) *Server {
	server := &Server{Process: cluster.addProcess(name, zone), cluster: cluster, Disk: newDisk(), layout: wal.Layout{Files: 6, Bytes: 256 << 10}, Seeds: cluster.Seeds, Level: state.SupportedLevel}
	cluster.Servers = append(cluster.Servers, server)
	return server
}

// begin starts the process on whatever its disk holds.
func (server *Server) Start() {
	cluster := server.cluster
	server.incarnation++
	server.Up, server.startedAt, server.writes, server.operation, server.log, server.PersistedIndex = true, cluster.Now, wal.WriteQueue{}, nil, nil, 0
	server.requests = inflight.New()
	if server.Diskless {
		server.Machine = controlplane.New(controlplane.Config{Addr: server.Addr, Domain: identifier.Domain(server.Domain), Seeds: server.Seeds, Seed: cluster.Random.Int63(), Timing: cluster.Spec.timing(), Level: server.Level, MayFound: true, Diskless: true}, 0)
		server.tick(server.incarnation)
		return
	}
	id, shape, err := wal.Identity(server.Disk, identifier.Node(cluster.Random.Uint64()|1), server.layout)
	if err != nil {
		panic(err)
	}
	server.layout = shape
	server.Machine = controlplane.New(controlplane.Config{ID: id, Addr: server.Addr, Domain: identifier.Domain(server.Domain), Seeds: server.Seeds, Seed: cluster.Random.Int63(), Timing: cluster.Spec.timing(), Level: server.Level, MayFound: true}, 0)
	r, found, err := wal.Open(server.Disk, server.layout)
	if err != nil {
		panic("sim: " + server.Name + ": " + err.Error())
	}
	server.log = r
	if found != nil {
		server.PersistedIndex = found.Snapshot.Index + identifier.Index(len(found.Entries))
		if err = server.Machine.Resume(found.HardState, found.Snapshot, found.Entries); err != nil {
			server.QuitReason = err.Error()
			server.Crash()
			return
		}
	}
	server.Machine.LogPercentUsed = func() int {
		if server.log == nil {
			return 0
		}
		return server.log.PercentUsed()
	}
	server.tick(server.incarnation)
}

func (server *Server) tick(life int) {
	if server.incarnation != life || !server.Up {
		return
	}
	if !server.Frozen {
		server.Machine.Tick(server.cluster.Monotonic(server.Process), server.cluster.WallTime(server.Process))
		server.requests.Tick(server.cluster.Monotonic(server.Process), server.Machine.Connected())
		server.Flush()
		if server.Machine == nil {
			return
		}
	}
	server.cluster.After(int64(controlplane.TickInterval), func() { server.tick(life) })
}

func (server *Server) Flush() {
	if server.cluster.Failpoint != nil && server.cluster.Failpoint(server) {
		return
	}
	o := server.Machine.TakeOutput()
	for _, e := range o.Events {
		server.cluster.logf("%s %s %v", server.Name, e.Name, e.Fields)
	}
	server.writes.Add(o.CreateLog, o.Writes, o.Snapshot)
	if o.Quit != "" {
		server.QuitReason = o.Quit
		server.Crash()
		return
	}
	server.startOperation()
	server.send(o.Messages)
	server.dispatch()
}

// send hands replies to requests made here to those, and all else to the net.
func (server *Server) send(list []wire.Envelope) {
	away := list[:0]
	for _, s := range list {
		if s.To.Local() {
			server.requests.Complete(s.To, s.Message.Response, server.cluster.Monotonic(server.Process))
			continue
		}
		away = append(away, s)
	}
	server.cluster.sendFrames(server.Process, away)
}

// dispatch gives the machine the requests made here that are due.
func (server *Server) dispatch() {
	list := server.requests.TakeDispatches()
	for _, one := range list {
		server.Machine.HandleMessage(one.Peer, wire.Message{Request: one.Request}, server.cluster.Monotonic(server.Process), server.cluster.WallTime(server.Process))
	}
	if len(list) > 0 {
		server.Flush()
	}
}

// handleRequest takes a request made at this keeper; answer is called once, unless the
// process dies before.
func (server *Server) handleRequest(r gateway.Request, answer func(status int, body []byte)) {
	server.nextRequest++
	r.ID = server.nextRequest
	done := func(a gateway.Response) { answer(a.Status, a.Body) }
	server.requests.Admit(r, done, server.cluster.Monotonic(server.Process), server.Machine.Connected())
	server.dispatch()
}

// work gives the disk its next chore; it goes on even in a frozen process,
// which only hears of it on waking.
func (server *Server) startOperation() {
	x := server.writes.Next()
	if x == nil {
		return
	}
	server.operation = x
	life := server.incarnation
	server.cluster.After(max(1+server.cluster.Random.Int63n(3)+server.DiskDelay, server.DiskStalledUntil-server.cluster.Now), func() {
		if server.incarnation != life || !server.Up {
			return
		}
		server.operation = nil
		server.finishOperation(x)
		server.startOperation()
	})
}

func (server *Server) finishOperation(x *wal.Operation) {
	made, err := x.Do(server.Disk, server.layout, server.log)
	server.log = made
	server.writes.Done(x)
	if errors.Is(err, errDiskFull) {
		server.QuitReason = err.Error()
		server.Crash()
		return
	}
	if err != nil {
		server.cluster.Checker.Violate("disk", "%s: %v", server.Name, err)
		return
	}
	if x.Snapshot != nil {
		return
	}
	server.recordPersisted(x)
	server.cluster.post(server.Process, 0, func() {
		if x.Create != nil {
			server.Machine.LogCreated(x.Create, server.cluster.Monotonic(server.Process), server.cluster.WallTime(server.Process))
		} else {
			server.Machine.Synced(x.Write.Seq, server.cluster.Monotonic(server.Process), server.cluster.WallTime(server.Process))
		}
		server.Flush()
	})
}

// note takes down how far the log on the disk goes after a chore.
func (server *Server) recordPersisted(x *wal.Operation) {
	switch {
	case x.Create != nil:
		server.PersistedIndex = x.Create.Index
	case len(x.Write.Entries) > 0:
		server.PersistedIndex = x.Write.Entries[len(x.Write.Entries)-1].Index
	case x.Write.Snapshot != nil:
		server.PersistedIndex = max(server.PersistedIndex, x.Write.Snapshot.Index)
	}
}

// WipeDisk takes the power and the disk; the machine may begin again, empty, at its
// old address.
func (server *Server) WipeDisk() {
	server.Crash()
	server.Disk = newDisk()
}

// Crash ends the process; with the power gone, a write under way is lost or
// torn.
func (server *Server) Crash() {
	if !server.Up {
		return
	}
	if server.operation != nil && server.cluster.Random.Intn(3) > 0 && server.log != nil && server.operation.Write != nil {
		if server.cluster.Random.Intn(2) == 0 {
			server.Disk.tornAt = server.cluster.Random.Intn(200)
		}
		_ = server.log.Save(server.operation.Write)
		server.Disk.tornAt = -1
	}
	server.cluster.Kill(server.Process)
	server.Machine, server.log = nil, nil
}

// IsLeader tells whether this keeper believes that it leads and may act on it.
func (server *Server) IsLeader() bool {
	return server.Up && server.Machine != nil && server.Machine.Raft() != nil && server.Machine.Raft().Role() == raft.Leader && !server.Frozen
}
