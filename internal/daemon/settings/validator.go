package settings

import (
	"fmt"
	"net/netip"

	"orchidward/internal/api/identifier"
)

// Validator collects the problems found in settings, each with its key.
type Validator struct{ problems []string }

// Invalid records a problem with a key; message is a format string for args.
func (v *Validator) Invalid(key, message string, args ...any) {
	v.problems = append(v.problems, key+": "+fmt.Sprintf(message, args...))
}

// Problems returns the recorded problems, one line each.
func (v *Validator) Problems() []string { return v.problems }

// Addr requires an IP address and a port.
func (v *Validator) Addr(key, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		v.Invalid(key, "want IP:PORT, have %q", value)
	}
}

// Addrs requires at least atLeast addresses, each an IP address and a port.
func (v *Validator) Addrs(key string, list []string, atLeast int) {
	if len(list) < atLeast {
		v.Invalid(key, "want at least %d, have %d", atLeast, len(list))
	}
	for _, addr := range list {
		v.Addr(key, addr)
	}
}

// Name requires a valid name, as defined by identifier.ValidName.
func (v *Validator) Name(key, value string) {
	if !identifier.ValidName(value) {
		v.Invalid(key, "want 1 to 64 letters, digits, '.', '-' or '_', have %q", value)
	}
}

// Range requires a number from low to high, inclusive.
func (v *Validator) Range(key string, value, low, high int64) {
	if value < low || value > high {
		v.Invalid(key, "want %d to %d, have %d", low, high, value)
	}
}
