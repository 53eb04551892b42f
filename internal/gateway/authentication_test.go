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

// newTenantLeader is a leader with a queue that asks for keys, q00000, and one that doesn't.
func newTenantLeader(t *testing.T) *fakeLeader {
	t.Helper()
	leader := newFakeLeader(t, 2)
	leader.table.Routes[0].Protected = true
	leader.setKeys(tenantKey)
	leader.run(400)
	return leader
}

// setKeys gives the only tenant these keys and no others.
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

// sendForQueue sends the gateway a request for a queue with a key.
func (l *fakeLeader) sendForQueue(id uint64, queue string, key catalog.APIKey) Output {
	l.gateway.HandleRequest(Request{
		ID: id, Method: http.MethodGet, Path: "/v1/states/a/b", Budget: 3000, Queue: queue, Credential: key,
		Query: endpoint.CredentialParam + "=forged",
	}, l.now)
	return l.gateway.TakeOutput()
}

// TestOnlyHeldKeysAreForwarded guards against requests that pass with a key that nobody holds, or pass on the key itself.
func TestOnlyHeldKeysAreForwarded(t *testing.T) {
	leader := newTenantLeader(t)
	for _, key := range []catalog.APIKey{"", unknownKey, "forged"} {
		if output := leader.sendForQueue(1, "q00000", key); !answeredOnly(output, http.StatusUnauthorized) {
			t.Errorf("%d bytes of key: %+v", len(key), output)
		}
		attempt := mustForward(t, leader.sendForQueue(2, "q00001", key))
		if strings.Contains(attempt.Query, endpoint.CredentialParam) {
			t.Errorf("keyless queue: passed on with %s", attempt.Query)
		}
	}
	attempt := mustForward(t, leader.sendForQueue(3, "q00000", tenantKey))
	digest := string(tenantKey.Digest(leader.table.KeySalt))
	if attempt.Query != endpoint.CredentialParam+"="+digest {
		t.Errorf("passed on with %s", attempt.Query)
	}
}

// TestStaleKeysAreCheckedAgain guards against a key that is served although it was taken away meanwhile.
func TestStaleKeysAreCheckedAgain(t *testing.T) {
	leader := newTenantLeader(t)
	attempt := mustForward(t, leader.sendForQueue(1, "q00000", tenantKey))
	leader.setKeys(unknownKey)
	leader.respondStale(attempt, leader.stalePage(attempt))
	if output := leader.gateway.TakeOutput(); !answeredOnly(output, http.StatusUnauthorized) {
		t.Errorf("a key that was taken away: %+v", output)
	}
	mustForward(t, leader.sendForQueue(2, "q00000", unknownKey))
}

// TestUnknownKeyWhileBehind guards against a key that is refused for good by a gateway that has yet to learn of it.
func TestUnknownKeyWhileBehind(t *testing.T) {
	leader := newTenantLeader(t)
	leader.gateway.routing.recordLeaderEpoch(leader.gateway.Epoch()+1, leader.now)
	if output := leader.sendForQueue(1, "q00000", unknownKey); !answeredOnly(output, http.StatusServiceUnavailable) {
		t.Errorf("a key that may be new: %+v", output)
	}
}

// TestUnauthorizedAfterUnknownOutcome guards against a refusal of a job that an earlier try may have handed in.
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

// TestRefusalsCountedByCause guards against refused keys that no metric shows, or shows under another cause.
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

// TestForgedDigestIsDropped guards against a digest that a client sends itself with a request for no queue.
func TestForgedDigestIsDropped(t *testing.T) {
	leader := newTenantLeader(t)
	attempt := mustForward(t, leader.sendForQueue(1, "", ""))
	if attempt.Query != "" {
		t.Errorf("passed on with %s", attempt.Query)
	}
}
