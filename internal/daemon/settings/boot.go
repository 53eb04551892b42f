// Package settings reads a program's settings: flags, and a JSON settings file
// whose keys are the flags' names. Everything is checked before anything is
// opened, and every fault is named with its key.
package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"sort"
	"strings"

	"github.com/alecthomas/kong"
	"github.com/go-faster/errors"

	"orchidward/internal/api/identifier"
)

// File is a settings file as a source of flag values for kong.
type File struct {
	Path string
	vals map[string]any
}

// ReadFile reads a settings file, which must hold one JSON object. Its keys are
// not checked; Validate does that.
func ReadFile(path string) (*File, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings file")
	}
	f := &File{Path: path}
	if !json.Valid(data) {
		return nil, errors.Errorf("settings file %s is not one JSON object", path)
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	if err = d.Decode(&f.vals); err != nil {
		return nil, errors.Wrapf(err, "settings file %s", path)
	}
	return f, nil
}

// Validate names keys that no flag has.
func (f *File) Validate(app *kong.Application) error {
	known := map[string]bool{}
	for _, flag := range app.Flags {
		known[flag.Name] = true
	}
	bad := []string{}
	for k := range f.vals {
		if !known[k] {
			bad = append(bad, k)
		}
	}
	sort.Strings(bad)
	if len(bad) > 0 {
		return errors.Errorf("%s: unknown keys: %s", f.Path, strings.Join(bad, ", "))
	}
	return nil
}

// Resolve gives kong the value of a flag, nil when the file has none. A list
// becomes its values joined by commas.
func (f *File) Resolve(_ *kong.Context, _ *kong.Path, flag *kong.Flag) (any, error) {
	v, ok := f.vals[flag.Name]
	if !ok {
		return nil, nil
	}
	if list, many := v.([]any); many {
		out := []string{}
		for _, one := range list {
			out = append(out, fmt.Sprint(one))
		}
		return strings.Join(out, ","), nil
	}
	return fmt.Sprint(v), nil
}

// Parse fills the program's flags from the command line and, with --boot FILE,
// from a settings file; the command line wins. It exits 2 on bad usage.
func Parse(into any, name, help string, check func(c *Validator)) *kong.Context {
	var opts = []kong.Option{kong.Name(name), kong.Description(help), kong.UsageOnError(),
		kong.Exit(func(code int) {
			if code != 0 {
				code = 2
			}
			os.Exit(code)
		})}
	for i, arg := range os.Args {
		path := ""
		switch {
		case arg == "--boot" && i+1 < len(os.Args):
			path = os.Args[i+1]
		case strings.HasPrefix(arg, "--boot="):
			path = strings.TrimPrefix(arg, "--boot=")
		}
		if path == "" {
			continue
		}
		f, err := ReadFile(path)
		if err != nil {
			fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
			os.Exit(2)
		}
		opts = append(opts, kong.Resolvers(f))
	}
	ctx := kong.Parse(into, opts...)
	c := &Validator{}
	check(c)
	if len(c.list) == 0 {
		return ctx
	}
	for _, line := range c.list {
		fmt.Fprintf(os.Stderr, "%s: %s\n", name, line)
	}
	os.Exit(2)
	return nil
}

// Validator gathers faults, each with its key.
type Validator struct{ list []string }

// Invalid notes what is wrong with a key; why is a format for args.
func (c *Validator) Invalid(key, why string, args ...any) {
	c.list = append(c.list, key+": "+fmt.Sprintf(why, args...))
}

// Addr wants an IP number and a port.
func (c *Validator) Addr(key, val string) {
	if _, err := netip.ParseAddrPort(val); err != nil {
		c.Invalid(key, "want IP:PORT, have %q", val)
	}
}

// Addrs wants at least need addresses, each an IP number and a port.
func (c *Validator) Addrs(key string, list []string, need int) {
	if len(list) < need {
		c.Invalid(key, "want at least %d, have %d", need, len(list))
	}
	for _, a := range list {
		c.Addr(key, a)
	}
}

// Name wants a plain name, as ids.Plain defines it.
func (c *Validator) Name(key, val string) {
	if !identifier.ValidName(val) {
		c.Invalid(key, "want 1 to 64 letters, digits, '.', '-' or '_', have %q", val)
	}
}

// Range wants a number from low to high, both included.
func (c *Validator) Range(key string, val, low, high int64) {
	if val < low || val > high {
		c.Invalid(key, "want %d to %d, have %d", low, high, val)
	}
}

// Problems lists what was noted, one line each.
func (c *Validator) Problems() []string { return c.list }
