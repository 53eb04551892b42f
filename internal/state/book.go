// Book holds the whole state. Exported fields are the state proper and make up
// the view; the others are derived and rebuilt when a view is loaded.

package state

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"sort"

	"github.com/emirpasic/gods/sets/treeset"
	"github.com/emirpasic/gods/trees/redblacktree"
	"github.com/go-faster/errors"

	"orchidward/internal/api/admission"
	"orchidward/internal/api/catalog"
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/api/limits"
	"orchidward/internal/clock"
)

// Store is the replicated state: jobs, leases, runners, drains, the limits table
// and the catalogue. Over lists the ended jobs by the time of their end, Sum is
// the running checksum, and Level the level of commands in use. It is not safe
// for concurrent use, and only Apply may change it.
type Store struct {
	Now                clock.ClusterTime             `json:"now"`
	NextLease          identifier.LeaseID            `json:"nextGrant"`
	NextJobSeq         uint64                        `json:"nextSeq"`
	NextDrain          uint64                        `json:"nextClosing"`
	Limits             *limits.Table                 `json:"table"`
	Jobs               map[identifier.JobKey]*Job    `json:"jobs"`
	EndedJobs          []identifier.JobKey           `json:"over"`
	Leases             map[identifier.LeaseID]*Lease `json:"grants"`
	Runners            map[identifier.Runner]*Runner `json:"runners"`
	Drains             map[string]*Drain             `json:"closings"`
	Dedup              *DedupCache                   `json:"known,omitempty"`
	PreviousLeaseSpan  clock.Millis                  `json:"oldGrantMs,omitempty"`
	LeaseSpanChangedAt clock.ClusterTime             `json:"oldGrantAt,omitempty"`
	Level              uint16                        `json:"level,omitempty"`
	Checksum           uint64                        `json:"sum,omitempty"`
	Catalog            *catalog.Catalog              `json:"catalog,omitempty"`
	// Tombstones are in the order in which their time is up.
	Tombstones []Tombstone `json:"idHolds,omitempty"`

	rules   *admission.Rules
	lanes   map[identifier.Row]*lane
	later   *treeset.Set
	moved   *treeset.Set
	names   *redblacktree.Tree
	waiting map[identifier.Row]int64
	jobs    map[identifier.Row]int
	inUse   map[identifier.Row]job.Demand
	order   []identifier.Runner
	hot     map[identifier.Runner]bool
	// due orders the repeated jobs by when their next time comes, queued counts
	// the unfinished jobs of each queue.
	due    *treeset.Set
	queued map[string]int64
}

// MaxJobIDs bounds the jobs and remembered ids together, MaxRunners the runners.
const (
	MaxJobIDs  = 1_500_000
	MaxRunners = 2048
	closeKept  = 64
)

// New is the state before the first command.
func New() *Store {
	b := &Store{
		NextLease: 1, NextJobSeq: 1, NextDrain: 1, Limits: limits.Default(),
		Jobs: map[identifier.JobKey]*Job{}, Leases: map[identifier.LeaseID]*Lease{}, Runners: map[identifier.Runner]*Runner{},
		Drains: map[string]*Drain{}, Dedup: newKnown(),
	}
	b.derive()
	return b
}

func byKey(x, y any) int {
	a, b := x.(identifier.JobKey), y.(identifier.JobKey)
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func (b *Store) derive() {
	b.rules = admission.Compile(b.Limits)
	b.lanes = map[identifier.Row]*lane{}
	b.later = treeset.NewWith(byStart)
	b.moved = treeset.NewWith(byAge)
	b.names = redblacktree.NewWith(byKey)
	b.waiting, b.jobs = map[identifier.Row]int64{}, map[identifier.Row]int{}
	b.inUse = map[identifier.Row]job.Demand{}
	b.due, b.queued = treeset.NewWith(byDue), map[string]int64{}
	b.order, b.hot = nil, map[identifier.Runner]bool{}
	for _, r := range b.Runners {
		b.enlist(r.Name)
		r.used, r.grants, r.fence = job.Demand{}, map[identifier.LeaseID]*Lease{}, ""
	}
	for _, j := range b.Jobs {
		j.count, j.open, j.moved, j.lane, j.kids = make([]count, len(j.Steps)), 0, 0, nil, 0
	}
	b.recount()
	for _, g := range b.Leases {
		r := b.Runners[g.Runner]
		r.grants[g.ID] = g
		r.used = r.used.Plus(g.Demand)
		b.inUse[g.Row] = b.inUse[g.Row].Plus(g.Demand)
		b.Jobs[g.Task.Job].open++
	}
	for _, j := range b.Jobs {
		b.names.Put(j.Key, j)
		if j.EndState == "" {
			b.jobs[j.Spec.Row]++
		}
		for i, tasks := range j.Steps {
			for _, t := range tasks {
				b.tally(j, i, t.State, 1)
				if t.DisplacedBy != "" {
					j.moved++
					b.moved.Add(j)
				}
			}
		}
		b.index(j)
	}
	b.refence()
}

// viewMark begins a view of the second version: the document's length, the
// document, and the remembered ids packed behind it. The first version was the
// document alone, ids and all.
const viewMark = "OWVIEW2\n"

// Encode makes the view.
func (b *Store) Encode() []byte {
	bare := *b
	bare.Dedup = nil
	doc, err := json.Marshal(&bare)
	if err != nil {
		panic(err)
	}
	text := make([]byte, 0, len(viewMark)+4+len(doc)+len(b.Dedup.blob))
	text = binary.LittleEndian.AppendUint32(append(text, viewMark...), uint32(len(doc)))
	return append(append(text, doc...), b.Dedup.blob...)
}

// Decode reads a snapshot that Encode made, or one of the first version, and
// rebuilds the derived fields.
func Decode(text []byte) (*Store, error) {
	b := New()
	b.Limits = nil
	doc, blob := text, []byte(nil)
	if rest, ok := bytes.CutPrefix(text, []byte(viewMark)); ok {
		if len(rest) < 4 || uint64(binary.LittleEndian.Uint32(rest)) > uint64(len(rest)-4) {
			return nil, errors.New("view is cut short")
		}
		n := binary.LittleEndian.Uint32(rest)
		doc, blob = rest[4:4+n], rest[4+n:]
	}
	if err := json.Unmarshal(doc, b); err != nil {
		return nil, err
	}
	if blob != nil {
		b.Dedup.load(blob)
	}
	b.derive()
	return b, nil
}

// Admission is the compiled table of limits in force.
func (b *Store) Admission() *admission.Rules { return b.rules }

// WaitingTasks is the number of unplaced tasks in a row, as its limit counts them.
func (b *Store) WaitingTasks(row identifier.Row) int64 { return b.waiting[row] }

// InUse is the room taken by the row's open leases.
func (b *Store) InUse(row identifier.Row) job.Demand { return b.inUse[row] }

// Cordoned tells whether the runner is known and cordoned by a drain.
func (b *Store) Cordoned(r identifier.Runner) bool {
	return b.Runners[r] != nil && b.Runners[r].fence != ""
}

// LeaseSpan is how long a runner may yet be living on its last contact. After
// the cell was lowered the longer span counts until nobody can hold it.
func (b *Store) LeaseSpan() clock.Millis {
	s := b.Limits.SiteMillis("grantMs")
	if b.PreviousLeaseSpan > s && b.Now < b.LeaseSpanChangedAt.Add(3*b.PreviousLeaseSpan) {
		return b.PreviousLeaseSpan
	}
	return s
}

// PendingJobs visits the row's placeable jobs in bidding order.
func (b *Store) PendingJobs(row identifier.Row) *PendingIterator {
	l := b.lanes[row]
	if l == nil {
		l = newLane()
	}
	return &PendingIterator{urgent: l.urgent.Iterator(), aged: l.aged.Iterator(), seen: map[*Job]bool{}}
}

// Backlog counts the row's jobs that have something to place.
func (b *Store) Backlog(row identifier.Row) int {
	if l := b.lanes[row]; l != nil {
		return l.aged.Size()
	}
	return 0
}

// HasPending tells whether any job has something to place, or has displaced work.
func (b *Store) HasPending() bool {
	if !b.moved.Empty() {
		return true
	}
	for _, l := range b.lanes {
		if !l.aged.Empty() {
			return true
		}
	}
	return false
}

// NextScheduledStart is the soonest appointed start still to come.
func (b *Store) NextScheduledStart() (at clock.ClusterTime, ok bool) {
	it := b.later.Iterator()
	if it.Next() {
		at, ok = it.Value().(*Job).StartAt, true
	}
	if it = b.due.Iterator(); it.Next() {
		if j := it.Value().(*Job); !ok || j.nextTime() < at {
			at, ok = j.nextTime(), true
		}
	}
	return at, ok
}

// RunnerNames lists the runners in order, so that walks are alike everywhere.
// The list is the book's own and not to be changed.
func (b *Store) RunnerNames() []identifier.Runner { return b.order }

func (b *Store) enlist(n identifier.Runner) {
	at := sort.Search(len(b.order), func(i int) bool { return b.order[i] >= n })
	b.order = append(b.order, "")
	copy(b.order[at+1:], b.order[at:])
	b.order[at] = n
	b.hot[n] = true
}

// TakeChangedRunners forgets the runners that may have something new to hear, after telling
// of each, in no order.
func (b *Store) TakeChangedRunners(tell func(n identifier.Runner)) {
	for n := range b.hot {
		tell(n)
	}
	clear(b.hot)
}

// EachLease shows the runner's grants, in no order.
func (r *Runner) EachLease(see func(g *Lease)) {
	for _, g := range r.grants {
		see(g)
	}
}

// LeaseIDs lists the runner's open leases in ascending order.
func (r *Runner) LeaseIDs() []identifier.LeaseID {
	out := make([]identifier.LeaseID, 0, len(r.grants))
	for id := range r.grants {
		out = append(out, id)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// DrainIDs lists the drains by the time they began, then by id.
func (b *Store) DrainIDs() []string {
	var out []string
	for id := range b.Drains {
		out = append(out, id)
	}
	sort.Slice(out, func(i, j int) bool {
		x, y := b.Drains[out[i]], b.Drains[out[j]]
		if x.StartedAt != y.StartedAt {
			return x.StartedAt < y.StartedAt
		}
		return x.ID < y.ID
	})
	return out
}

// JobsAfter lists jobs by key from after onward, as far as keep says to go on.
func (b *Store) JobsAfter(after identifier.JobKey, keep func(j *Job) (more bool)) {
	node, ok := b.names.Ceiling(after)
	if !ok {
		return
	}
	it := b.names.IteratorAt(node)
	for ok = true; ok; ok = it.Next() {
		if j := it.Value().(*Job); j.Key != after && !keep(j) {
			return
		}
	}
}
