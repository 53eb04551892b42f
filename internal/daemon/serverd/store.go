package serverd

import (
	"sync/atomic"

	"github.com/go-faster/errors"

	"orchidward/internal/api/identifier"
	"orchidward/internal/consensus/wal"
	"orchidward/internal/daemon/lifecycle"
)

// store performs the disk operations of a server. Its goroutine executes one operation of the
// write-ahead log at a time, and reports each once it is synced.
type store struct {
	// folder is nil for a server without a disk.
	folder *wal.Folder
	layout wal.Layout
	log    *wal.Log
	// submitted and finished hold at most one operation each: the write queue returns the next
	// operation only after the previous one was reported.
	submitted *lifecycle.Queue[*wal.Operation]
	finished  *lifecycle.Queue[func() error]
	report    func(operation *wal.Operation, err error) error
	used      atomic.Int64
}

// newStore opens the data folder and reads the server's identity from it, or creates one. A
// server without a disk has neither.
func newStore(settings Settings) (s *store, id identifier.Node, err error) {
	s = &store{
		submitted: lifecycle.NewQueue[*wal.Operation](1),
		finished:  lifecycle.NewQueue[func() error](1),
	}
	if settings.Data == "" {
		return s, 0, nil
	}
	if s.folder, err = wal.OpenFolder(settings.Data); err != nil {
		return nil, 0, err
	}
	layout := wal.Layout{Files: int(settings.Files), Bytes: int(settings.FileKb) << 10}
	id, s.layout, err = wal.Identity(s.folder, identifier.Node(randomID()), layout)
	return s, id, err
}

// open recovers the log from the disk. It returns nil if there is none.
func (s *store) open() (*wal.Recovered, error) {
	if s.folder == nil {
		return nil, nil
	}
	var recovered *wal.Recovered
	var err error
	if s.log, recovered, err = wal.Open(s.folder, s.layout); err != nil {
		return nil, errors.Wrap(err, "data folder")
	}
	return recovered, nil
}

// percentUsed returns the percentage of the log that is in use. It is safe for concurrent use.
func (s *store) percentUsed() int { return int(s.used.Load()) }

// completions returns the channel of finished operations. Each received function reports one
// operation to report when it is called.
func (s *store) completions(report func(operation *wal.Operation, err error) error) <-chan func() error {
	s.report = report
	return s.finished.Out()
}

// submit starts the next operation. The previous one must have been reported.
func (s *store) submit(operation *wal.Operation) { s.submitted.TryPush(operation) }

func (s *store) run(stop <-chan struct{}) {
	if s.folder == nil {
		return
	}
	defer s.folder.Close()
	for {
		select {
		case <-stop:
			return
		case operation := <-s.submitted.Out():
			err := s.do(operation)
			s.finished.Push(func() error { return s.report(operation, err) }, stop)
		}
	}
}

func (s *store) do(operation *wal.Operation) error {
	var err error
	if s.log, err = operation.Do(s.folder, s.layout, s.log); err != nil {
		return err
	}
	s.used.Store(int64(s.log.PercentUsed()))
	return nil
}
