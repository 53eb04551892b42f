package main

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/alecthomas/kong"

	"orchidward/internal/api/catalog"
	"orchidward/internal/api/endpoint"
	"orchidward/internal/api/jsondoc"
	"orchidward/internal/controlplane"
	"orchidward/internal/transport/httpclient"
)

const presentTenants = `{"version":7,"tenants":[{"name":"gilde","weight":2000,"quota":{"milliCores":9000,"memMb":512},` +
	`"used":{"cores":1,"memMb":64,"milliCores":500},"waiting":3,"keys":2}]}`

// fakeGateway serves presentTenants and records changes to the catalogue.
type fakeGateway struct {
	patches []string
	status  int
}

func (g *fakeGateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	switch r.Method + " " + r.URL.Path {
	case "GET " + endpoint.TenantsPath:
		_, _ = io.WriteString(w, presentTenants)
	case "PATCH " + endpoint.CatalogPath:
		g.patches = append(g.patches, string(body))
		w.WriteHeader(g.status)
		_, _ = io.WriteString(w, `{"version":8}`)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// runCommand runs orchidctl with the given arguments and returns its exit code and output.
func runCommand(t *testing.T, g *fakeGateway, args ...string) (code int, output string) {
	t.Helper()
	server := httptest.NewServer(g)
	defer server.Close()
	parser, err := kong.New(&flags{}, kong.Exit(func(int) { t.Fatalf("%v does not parse", args) }))
	if err != nil {
		t.Fatal(err)
	}
	ctx, err := parser.Parse(args)
	if err != nil {
		t.Fatal(err)
	}
	client := httpclient.New([]string{strings.TrimPrefix(server.URL, "http://")}, 5*time.Second)
	client.Attempts = 1
	printed, err := os.Create(filepath.Join(t.TempDir(), "stdout"))
	if err != nil {
		t.Fatal(err)
	}
	defer printed.Close()
	stdout := os.Stdout
	os.Stdout = printed
	code = run(ctx, &api{client: client})
	os.Stdout = stdout
	text, err := os.ReadFile(printed.Name())
	if err != nil {
		t.Fatal(err)
	}
	return code, string(text)
}

// mustPatch returns the only change that the gateway received, as the cluster parses it.
func mustPatch(t *testing.T, g *fakeGateway) *catalog.Change {
	t.Helper()
	if len(g.patches) != 1 {
		t.Fatalf("the gateway received %d changes, want 1", len(g.patches))
	}
	var faults jsondoc.FieldErrors
	change := catalog.ReadPatch([]byte(g.patches[0]), &faults)
	if faults.Any() {
		t.Fatal(faults.List)
	}
	if change.Base != 7 || change.Version != 8 {
		t.Errorf("the change has base %d and version %d, want 7 and 8", change.Base, change.Version)
	}
	return change
}

// TestTenantSetKeepsOtherFields guards against a change of one bound that also sets the others, or removes the tenant's keys.
func TestTenantSetKeepsOtherFields(t *testing.T) {
	g := &fakeGateway{status: http.StatusOK}
	if code, output := runCommand(t, g, "tenant", "set", "gilde", "--mem-mb", "1024"); code != exitDone || output != "version 8\n" {
		t.Errorf("exit %d, %q", code, output)
	}
	change := mustPatch(t, g)
	if len(change.TenantUpdates) != 1 || len(change.Tenants) != 0 {
		t.Fatalf("%+v", change)
	}
	update := change.TenantUpdates[0]
	if update.Weight != nil || *update.Quota != (catalog.Quota{MilliCores: 9000, Mem: 1024}) {
		t.Errorf("%+v", update)
	}
}

// TestTenantSetMakesTenant guards against a tenant that cannot be created, or is created without a weight.
func TestTenantSetMakesTenant(t *testing.T) {
	g := &fakeGateway{status: http.StatusOK}
	runCommand(t, g, "tenant", "set", "telmar", "--gpus", "2")
	change := mustPatch(t, g)
	if len(change.Tenants) != 1 || change.Tenants[0].Weight != defaultWeight || change.Tenants[0].Quota != (catalog.Quota{GPUs: 2}) {
		t.Errorf("%+v", change)
	}
}

// TestKeysRotatePrintsOnce guards against a new key that is weak, differs from the one that was added, or is never shown to its creator.
func TestKeysRotatePrintsOnce(t *testing.T) {
	seen := map[string]bool{}
	for _, status := range []int{http.StatusOK, http.StatusOK, http.StatusGatewayTimeout, http.StatusPreconditionFailed} {
		g := &fakeGateway{status: status}
		code, output := runCommand(t, g, "tenant", "keys", "rotate", "gilde")
		update := mustPatch(t, g).TenantUpdates[0]
		key := string(update.AddKeys[0])
		if len(update.DropKeys) != 0 || len(key) < 26 || seen[key] {
			t.Errorf("%d bytes of key, %d keys dropped", len(key), len(update.DropKeys))
		}
		seen[key] = true
		refused := status == http.StatusPreconditionFailed
		if got := strings.Count(output, key); refused == (got == 1) || (code == exitDone) != (status == http.StatusOK) {
			t.Errorf("status %d: exit %d, the key printed %d times", status, code, got)
		}
	}
}

// TestKeysComeFromFiles guards against keys read with surrounding whitespace, and against files without a key.
func TestKeysComeFromFiles(t *testing.T) {
	file := filepath.Join(t.TempDir(), "keys")
	if err := os.WriteFile(file, []byte("one\r\n\n two \n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, action := range []string{"add", "remove"} {
		g := &fakeGateway{status: http.StatusOK}
		if code, output := runCommand(t, g, "tenant", "keys", action, "gilde", file); code != exitDone || strings.Contains(output, "one") {
			t.Errorf("%s: exit %d, %q", action, code, output)
		}
		update := mustPatch(t, g).TenantUpdates[0]
		keys := update.AddKeys
		if action == "remove" {
			keys = update.DropKeys
		}
		if len(keys) != 2 || keys[0] != "one" || keys[1] != "two" || len(update.AddKeys)+len(update.DropKeys) != 2 {
			t.Errorf("%s: %d keys", action, len(keys))
		}
	}
	g := &fakeGateway{status: http.StatusOK}
	if code, _ := runCommand(t, g, "tenant", "keys", "add", "gilde", os.DevNull); code != exitUsage || len(g.patches) != 0 {
		t.Errorf("no keys: exit %d, %d changes", code, len(g.patches))
	}
}

// TestTenantRemove guards against a removal that drops another tenant, or is sent for one that does not exist.
func TestTenantRemove(t *testing.T) {
	g := &fakeGateway{status: http.StatusOK}
	if code, _ := runCommand(t, g, "tenant", "remove", "nobody"); code != exitRefused || len(g.patches) != 0 {
		t.Errorf("exit %d, %d changes", code, len(g.patches))
	}
	runCommand(t, g, "tenant", "remove", "gilde")
	if change := mustPatch(t, g); len(change.DropTenants) != 1 || change.DropTenants[0] != "gilde" {
		t.Errorf("%+v", change)
	}
}

// TestTenantShown guards against figures printed in the wrong column.
func TestTenantShown(t *testing.T) {
	var doc controlplane.TenantsDoc
	if err := json.Unmarshal([]byte(presentTenants), &doc); err != nil {
		t.Fatal(err)
	}
	const want = "gilde            weight 2  milliCores 1500/9000  memMb 64/512  gpus 0/-  waiting 3  keys 2\n"
	for _, args := range [][]string{{"tenant", "list"}, {"tenant", "show", "gilde"}} {
		if code, output := runCommand(t, &fakeGateway{}, args...); code != exitDone || output != want {
			t.Errorf("%v: exit %d, %q", args, code, output)
		}
	}
}
