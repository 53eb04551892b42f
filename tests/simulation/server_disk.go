package simulation

import (
	"github.com/go-faster/errors"

	"orchidward/internal/consensus/wal"
)

const (
	// minOperation and operationJitter are how long an operation of a healthy disk
	// takes, in ms.
	minOperation    = 1
	operationJitter = 3
	// maxTornBytes is how much of a write may be on the disk when power is lost.
	maxTornBytes = 200
)

// startOperation gives the disk its next operation. It goes on even in a frozen
// process, which only hears of it when it wakes.
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

// reportPersisted tells the state machine that an operation is done.
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

// recordPersisted keeps how far the log on the disk goes after an operation.
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

// interruptWrite leaves on the disk what a write under way has brought there when
// power is lost: nothing, a part, or all of it.
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
