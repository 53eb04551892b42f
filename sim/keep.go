// A keeper in the world: its machine, and a disk that takes its time.
package sim

import (
	"github.com/go-faster/errors"

	"orchidward/book"
	"orchidward/ids"
	"orchidward/keeper"
	"orchidward/raft"
	"orchidward/ring"
)

type keep struct {
	*node
	w     *World
	mach  *keeper.Machine
	disk  *disk
	ring  *ring.Ring
	shape ring.Shape
	start *raft.View
	write *raft.Write
	draft *ring.Draft
	next  *raft.View
	wrote bool
	todo  raft.Backlog
	busy  bool
	slow  int64
	stall int64
	seeds []string
	gone  bool
	level uint16
	aside string
}

func (w *World) addKeeper(name, zone string) (k *keep) {
	k = &keep{node: w.add(name, zone), w: w, disk: newDisk(), shape: ring.Shape{Files: 6, Bytes: 256 << 10}, seeds: w.seeds, level: book.Present}
	w.keepers = append(w.keepers, k)
	return k
}

// begin starts the process on whatever its disk holds.
func (k *keep) begin() {
	w := k.w
	k.life++
	k.up, k.begun, k.todo, k.busy, k.ring = true, w.Now, raft.Backlog{}, false, nil
	k.start, k.write, k.draft, k.next = nil, nil, nil, nil
	id, shape, err := ring.Identity(k.disk, ids.Node(w.rnd.Uint64()|1), k.shape)
	if err != nil {
		panic(err)
	}
	k.shape = shape
	k.mach = keeper.New(keeper.Boot{ID: id, Addr: k.addr, Domain: ids.Domain(k.zone), Seeds: k.seeds, Seed: w.rnd.Int63(), Timing: raft.Usual(), Level: k.level}, 0)
	r, found, err := ring.Open(k.disk, k.shape)
	if err != nil {
		panic("sim: " + k.name + ": " + err.Error())
	}
	k.ring = r
	if found != nil {
		if err = k.mach.Resume(found.Hard, found.View, found.List); err != nil {
			k.aside = err.Error()
			k.crash()
			return
		}
	}
	k.mach.Full = func() int {
		if k.ring == nil {
			return 0
		}
		return k.ring.Full()
	}
	k.tick(k.life)
}

func (k *keep) tick(life int) {
	if k.life != life || !k.up {
		return
	}
	if !k.frozen {
		k.mach.Tick(k.w.mono(k.node), k.w.wall(k.node))
		k.out()
		if k.mach == nil {
			return
		}
	}
	k.w.after(int64(keeper.Tick), func() { k.tick(life) })
}

func (k *keep) out() {
	if k.w.trap != nil && k.w.trap(k) {
		return
	}
	o := k.mach.Take()
	for _, e := range o.Events {
		k.w.note("%s %s %v", k.name, e.Name, e.Vals)
	}
	if o.Start != nil {
		k.start = o.Start
	}
	for _, x := range o.Writes {
		k.todo.Add(x)
	}
	if o.Draft != nil {
		k.next = o.Draft
	}
	if o.Quit != "" {
		k.aside = o.Quit
		k.crash()
		return
	}
	k.work()
	k.w.frames(k.node, o.Sends)
}

// work gives the disk its next chore; it goes on even in a frozen process,
// which only hears of it on waking.
func (k *keep) work() {
	if k.draft == nil && k.next != nil {
		k.draft, k.next = ring.NewDraft(k.next), nil
	}
	slice := k.draft != nil && (k.wrote || k.todo.Len() == 0)
	if k.busy || k.start == nil && k.todo.Len() == 0 && !slice {
		return
	}
	k.busy, k.wrote = true, !slice
	if k.start == nil && !slice {
		k.write = k.todo.Next()
	}
	life := k.life
	k.w.after(max(1+k.w.rnd.Int63n(3)+k.slow, k.stall-k.w.Now), func() {
		if k.life != life || !k.up {
			return
		}
		start, write := k.start, k.write
		k.busy, k.start, k.write = false, nil, nil
		k.do(start, write)
		k.work()
	})
}

func (k *keep) do(start *raft.View, write *raft.Write) {
	var err error
	switch {
	case start != nil:
		k.ring, err = ring.Start(k.disk, k.shape, start)
	case write != nil:
		err = k.ring.Save(write)
	default:
		over := false
		if over, err = k.ring.Slice(k.draft); over {
			k.draft = nil
		}
	}
	if errors.Is(err, errFull) {
		k.aside = err.Error()
		k.crash()
		return
	}
	if err != nil {
		k.w.Watch.Breach("disk", "%s: %v", k.name, err)
		return
	}
	if start == nil && write == nil {
		return
	}
	k.w.post(k.node, 0, func() {
		if start != nil {
			k.mach.Started(start, k.w.mono(k.node), k.w.wall(k.node))
		} else {
			k.mach.Synced(write.Seq, k.w.mono(k.node), k.w.wall(k.node))
		}
		k.out()
	})
}

// crash ends the process; with the power gone, a write under way is lost or
// torn.
func (k *keep) crash() {
	if !k.up {
		return
	}
	if k.busy && k.w.rnd.Intn(3) > 0 && k.ring != nil && k.write != nil {
		if k.w.rnd.Intn(2) == 0 {
			k.disk.tear = k.w.rnd.Intn(200)
		}
		_ = k.ring.Save(k.write)
		k.disk.tear = -1
	}
	k.w.die(k.node)
	k.mach, k.ring = nil, nil
}

// leads tells whether this keeper believes that it leads and may act on it.
func (k *keep) leads() (ok bool) {
	return k.up && k.mach != nil && k.mach.Raft() != nil && k.mach.Raft().Role() == raft.Leader && !k.frozen
}
