package wal

import "github.com/go-faster/errors"

var (
	// ErrFull says that a write would overwrite entries that the newest snapshot does
	// not cover.
	ErrFull = errors.New("write-ahead log is full")
	// ErrDamaged says that the data folder does not hold what was written to it.
	ErrDamaged = errors.New("data is damaged")
	// ErrInUse says that another process has the data folder open.
	ErrInUse = errors.New("in use by another process")
)
