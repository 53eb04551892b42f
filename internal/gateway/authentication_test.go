package gateway

import (
	"net/http"
	"strings"
	"testing"

	"orchidward/internal/api/catalog"
	"orchidward/internal/api/endpoint"
	"orchidward/internal/clock"
	"orchidward/internal/transport/wire"
)

const (
	tenantKey  catalog.APIKey = "held-key"
	unknownKey catalog.APIKey = "foreign-key"
)

// newTenantLeader returns a leader with a protected queue, q00000, and an unprotected one.
func newTenantLeader(t *testing.T) *fakeLeader {
	t.Helper()
	leader := newFakeLeader(t, 2)
	leader.table.Routes[0].Protected = true
	leader.setKeys(tenantKey)
	leader.run(400)
	return leader
}

// setKeys replaces the keys of the only tenant.
func (l *fakeLeader) setKeys(keys ...catalog.APIKey) {
	l.table.Epoch++
	l.table.Version++
	l.table.KeySalt = []byte("salt")
	tenant := catalog.TenantKeys{Tenant: "t"}
	for _, key := range keys {
		tenant.Digests = append(tenant.Digests, key.Digest(l.table.KeySalt))
	}
	l.table.Tenants = []catalog.TenantKeys{tenant}
	l.history.CatalogChanged(l.table)
}

// sendForQueue sends the gateway a request for a queue with an API key, and with a forged
// digest in its query.
func (l *fakeLeader) sendForQueue(id uint64, queue string, key catalog.APIKey) Output {
	l.gateway.HandleRequest(Request{
		ID: id, Method: http.MethodGet, Path: "/v1/states/a/b", Budget: 3000, Queue: queue, Credential: key,
		Query: endpoint.CredentialParam + "=forged",
	}, l.now)
	return l.gateway.TakeOutput()
}

// TestOnlyHeldKeysAreForwarded checks that a request for a protected queue is forwarded only
// with the key of a tenant, and that the key itself is not forwarded.
func TestOnlyHeldKeysAreForwarded(t *testing.T) {
	leader := newTenantLeader(t)
	for _, key := range []catalog.APIKey{"", unknownKey, "forged"} {
		if output := leader.sendForQueue(1, "q00000", key); !answeredOnly(output, http.StatusUnauthorized) {
			t.Errorf("%d bytes of key: %+v", len(key), output)
		}
		attempt := mustForward(t, leader.sendForQueue(2, "q00001", key))
		if strings.Contains(attempt.Query, endpoint.CredentialParam) {
			t.Errorf("keyless queue: forwarded with query %s", attempt.Query)
		}
	}
	attempt := mustForward(t, leader.sendForQueue(3, "q00000", tenantKey))
	digest := string(tenantKey.Digest(leader.table.KeySalt))
	if attempt.Query != endpoint.CredentialParam+"="+digest {
		t.Errorf("forwarded with query %s", attempt.Query)
	}
}

// TestStaleKeysAreCheckedAgain checks that a request is refused if its key was revoked while
// the request was in flight.
func TestStaleKeysAreCheckedAgain(t *testing.T) {
	leader := newTenantLeader(t)
	attempt := mustForward(t, leader.sendForQueue(1, "q00000", tenantKey))
	leader.setKeys(unknownKey)
	leader.respondStale(attempt, leader.stalePage(attempt))
	if output := leader.gateway.TakeOutput(); !answeredOnly(output, http.StatusUnauthorized) {
		t.Errorf("a revoked key: %+v", output)
	}
	mustForward(t, leader.sendForQueue(2, "q00000", unknownKey))
}

// TestUnknownKeyWhileBehind checks that a gateway whose table is behind refuses an unknown key
// only temporarily, because the newer table may contain it.
func TestUnknownKeyWhileBehind(t *testing.T) {
	leader := newTenantLeader(t)
	leader.gateway.routing.recordLeaderEpoch(leader.gateway.Epoch()+1, leader.now)
	if output := leader.sendForQueue(1, "q00000", unknownKey); !answeredOnly(output, http.StatusServiceUnavailable) {
		t.Errorf("a key that may be new: %+v", output)
	}
}

// TestUnauthorizedAfterUnknownOutcome checks that a job is not answered with 401 if an earlier
// attempt may have submitted it.
func TestUnauthorizedAfterUnknownOutcome(t *testing.T) {
	leader := newTenantLeader(t)
	body := []byte(`{"queue":"q00000","steps":[{"name":"s"}]}`)
	leader.gateway.HandleRequest(Request{ID: 1, Method: http.MethodPut, Path: jobPath, Body: body, Budget: 4000, Credential: tenantKey}, leader.now)
	mustForward(t, leader.gateway.TakeOutput())
	leader.run(clock.Monotonic(attemptTimeout) / 2)
	leader.now = leader.now.Add(attemptTimeout)
	leader.gateway.sync.lastContactAt = leader.now
	leader.gateway.Tick(leader.now)
	again := mustForward(t, leader.gateway.TakeOutput())
	respond(leader.gateway, again, wire.Response{Status: http.StatusUnauthorized}, leader.now)
	if output := leader.gateway.TakeOutput(); !answeredOnly(output, http.StatusGatewayTimeout) {
		t.Errorf("%+v", output)
	}
}

// TestRefusalsCountedByCause checks that requests refused for their key are counted under the
// right cause.
func TestRefusalsCountedByCause(t *testing.T) {
	leader := newTenantLeader(t)
	leader.sendForQueue(1, "q00000", "")
	leader.sendForQueue(2, "q00000", unknownKey)
	leader.sendForQueue(3, "q00000", unknownKey)
	leader.gateway.routing.recordLeaderEpoch(leader.gateway.Epoch()+1, leader.now)
	leader.sendForQueue(4, "q00000", unknownKey)
	leader.sendForQueue(5, "q00000", tenantKey)
	counts := leader.gateway.Counts
	if counts.WithoutKey != 1 || counts.UnknownKey != 2 || counts.KeysBehind != 1 {
		t.Errorf("without key %d, unknown %d, behind %d", counts.WithoutKey, counts.UnknownKey, counts.KeysBehind)
	}
}

// TestForgedDigestIsDropped checks that a digest sent by a client is removed from a request
// that is for no queue.
func TestForgedDigestIsDropped(t *testing.T) {
	leader := newTenantLeader(t)
	attempt := mustForward(t, leader.sendForQueue(1, "", ""))
	if attempt.Query != "" {
		t.Errorf("forwarded with query %s", attempt.Query)
	}
}
