package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"sort"
	"strings"

	"github.com/alecthomas/kong"
	"github.com/go-faster/errors"
)

// File is a settings file that provides flag values to kong.
type File struct {
	Path   string
	values map[string]any
}

// ReadFile reads a settings file, which must contain one JSON object. It does not check the
// keys; Validate does.
func ReadFile(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings file")
	}
	if !json.Valid(text) {
		return nil, errors.Errorf("settings file %s is not one JSON object", path)
	}
	f := &File{Path: path}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	if err = decoder.Decode(&f.values); err != nil {
		return nil, errors.Wrapf(err, "settings file %s", path)
	}
	return f, nil
}

// Validate returns an error that lists the keys for which there is no flag.
func (f *File) Validate(app *kong.Application) error {
	known := map[string]bool{}
	for _, flag := range app.Flags {
		known[flag.Name] = true
	}
	var unknown []string
	for key := range f.values {
		if !known[key] {
			unknown = append(unknown, key)
		}
	}
	if len(unknown) == 0 {
		return nil
	}
	sort.Strings(unknown)
	return errors.Errorf("%s: unknown keys: %s", f.Path, strings.Join(unknown, ", "))
}

// Resolve returns the value of a flag, or nil if the file has none. A list is returned as its
// values joined by commas.
func (f *File) Resolve(_ *kong.Context, _ *kong.Path, flag *kong.Flag) (any, error) {
	value, ok := f.values[flag.Name]
	if !ok {
		return nil, nil
	}
	list, ok := value.([]any)
	if !ok {
		return fmt.Sprint(value), nil
	}
	var texts []string
	for _, item := range list {
		texts = append(texts, fmt.Sprint(item))
	}
	return strings.Join(texts, ","), nil
}
