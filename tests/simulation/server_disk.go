package simulation

import (
	"github.com/go-faster/errors"

	"orchidward/internal/consensus/wal"
)

const (
	// minOperation and operationJitter bound the duration of an operation of a healthy
	// disk, in ms.
	minOperation    = 1
	operationJitter = 3
	// maxTornBytes bounds how much of a torn write is on the disk.
	maxTornBytes = 200
)

// startOperation starts the next disk operation. An operation proceeds even while the
// process is frozen; the state machine is notified of it once the process is resumed.
func (s *Server) startOperation() {
	operation := s.writes.Next()
	if operation == nil {
		return
	}
	s.operation = operation
	incarnation := s.Incarnation
	duration := minOperation + s.cluster.Random.Int63n(operationJitter) + s.DiskDelay
	s.cluster.After(max(duration, s.DiskStalledUntil-s.cluster.Now), func() {
		if s.Incarnation != incarnation || !s.Up {
			return
		}
		s.operation = nil
		s.finishOperation(operation)
		s.startOperation()
	})
}

func (s *Server) finishOperation(operation *wal.Operation) {
	log, err := operation.Do(s.Disk, s.layout, s.log)
	s.log = log
	s.writes.Done(operation)
	if errors.Is(err, errDiskFull) {
		s.quit(err.Error())
		return
	}
	if err != nil {
		s.cluster.Checker.Violate("disk", "%s: %v", s.Name, err)
		return
	}
	if operation.Snapshot != nil {
		return
	}
	s.recordPersisted(operation)
	s.cluster.post(s.Process, 0, func() { s.reportPersisted(operation) })
}

// reportPersisted notifies the state machine that an operation has completed.
func (s *Server) reportPersisted(operation *wal.Operation) {
	now := s.cluster.Monotonic(s.Process)
	wall := s.cluster.WallTime(s.Process)
	if operation.Create != nil {
		s.Machine.LogCreated(operation.Create, now, wall)
	} else {
		s.Machine.Synced(operation.Write.Seq, now, wall)
	}
	s.Flush()
}

// recordPersisted updates PersistedIndex after an operation.
func (s *Server) recordPersisted(operation *wal.Operation) {
	switch {
	case operation.Create != nil:
		s.PersistedIndex = operation.Create.Index
	case len(operation.Write.Entries) > 0:
		s.PersistedIndex = operation.Write.Entries[len(operation.Write.Entries)-1].Index
	case operation.Write.Snapshot != nil:
		s.PersistedIndex = max(s.PersistedIndex, operation.Write.Snapshot.Index)
	}
}

// interruptWrite simulates a power loss during a write: nothing, a part, or all of it
// is on the disk afterwards.
func (s *Server) interruptWrite() {
	if s.operation == nil || s.cluster.Random.Intn(3) == 0 || s.log == nil || s.operation.Write == nil {
		return
	}
	if s.cluster.Random.Intn(2) == 0 {
		s.Disk.tornAt = s.cluster.Random.Intn(maxTornBytes)
	}
	_ = s.log.Save(s.operation.Write)
	s.Disk.tornAt = notTorn
}
