package wal

import "github.com/go-faster/errors"

var (
	// ErrFull is returned when a write would overwrite entries that the newest snapshot
	// does not cover.
	ErrFull = errors.New("write-ahead log is full")
	// ErrDamaged is returned when the content of the data folder is missing or corrupt.
	ErrDamaged = errors.New("data is damaged")
	// ErrInUse is returned when another process has the data folder open.
	ErrInUse = errors.New("in use by another process")
)
