// Package settings reads a program's settings: flags, and a JSON settings file whose keys are
// the flags' names. Everything is checked before anything is opened, and every problem is
// named with its key.
package settings
