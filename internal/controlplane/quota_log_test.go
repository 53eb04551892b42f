package controlplane_test

import (
	"net/http"
	"testing"

	"orchidward/internal/api/catalog"
	"orchidward/internal/api/endpoint"
)

// TestQuotaLoggedOnce checks that a tenant at its quota is logged, and only once.
func TestQuotaLoggedOnce(t *testing.T) {
	c := newTestCluster(t, 1, 2)
	c.mustRequest(http.MethodPatch, endpoint.CatalogPath,
		`{"base":2,"version":3,"put":{"tenants":[{"name":"t","keys":["held-key"],"weight":500,"quota":{"milliCores":2000}},{"name":"idle","weight":1}]}}`)
	digest := string(catalog.APIKey("held-key").Digest(c.server.State().Catalog.KeySalt))
	c.sendToServer(requestOfTenant("first", digest))
	c.run(20000)
	if at, within := c.events["tenant-at-quota"], c.events["tenant-within-quota"]; at != 1 || within != 0 {
		t.Errorf("at its quota %d times, within %d times", at, within)
	}
	if largest := c.server.LargestTenants(1); len(largest) != 2 || largest[0].Tenant != "t" || largest[1].Tenant != "" {
		t.Errorf("largest tenants are %+v", largest)
	}
	c.cancel("first")
	c.run(20000)
	if at, within := c.events["tenant-at-quota"], c.events["tenant-within-quota"]; at != 1 || within != 1 {
		t.Errorf("at its quota %d times, within %d times", at, within)
	}
	c.sendToServer(requestOfTenant("second", "nobody's"))
	c.run(1000)
	if c.server.UnauthenticatedRequests != 1 {
		t.Errorf("%d unauthenticated requests, want 1", c.server.UnauthenticatedRequests)
	}
}
