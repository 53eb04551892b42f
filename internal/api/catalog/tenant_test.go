package catalog

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"orchidward/internal/api/job"
	"orchidward/internal/api/jsondoc"
)

const tenantsText = `{"base":0,"version":3,"queues":[{"name":"a","host":"h","prefix":"/a/","pool":"x","timeoutMs":1},` +
	`{"name":"b","host":"h","prefix":"/b/","pool":"x","timeoutMs":1,"keyless":true}],"pools":[{"name":"x"}],` +
	`"tenants":[{"name":"t","keys":["first-key","second-key"],"weight":1000,"quota":{"milliCores":5}},{"name":"u","weight":1}]}`

// readTenants returns the catalogue of tenantsText.
func readTenants(t *testing.T) *Catalog {
	t.Helper()
	var faults jsondoc.FieldErrors
	change := ReadWhole([]byte(tenantsText), &faults)
	if faults.Any() {
		t.Fatal(faults.List)
	}
	next, err := (&Catalog{}).Deduplicated().With(change)
	if err != nil {
		t.Fatal(err)
	}
	return next
}

// TestQuotaAdmits checks that a quota bounds each resource separately, that 0 means no bound,
// and that the last task to start may exceed the quota while at most half of it is in use.
func TestQuotaAdmits(t *testing.T) {
	cores := func(n int64) job.Demand { return job.Demand{MilliCores: n} }
	for name, c := range map[string]struct {
		quota Quota
		used  job.Demand
		task  job.Demand
		tasks int
		want  bool
	}{
		"up to the bound":          {Quota{MilliCores: 10}, cores(6), cores(2), 2, true},
		"past the bound":           {Quota{MilliCores: 10}, cores(7), cores(4), 1, false},
		"whole cores count":        {Quota{MilliCores: 1999}, job.Demand{}, job.Demand{Cores: 1}, 3, false},
		"no bound":                 {Quota{}, cores(1 << 40), cores(1 << 40), 3, true},
		"memory":                   {Quota{MilliCores: 10, Mem: 5}, job.Demand{Mem: 4}, job.Demand{Mem: 2}, 1, false},
		"gpus":                     {Quota{GPUs: 1}, job.Demand{GPUs: 1}, job.Demand{GPUs: 1}, 1, false},
		"one large task":           {Quota{MilliCores: 10}, cores(5), cores(50), 1, true},
		"one large task past half": {Quota{MilliCores: 10}, cores(6), cores(50), 1, false},
		"a large gang":             {Quota{MilliCores: 10}, cores(0), cores(50), 2, false},
		"a gang past by one task":  {Quota{MilliCores: 5000}, cores(0), cores(2000), 3, true},
		"a gang beside others":     {Quota{MilliCores: 5000}, cores(2000), cores(2000), 2, true},
		"a gang past half":         {Quota{MilliCores: 5000}, cores(2600), cores(2000), 2, false},
	} {
		if got := c.quota.Admits(c.used, c.task, c.tasks); got != c.want {
			t.Errorf("%s: %t", name, got)
		}
	}
}

// TestKeysAreFoundByDigest checks that the digest of a key identifies its tenant, and that no
// other digest does.
func TestKeysAreFoundByDigest(t *testing.T) {
	c := readTenants(t)
	keys := NewKeyTable(c.KeySalt, c.TenantKeys())
	for key, want := range map[APIKey]string{"first-key": "t", "second-key": "t", "third-key": "", "": "", "first-ke": ""} {
		if tenant, ok := keys.Owner(keys.Digest(key)); tenant != want || ok != (want != "") {
			t.Errorf("%q: %q %t", string(key), tenant, ok)
		}
	}
	if _, ok := keys.Owner(""); ok {
		t.Error("an empty digest identifies a tenant")
	}
	if _, ok := keys.Owner(keys.Digest("first-key").prefix()); ok {
		t.Error("the prefix of a digest identifies a tenant")
	}
}

// TestKeysNotExposed checks that API keys are neither in the documents for gateways and
// operators nor in errors and logs.
func TestKeysNotExposed(t *testing.T) {
	c := readTenants(t)
	published := c.Published()
	texts := []string{fmt.Sprint(c.Tenants), fmt.Sprintf("%+v %#v %s", c.Tenants, c.Tenants, c.Tenants[0].Keys)}
	for _, document := range []any{&published, c.TenantKeys(), c.Routes()} {
		text, err := json.Marshal(document)
		if err != nil {
			t.Fatal(err)
		}
		texts = append(texts, string(text))
	}
	for _, text := range texts {
		if strings.Contains(text, "first-key") || strings.Contains(text, "second-key") {
			t.Errorf("an API key is in %s", text)
		}
	}
	if len(c.Tenants[0].Keys) != 2 || published.KeySalt != nil {
		t.Errorf("the catalogue lost its keys, or published its salt: %+v", published)
	}
}

// TestTenantsOfPatches checks that a patch adds, replaces and drops tenants by name, and that
// the salt does not change.
func TestTenantsOfPatches(t *testing.T) {
	var faults jsondoc.FieldErrors
	c := readTenants(t)
	patch := ReadPatch([]byte(`{"base":3,"version":4,"put":{"tenants":[{"name":"u","keys":["k"],"weight":2},{"name":"v","weight":1}]},"drop":{"tenants":["t"]}}`), &faults)
	next, err := c.With(patch)
	if err != nil || faults.Any() {
		t.Fatal(err, faults.List)
	}
	if next.Tenant("t") != nil || next.Tenant("u").Weight != 2 || next.Tenant("v") == nil || string(next.KeySalt) != string(c.KeySalt) {
		t.Errorf("%+v", next)
	}
	if !next.Protected(next.Queue("a")) || next.Protected(next.Queue("b")) {
		t.Error("a keyless queue is protected, or another is not")
	}
	last, err := next.With(ReadPatch([]byte(`{"base":4,"version":5,"drop":{"tenants":["u","v"]}}`), &faults))
	if err != nil || len(last.Tenants) != 0 || !last.Protected(last.Queue("a")) {
		t.Errorf("without tenants: %+v, %v", last, err)
	}
}

// TestFaultyTenantsRejected checks that two tenants cannot share a key, that fields out of
// bounds are rejected, and that errors do not contain a key.
func TestFaultyTenantsRejected(t *testing.T) {
	c := readTenants(t)
	for name, tenants := range map[string]string{
		"shared key":          `{"name":"v","keys":["first-key"],"weight":1}`,
		"less than no weight": `{"name":"v","weight":-1}`,
		"empty key":           `{"name":"v","keys":[""],"weight":1}`,
		"long key":            `{"name":"v","keys":["` + strings.Repeat("k", maxKeyBytes+1) + `"],"weight":1}`,
		"no name":             `{"weight":1}`,
		"negative cpu":        `{"name":"v","weight":1,"quota":{"milliCores":-1}}`,
		"unknown field":       `{"name":"v","weight":1,"colour":1}`,
	} {
		var faults jsondoc.FieldErrors
		patch := ReadPatch([]byte(`{"base":3,"version":4,"put":{"tenants":[`+tenants+`]}}`), &faults)
		if faults.Any() {
			continue
		}
		if _, err := c.With(patch); err == nil || strings.Contains(err.Error(), "first-key") {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := c.With(&Change{Version: 4, Tenants: []Tenant{{Name: "u", Keys: []APIKey{"k", "k"}, Weight: 1}}}); err != nil {
		t.Errorf("a duplicate key within one tenant was rejected: %v", err)
	}
}
