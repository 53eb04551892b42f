package main

import (
	"crypto/rand"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/go-faster/errors"

	"orchidward/internal/api/catalog"
)

type tenantKeys struct {
	Add    keysAdd    `cmd:"" help:"Add API keys to a tenant."`
	Remove keysRemove `cmd:"" help:"Take API keys away from a tenant: they are refused from then on."`
	Rotate keysRotate `cmd:"" help:"Make a new API key, add it to the tenant and print it, this once. The others stay until they are removed."`
}

// keysFile is a file of API keys. They are no arguments: those can be read by every user of
// the machine.
type keysFile struct {
	Name string `arg:"" help:"Tenant."`
	File string `arg:"" help:"File with one key a line, or - for standard input."`
}

func (f *keysFile) read() ([]catalog.APIKey, error) {
	text, err := readFile(f.File)
	if err != nil {
		return nil, err
	}
	var keys []catalog.APIKey
	for _, line := range strings.Split(string(text), "\n") {
		if key := strings.TrimSpace(line); key != "" {
			keys = append(keys, catalog.APIKey(key))
		}
	}
	if len(keys) == 0 {
		return nil, usageError{"the file has no key"}
	}
	return keys, nil
}

// readAPIKey reads the file of a caller's own API key, which may be named or not.
func readAPIKey(name string) (catalog.APIKey, error) {
	if name == "" {
		return "", nil
	}
	text, err := readFile(name)
	return catalog.APIKey(strings.TrimSpace(string(text))), err
}

type keysAdd struct{ keysFile }

// Run adds API keys.
func (c *keysAdd) Run(a *api) error {
	keys, err := c.read()
	if err != nil {
		return err
	}
	text, err := a.updateTenant(catalog.TenantUpdate{Name: c.Name, AddKeys: keys})
	if err != nil {
		return err
	}
	return show(a, text, printChangedCatalog)
}

type keysRemove struct{ keysFile }

// Run takes API keys away.
func (c *keysRemove) Run(a *api) error {
	keys, err := c.read()
	if err != nil {
		return err
	}
	text, err := a.updateTenant(catalog.TenantUpdate{Name: c.Name, DropKeys: keys})
	if err != nil {
		return err
	}
	return show(a, text, printChangedCatalog)
}

type keysRotate struct {
	Name string `arg:"" help:"Tenant."`
}

// rotatedKey is what is printed of a new API key. Version is left out while it is not known
// whether the key was added.
type rotatedKey struct {
	Tenant  string         `json:"tenant"`
	Key     catalog.APIKey `json:"key"`
	Version uint64         `json:"version,omitempty"`
}

// Run makes, adds and prints an API key. One that may have been added is printed too: else
// nobody could remove it.
func (c *keysRotate) Run(a *api) error {
	made := rotatedKey{Tenant: c.Name, Key: catalog.APIKey(rand.Text())}
	text, err := a.updateTenant(catalog.TenantUpdate{Name: c.Name, AddKeys: []catalog.APIKey{made.Key}})
	if err != nil && exitCode(err) != exitOutcomeUnknown {
		return err
	}
	if err == nil {
		if err = json.Unmarshal(text, &made); err != nil {
			return errors.Wrap(err, "answer does not parse")
		}
	}
	document, encodeErr := json.Marshal(made)
	if encodeErr != nil {
		return encodeErr
	}
	if showErr := show(a, document, printRotatedKey); showErr != nil {
		return showErr
	}
	return err
}

func printRotatedKey(made rotatedKey) {
	if made.Version == 0 {
		fmt.Println("this key may have been added:")
	}
	fmt.Println(string(made.Key))
}
