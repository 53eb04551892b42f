// Package settings reads a program's settings from flags and from a JSON settings file whose
// keys are the flag names. All settings are checked before any file or address is opened, and
// every problem is reported with its key.
package settings
