package settings

import (
	"fmt"
	"net/netip"

	"orchidward/internal/api/identifier"
)

// Validator gathers the problems of settings, each with its key.
type Validator struct{ problems []string }

// Invalid records what is wrong with a key; message is a format for args.
func (v *Validator) Invalid(key, message string, args ...any) {
	v.problems = append(v.problems, key+": "+fmt.Sprintf(message, args...))
}

// Problems lists what was recorded, one line each.
func (v *Validator) Problems() []string { return v.problems }

// Addr wants an IP number and a port.
func (v *Validator) Addr(key, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		v.Invalid(key, "want IP:PORT, have %q", value)
	}
}

// Addrs wants at least so many addresses, each an IP number and a port.
func (v *Validator) Addrs(key string, list []string, atLeast int) {
	if len(list) < atLeast {
		v.Invalid(key, "want at least %d, have %d", atLeast, len(list))
	}
	for _, addr := range list {
		v.Addr(key, addr)
	}
}

// Name wants a valid name, as identifier.ValidName defines it.
func (v *Validator) Name(key, value string) {
	if !identifier.ValidName(value) {
		v.Invalid(key, "want 1 to 64 letters, digits, '.', '-' or '_', have %q", value)
	}
}

// Range wants a number from low to high, both included.
func (v *Validator) Range(key string, value, low, high int64) {
	if value < low || value > high {
		v.Invalid(key, "want %d to %d, have %d", low, high, value)
	}
}
