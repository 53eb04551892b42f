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

	rules          *admission.Rules
	pending        map[identifier.Row]*jobQueue
	delayed        *treeset.Set
	displaced      *treeset.Set
	jobsByKey      *redblacktree.Tree
	waitingTasks   map[identifier.Row]int64
	unfinishedJobs map[identifier.Row]int
	inUse          map[identifier.Row]job.Demand
	runnerNames    []identifier.Runner
	changedRunners map[identifier.Runner]bool
	// repeating orders the repeated jobs by when their next time comes, queued counts
	// the unfinished jobs of each queue.
	repeating  *treeset.Set
	queuedJobs map[string]int64
}

// MaxJobIDs bounds the jobs and remembered ids together, MaxRunners the runners.
const (
	MaxJobIDs  = 1_500_000
	MaxRunners = 2048
	maxDrains  = 64
)

// New is the state before the first command.
func New() *Store {
	s := &Store{
		NextLease: 1, NextJobSeq: 1, NextDrain: 1, Limits: limits.Default(),
		Jobs: map[identifier.JobKey]*Job{}, Leases: map[identifier.LeaseID]*Lease{}, Runners: map[identifier.Runner]*Runner{},
		Drains: map[string]*Drain{}, Dedup: newDedupCache(),
	}
	s.rebuildIndexes()
	return s
}

func compareKeys(x, y any) int {
	a, b := x.(identifier.JobKey), y.(identifier.JobKey)
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func (s *Store) rebuildIndexes() {
	s.rules = admission.Compile(s.Limits)
	s.pending = map[identifier.Row]*jobQueue{}
	s.delayed = treeset.NewWith(compareStart)
	s.displaced = treeset.NewWith(compareAge)
	s.jobsByKey = redblacktree.NewWith(compareKeys)
	s.waitingTasks, s.unfinishedJobs = map[identifier.Row]int64{}, map[identifier.Row]int{}
	s.inUse = map[identifier.Row]job.Demand{}
	s.repeating, s.queuedJobs = treeset.NewWith(compareNextOccurrence), map[string]int64{}
	s.runnerNames, s.changedRunners = nil, map[identifier.Runner]bool{}
	for _, runner := range s.Runners {
		s.addRunnerName(runner.Name)
		runner.used, runner.leases, runner.cordonedBy = job.Demand{}, map[identifier.LeaseID]*Lease{}, ""
	}
	for _, j := range s.Jobs {
		j.stepCounts, j.openLeases, j.displacedTasks, j.queue, j.openOccurrences = make([]stepCount, len(j.Steps)), 0, 0, nil, 0
	}
	s.rebuildQueueIndexes()
	for _, lease := range s.Leases {
		runner := s.Runners[lease.Runner]
		runner.leases[lease.ID] = lease
		runner.used = runner.used.Plus(lease.Demand)
		s.inUse[lease.Row] = s.inUse[lease.Row].Plus(lease.Demand)
		s.Jobs[lease.Task.Job].openLeases++
	}
	for _, j := range s.Jobs {
		s.jobsByKey.Put(j.Key, j)
		if j.EndState == "" {
			s.unfinishedJobs[j.Spec.Row]++
		}
		for i, tasks := range j.Steps {
			for _, task := range tasks {
				s.countTasks(j, i, task.State, 1)
				if task.DisplacedBy != "" {
					j.displacedTasks++
					s.displaced.Add(j)
				}
			}
		}
		s.reindexJob(j)
	}
	s.updateCordons()
}

// snapshotMagic begins a view of the second version: the document's length, the
// document, and the remembered ids packed behind it. The first version was the
// document alone, ids and all.
const snapshotMagic = "OWVIEW2\n"

// Encode makes the view.
func (s *Store) Encode() []byte {
	bare := *s
	bare.Dedup = nil
	doc, err := json.Marshal(&bare)
	if err != nil {
		panic(err)
	}
	text := make([]byte, 0, len(snapshotMagic)+4+len(doc)+len(s.Dedup.records))
	text = binary.LittleEndian.AppendUint32(append(text, snapshotMagic...), uint32(len(doc)))
	return append(append(text, doc...), s.Dedup.records...)
}

// Decode reads a snapshot that Encode made, or one of the first version, and
// rebuilds the derived fields.
func Decode(text []byte) (*Store, error) {
	s := New()
	s.Limits = nil
	doc, records := text, []byte(nil)
	if rest, ok := bytes.CutPrefix(text, []byte(snapshotMagic)); ok {
		if len(rest) < 4 || uint64(binary.LittleEndian.Uint32(rest)) > uint64(len(rest)-4) {
			return nil, errors.New("view is cut short")
		}
		n := binary.LittleEndian.Uint32(rest)
		doc, records = rest[4:4+n], rest[4+n:]
	}
	if err := json.Unmarshal(doc, s); err != nil {
		return nil, err
	}
	if records != nil {
		s.Dedup.load(records)
	}
	s.rebuildIndexes()
	return s, nil
}

// Admission is the compiled table of limits in force.
func (s *Store) Admission() *admission.Rules { return s.rules }

// WaitingTasks is the number of unplaced tasks in a row, as its limit counts them.
func (s *Store) WaitingTasks(row identifier.Row) int64 { return s.waitingTasks[row] }

// InUse is the room taken by the row's open leases.
func (s *Store) InUse(row identifier.Row) job.Demand { return s.inUse[row] }

// Cordoned tells whether the runner is known and cordoned by a drain.
func (s *Store) Cordoned(r identifier.Runner) bool {
	return s.Runners[r] != nil && s.Runners[r].cordonedBy != ""
}

// LeaseSpan is how long a runner may yet be living on its last contact. After
// the cell was lowered the longer span counts until nobody can hold it.
func (s *Store) LeaseSpan() clock.Millis {
	span := s.Limits.SiteMillis("grantMs")
	if s.PreviousLeaseSpan > span && s.Now < s.LeaseSpanChangedAt.Add(3*s.PreviousLeaseSpan) {
		return s.PreviousLeaseSpan
	}
	return span
}

// PendingJobs visits the row's placeable jobs in bidding order.
func (s *Store) PendingJobs(row identifier.Row) *PendingIterator {
	queue := s.pending[row]
	if queue == nil {
		queue = newJobQueue()
	}
	return &PendingIterator{byPriority: queue.byPriority.Iterator(), byAge: queue.byAge.Iterator(), seen: map[*Job]bool{}}
}

// Backlog counts the row's jobs that have something to place.
func (s *Store) Backlog(row identifier.Row) int {
	if queue := s.pending[row]; queue != nil {
		return queue.byAge.Size()
	}
	return 0
}

// HasPending tells whether any job has something to place, or has displaced work.
func (s *Store) HasPending() bool {
	if !s.displaced.Empty() {
		return true
	}
	for _, queue := range s.pending {
		if !queue.byAge.Empty() {
			return true
		}
	}
	return false
}

// NextScheduledStart is the soonest appointed start still to come.
func (s *Store) NextScheduledStart() (at clock.ClusterTime, ok bool) {
	it := s.delayed.Iterator()
	if it.Next() {
		at, ok = it.Value().(*Job).StartAt, true
	}
	if it = s.repeating.Iterator(); it.Next() {
		if j := it.Value().(*Job); !ok || j.nextOccurrence() < at {
			at, ok = j.nextOccurrence(), true
		}
	}
	return at, ok
}

// RunnerNames lists the runners in order, so that walks are alike everywhere.
// The list is the book's own and not to be changed.
func (s *Store) RunnerNames() []identifier.Runner { return s.runnerNames }

func (s *Store) addRunnerName(n identifier.Runner) {
	at := sort.Search(len(s.runnerNames), func(i int) bool { return s.runnerNames[i] >= n })
	s.runnerNames = append(s.runnerNames, "")
	copy(s.runnerNames[at+1:], s.runnerNames[at:])
	s.runnerNames[at] = n
	s.changedRunners[n] = true
}

// TakeChangedRunners forgets the runners that may have something new to hear, after telling
// of each, in no order.
func (s *Store) TakeChangedRunners(tell func(n identifier.Runner)) {
	for n := range s.changedRunners {
		tell(n)
	}
	clear(s.changedRunners)
}

// EachLease shows the runner's grants, in no order.
func (r *Runner) EachLease(visit func(lease *Lease)) {
	for _, lease := range r.leases {
		visit(lease)
	}
}

// LeaseIDs lists the runner's open leases in ascending order.
func (r *Runner) LeaseIDs() []identifier.LeaseID {
	out := make([]identifier.LeaseID, 0, len(r.leases))
	for id := range r.leases {
		out = append(out, id)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// DrainIDs lists the drains by the time they began, then by id.
func (s *Store) DrainIDs() []string {
	var out []string
	for id := range s.Drains {
		out = append(out, id)
	}
	sort.Slice(out, func(i, j int) bool {
		x, y := s.Drains[out[i]], s.Drains[out[j]]
		if x.StartedAt != y.StartedAt {
			return x.StartedAt < y.StartedAt
		}
		return x.ID < y.ID
	})
	return out
}

// JobsAfter lists jobs by key from after onward, as far as keep says to go on.
func (s *Store) JobsAfter(after identifier.JobKey, keep func(j *Job) (more bool)) {
	node, ok := s.jobsByKey.Ceiling(after)
	if !ok {
		return
	}
	it := s.jobsByKey.IteratorAt(node)
	for ok = true; ok; ok = it.Next() {
		if j := it.Value().(*Job); j.Key != after && !keep(j) {
			return
		}
	}
}
