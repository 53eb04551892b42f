package state

import (
	"cmp"
	"maps"
	"slices"

	"orchidward/internal/api/admission"
	"orchidward/internal/api/catalog"
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/api/limits"
	"orchidward/internal/clock"
)

// Store is the replicated state: jobs, leases, runners, drains, the limits table
// and the catalogue. Its exported fields are written to snapshots; the others are
// indexes that rebuildIndexes derives from them. It is not safe for concurrent
// use, and only Apply may change it.
type Store struct {
	Now        clock.ClusterTime          `json:"now"`
	NextLease  identifier.LeaseID         `json:"nextGrant"`
	NextJobSeq uint64                     `json:"nextSeq"`
	NextDrain  uint64                     `json:"nextClosing"`
	Limits     *limits.Table              `json:"table"`
	Jobs       map[identifier.JobKey]*Job `json:"jobs"`
	// EndedJobs lists the ended jobs whose details are still kept, in the order in which
	// they ended.
	EndedJobs []identifier.JobKey           `json:"over"`
	Leases    map[identifier.LeaseID]*Lease `json:"grants"`
	Runners   map[identifier.Runner]*Runner `json:"runners"`
	Drains    map[string]*Drain             `json:"closings"`
	// Dedup remembers the jobs whose details were dropped. Encode writes it after the
	// document; only version 1 snapshots contain it in the document.
	Dedup *DedupCache `json:"known,omitempty"`
	// PreviousLeaseSpan is the lease duration that was in force until LeaseSpanChangedAt.
	// It is set when the duration is lowered.
	PreviousLeaseSpan  clock.Millis      `json:"oldGrantMs,omitempty"`
	LeaseSpanChangedAt clock.ClusterTime `json:"oldGrantAt,omitempty"`
	// Level is the level of commands and rules in use, see SupportedLevel.
	Level uint16 `json:"level,omitempty"`
	// Checksum is the running checksum, see foldChecksum.
	Checksum uint64           `json:"sum,omitempty"`
	Catalog  *catalog.Catalog `json:"catalog,omitempty"`
	// Tombstones are ordered by expiry.
	Tombstones []Tombstone `json:"idHolds,omitempty"`

	rules       *admission.Rules
	jobIndex    *jobIndex
	runnerIndex *runnerIndex
	// inUse is the total demand of the open leases of each row.
	inUse map[identifier.Row]job.Demand
	// tenantUse is the total demand of the open leases of each tenant's jobs.
	tenantUse map[string]job.Demand
	// tenantRates tracks how fast tenants submit jobs. Like the timing of jobs, it is not
	// part of snapshots.
	tenantRates map[string]*tenantRate
}

const (
	// MaxJobIDs bounds the total number of jobs and remembered ids.
	MaxJobIDs = 1_500_000
	// MaxRunners bounds the number of runners.
	MaxRunners = 2048
	// maxDrains is the number of drains above which finished ones are dropped.
	maxDrains = 64
)

// New returns the state before the first command.
func New() *Store {
	s := &Store{
		NextLease:  1,
		NextJobSeq: 1,
		NextDrain:  1,
		Limits:     limits.Default(),
		Jobs:       map[identifier.JobKey]*Job{},
		Leases:     map[identifier.LeaseID]*Lease{},
		Runners:    map[identifier.Runner]*Runner{},
		Drains:     map[string]*Drain{},
		Dedup:      newDedupCache(),
	}
	s.rebuildIndexes()
	return s
}

// rebuildIndexes derives every unexported field from the exported ones.
func (s *Store) rebuildIndexes() {
	s.rules = admission.Compile(s.Limits)
	s.jobIndex = newJobIndex()
	s.runnerIndex = newRunnerIndex()
	s.inUse = map[identifier.Row]job.Demand{}
	s.tenantUse = map[string]job.Demand{}
	s.tenantRates = map[string]*tenantRate{}
	for _, runner := range s.Runners {
		s.runnerIndex.add(runner.Name)
		runner.resetDerived()
	}
	for _, j := range s.Jobs {
		j.resetDerived()
	}
	s.indexQueueJobs()
	for _, lease := range s.Leases {
		s.attachLease(lease)
	}
	for _, j := range s.Jobs {
		s.jobIndex.add(j)
		s.jobIndex.countAllTasks(j)
		s.jobIndex.update(j, s.Now)
	}
	s.updateCordons()
}

// InUse returns the total demand of the row's open leases, including revoked ones.
func (s *Store) InUse(row identifier.Row) job.Demand { return s.inUse[row] }

// Cordoned reports whether the runner is known and cordoned by a drain.
func (s *Store) Cordoned(name identifier.Runner) bool {
	runner := s.Runners[name]
	return runner != nil && runner.cordonedBy != ""
}

// previousSpanFactor is the multiple of a lowered lease duration for which the previous
// value remains in effect.
const previousSpanFactor = 3

// LeaseSpan returns how long a runner may keep working after its last contact, in
// milliseconds. After the duration was lowered, the previous value is returned until no
// runner can still be using it.
func (s *Store) LeaseSpan() clock.Millis {
	span := s.Limits.SiteMillis(limits.SiteLeaseSpan)
	if s.PreviousLeaseSpan > span && s.Now < s.LeaseSpanChangedAt.Add(previousSpanFactor*s.PreviousLeaseSpan) {
		return s.PreviousLeaseSpan
	}
	return span
}

// TotalCapacity returns the capacity of all runners that are not lost.
func (s *Store) TotalCapacity() job.Demand {
	var total job.Demand
	for _, runner := range s.Runners {
		if !runner.Gone {
			total = total.Plus(runner.Capacity)
		}
	}
	return total
}

// DrainIDs returns the ids of the drains, ordered by start time and then by id.
func (s *Store) DrainIDs() []string {
	return slices.SortedFunc(maps.Keys(s.Drains), func(a, b string) int {
		first, second := s.Drains[a], s.Drains[b]
		return cmp.Or(cmp.Compare(first.StartedAt, second.StartedAt), cmp.Compare(a, b))
	})
}
