package controlplane_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"orchidward/internal/api/catalog"
	"orchidward/internal/api/endpoint"
	"orchidward/internal/controlplane"
	"orchidward/internal/transport/wire"
)

// TestTenantsListedWithoutKeys checks that the list of tenants contains neither API keys
// nor their digests, and that its figures are correct.
func TestTenantsListedWithoutKeys(t *testing.T) {
	c := newTestCluster(t, 1, 2)
	c.mustRequest(http.MethodPatch, endpoint.CatalogPath,
		`{"base":2,"version":3,"put":{"tenants":[{"name":"t","keys":["held-key"],"weight":500,"quota":{"milliCores":2000}}]}}`)
	salt := c.server.State().Catalog.KeySalt
	digest := string(catalog.APIKey("held-key").Digest(salt))
	id := c.sendToServer(requestOfTenant("first", digest))
	c.run(1000)
	if response := c.responses[id]; response == nil || response.Status != http.StatusCreated {
		t.Fatalf("%+v", response)
	}
	response := c.request(http.MethodGet, endpoint.TenantsPath, "")
	for _, secret := range []string{"held-key", digest} {
		if strings.Contains(string(response.Body), secret) {
			t.Errorf("the tenant list contains a key or its digest: %s", response.Body)
		}
	}
	var doc controlplane.TenantsDoc
	if err := json.Unmarshal(response.Body, &doc); err != nil || len(doc.Tenants) != 1 {
		t.Fatalf("%v %s", err, response.Body)
	}
	tenant := doc.Tenants[0]
	if tenant.Used.CPU() != 1800 || tenant.Waiting != 3 || tenant.Keys != 1 || tenant.Weight != 500 || doc.Version != 3 {
		t.Errorf("tenant list is %+v", doc)
	}
}

// requestOfTenant returns a request that submits a job of five tasks with the digest of a
// key.
func requestOfTenant(id, digest string) wire.Request {
	return wire.Request{
		Method: http.MethodPut,
		Path:   jobPath(id),
		Query:  endpoint.CredentialParam + "=" + digest,
		Body:   []byte(`{"queue":"r","text":"t","steps":[{"name":"s0","tasks":5,"milliCores":900,"memMb":100,"spanMs":60000}]}`),
		Budget: requestTimeout,
	}
}
