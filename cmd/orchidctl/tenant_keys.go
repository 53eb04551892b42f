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

// keysFile is a file of API keys. Keys are not passed as arguments, because every user of
// the machine can read those.
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

// readAPIKey reads the caller's API key from a file. An empty file name means no key.
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

// Run removes API keys.
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

// rotatedKey is the printed result of a key rotation. Version is omitted if it is unknown
// whether the key was added.
type rotatedKey struct {
	Tenant  string         `json:"tenant"`
	Key     catalog.APIKey `json:"key"`
	Version uint64         `json:"version,omitempty"`
}

// Run generates an API key, adds it to the tenant and prints it. The key is also printed if
// it is unknown whether it was added; otherwise nobody could remove it.
func (c *keysRotate) Run(a *api) error {
	rotated := rotatedKey{Tenant: c.Name, Key: catalog.APIKey(rand.Text())}
	text, err := a.updateTenant(catalog.TenantUpdate{Name: c.Name, AddKeys: []catalog.APIKey{rotated.Key}})
	if err != nil && exitCode(err) != exitOutcomeUnknown {
		return err
	}
	if err == nil {
		if err = json.Unmarshal(text, &rotated); err != nil {
			return errors.Wrap(err, "answer does not parse")
		}
	}
	document, encodeErr := json.Marshal(rotated)
	if encodeErr != nil {
		return encodeErr
	}
	if showErr := show(a, document, printRotatedKey); showErr != nil {
		return showErr
	}
	return err
}

func printRotatedKey(rotated rotatedKey) {
	if rotated.Version == 0 {
		fmt.Println("this key may have been added:")
	}
	fmt.Println(string(rotated.Key))
}
