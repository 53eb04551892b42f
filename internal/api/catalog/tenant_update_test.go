package catalog

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"orchidward/internal/api/jsondoc"
)

// updateText returns a patch of tenantsText with the given tenant updates.
func updateText(update string) string {
	return fmt.Sprintf(`{"base":3,"version":4,"update":{"tenants":[%s]}}`, update)
}

// TestTenantUpdateKeepsOtherFields guards against an update that loses keys or limits which it
// does not name.
func TestTenantUpdateKeepsOtherFields(t *testing.T) {
	before := readTenants(t)
	var faults jsondoc.FieldErrors
	change := ReadPatch([]byte(updateText(`{"name":"t","addKeys":["third-key","second-key"],"dropKeys":["first-key"]},{"name":"u","weight":7}`)), &faults)
	if faults.Any() || !change.TouchesTenants() {
		t.Fatalf("%v, touches tenants: %t", faults.List, change.TouchesTenants())
	}
	next, err := before.With(change)
	if err != nil {
		t.Fatal(err)
	}
	if got := next.Tenant("t"); !slices.Equal(got.Keys, []APIKey{"second-key", "third-key"}) || got.Weight != 1000 || got.Quota.MilliCores != 5 {
		t.Errorf("t has %d keys, weight %d, quota %+v", len(got.Keys), got.Weight, got.Quota)
	}
	if got := next.Tenant("u"); got.Weight != 7 {
		t.Errorf("u has weight %d", got.Weight)
	}
	if got := before.Tenant("t"); !slices.Equal(got.Keys, []APIKey{"first-key", "second-key"}) {
		t.Error("the previous catalogue changed")
	}
}

// TestTenantUpdateRefused guards against updates of unknown tenants, of keys that belong to
// another tenant or that the tenant does not have, and of tenants with a source.
func TestTenantUpdateRefused(t *testing.T) {
	withSource := readTenants(t)
	withSource.Tenants[1].Source = []byte(`{"any":"thing"}`)
	var manyKeys []string
	for i := range maxKeys {
		manyKeys = append(manyKeys, fmt.Sprintf(`"key-%d"`, i))
	}
	for name, update := range map[string]string{
		"nobody":           `{"name":"nobody","weight":1}`,
		"another's key":    `{"name":"t","addKeys":["third-key"]}`,
		"key not held":     `{"name":"t","dropKeys":["third-key"]}`,
		"too many keys":    `{"name":"t","addKeys":[` + strings.Join(manyKeys, ",") + `]}`,
		"weight below 0":   `{"name":"t","weight":-1}`,
		"negative quota":   `{"name":"t","quota":{"gpus":-1}}`,
		"empty key":        `{"name":"t","addKeys":[""]}`,
		"tenant of source": `{"name":"u","weight":1}`,
	} {
		var faults jsondoc.FieldErrors
		change := ReadPatch([]byte(updateText(update)), &faults)
		if faults.Any() {
			continue
		}
		before := withSource
		before.Tenants[1].Keys = []APIKey{"third-key"}
		if _, err := before.With(change); err == nil {
			t.Errorf("%s passed", name)
		} else if strings.Contains(err.Error(), "-key") {
			t.Errorf("%s: the error contains a key: %v", name, err)
		}
	}
}
