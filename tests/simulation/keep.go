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

type keep struct {
	*node
	w     *World
	mach  *controlplane.Server
	disk  *disk
	ring  *wal.Log
	shape wal.Layout
	todo  wal.WriteQueue
	// requests are those made at this keeper itself.
	requests *inflight.Requests
	nextAsk  uint64
	now      *wal.Operation
	slow     int64
	stall    int64
	seeds    []string
	gone     bool
	level    uint16
	aside    string
	// saved is how far the log on its disk goes.
	saved identifier.Index
	// diskless makes it a porter.
	diskless bool
}

func (w *World) addKeeper(name, zone string) *keep {
	k := &keep{node: w.add(name, zone), w: w, disk: newDisk(), shape: wal.Layout{Files: 6, Bytes: 256 << 10}, seeds: w.seeds, level: state.SupportedLevel}
	w.keepers = append(w.keepers, k)
	return k
}

// begin starts the process on whatever its disk holds.
func (k *keep) begin() {
	w := k.w
	k.life++
	k.up, k.begun, k.todo, k.now, k.ring, k.saved = true, w.Now, wal.WriteQueue{}, nil, nil, 0
	k.requests = inflight.New()
	if k.diskless {
		k.mach = controlplane.New(controlplane.Config{Addr: k.addr, Domain: identifier.Domain(k.zone), Seeds: k.seeds, Seed: w.rnd.Int63(), Timing: w.Site.timing(), Level: k.level, MayFound: true, Diskless: true}, 0)
		k.tick(k.life)
		return
	}
	id, shape, err := wal.Identity(k.disk, identifier.Node(w.rnd.Uint64()|1), k.shape)
	if err != nil {
		panic(err)
	}
	k.shape = shape
	k.mach = controlplane.New(controlplane.Config{ID: id, Addr: k.addr, Domain: identifier.Domain(k.zone), Seeds: k.seeds, Seed: w.rnd.Int63(), Timing: w.Site.timing(), Level: k.level, MayFound: true}, 0)
	r, found, err := wal.Open(k.disk, k.shape)
	if err != nil {
		panic("sim: " + k.name + ": " + err.Error())
	}
	k.ring = r
	if found != nil {
		k.saved = found.Snapshot.Index + identifier.Index(len(found.Entries))
		if err = k.mach.Resume(found.HardState, found.Snapshot, found.Entries); err != nil {
			k.aside = err.Error()
			k.crash()
			return
		}
	}
	k.mach.LogPercentUsed = func() int {
		if k.ring == nil {
			return 0
		}
		return k.ring.PercentUsed()
	}
	k.tick(k.life)
}

func (k *keep) tick(life int) {
	if k.life != life || !k.up {
		return
	}
	if !k.frozen {
		k.mach.Tick(k.w.mono(k.node), k.w.wall(k.node))
		k.requests.Tick(k.w.mono(k.node), k.mach.Connected())
		k.out()
		if k.mach == nil {
			return
		}
	}
	k.w.after(int64(controlplane.TickInterval), func() { k.tick(life) })
}

func (k *keep) out() {
	if k.w.trap != nil && k.w.trap(k) {
		return
	}
	o := k.mach.TakeOutput()
	for _, e := range o.Events {
		k.w.note("%s %s %v", k.name, e.Name, e.Fields)
	}
	k.todo.Add(o.CreateLog, o.Writes, o.Snapshot)
	if o.Quit != "" {
		k.aside = o.Quit
		k.crash()
		return
	}
	k.work()
	k.send(o.Messages)
	k.dispatch()
}

// send hands replies to requests made here to those, and all else to the net.
func (k *keep) send(list []wire.Envelope) {
	away := list[:0]
	for _, s := range list {
		if s.To.Local() {
			k.requests.Complete(s.To, s.Message.Response, k.w.mono(k.node))
			continue
		}
		away = append(away, s)
	}
	k.w.frames(k.node, away)
}

// dispatch gives the machine the requests made here that are due.
func (k *keep) dispatch() {
	list := k.requests.TakeDispatches()
	for _, one := range list {
		k.mach.HandleMessage(one.Peer, wire.Message{Request: one.Request}, k.w.mono(k.node), k.w.wall(k.node))
	}
	if len(list) > 0 {
		k.out()
	}
}

// serve takes a request made at this keeper; answer is called once, unless the
// process dies before.
func (k *keep) serve(r gateway.Request, answer func(status int, body []byte)) {
	k.nextAsk++
	r.ID = k.nextAsk
	done := func(a gateway.Response) { answer(a.Status, a.Body) }
	k.requests.Admit(r, done, k.w.mono(k.node), k.mach.Connected())
	k.dispatch()
}

// work gives the disk its next chore; it goes on even in a frozen process,
// which only hears of it on waking.
func (k *keep) work() {
	x := k.todo.Next()
	if x == nil {
		return
	}
	k.now = x
	life := k.life
	k.w.after(max(1+k.w.rnd.Int63n(3)+k.slow, k.stall-k.w.Now), func() {
		if k.life != life || !k.up {
			return
		}
		k.now = nil
		k.do(x)
		k.work()
	})
}

func (k *keep) do(x *wal.Operation) {
	made, err := x.Do(k.disk, k.shape, k.ring)
	k.ring = made
	k.todo.Done(x)
	if errors.Is(err, errFull) {
		k.aside = err.Error()
		k.crash()
		return
	}
	if err != nil {
		k.w.Watch.Violate("disk", "%s: %v", k.name, err)
		return
	}
	if x.Snapshot != nil {
		return
	}
	k.note(x)
	k.w.post(k.node, 0, func() {
		if x.Create != nil {
			k.mach.LogCreated(x.Create, k.w.mono(k.node), k.w.wall(k.node))
		} else {
			k.mach.Synced(x.Write.Seq, k.w.mono(k.node), k.w.wall(k.node))
		}
		k.out()
	})
}

// note takes down how far the log on the disk goes after a chore.
func (k *keep) note(x *wal.Operation) {
	switch {
	case x.Create != nil:
		k.saved = x.Create.Index
	case len(x.Write.Entries) > 0:
		k.saved = x.Write.Entries[len(x.Write.Entries)-1].Index
	case x.Write.Snapshot != nil:
		k.saved = max(k.saved, x.Write.Snapshot.Index)
	}
}

// wipe takes the power and the disk; the machine may begin again, empty, at its
// old address.
func (k *keep) wipe() {
	k.crash()
	k.disk = newDisk()
}

// crash ends the process; with the power gone, a write under way is lost or
// torn.
func (k *keep) crash() {
	if !k.up {
		return
	}
	if k.now != nil && k.w.rnd.Intn(3) > 0 && k.ring != nil && k.now.Write != nil {
		if k.w.rnd.Intn(2) == 0 {
			k.disk.tear = k.w.rnd.Intn(200)
		}
		_ = k.ring.Save(k.now.Write)
		k.disk.tear = -1
	}
	k.w.die(k.node)
	k.mach, k.ring = nil, nil
}

// leads tells whether this keeper believes that it leads and may act on it.
func (k *keep) leads() bool {
	return k.up && k.mach != nil && k.mach.Raft() != nil && k.mach.Raft().Role() == raft.Leader && !k.frozen
}
