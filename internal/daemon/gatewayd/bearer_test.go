package gatewayd

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"orchidward/internal/api/catalog"
	"orchidward/internal/daemon/lifecycle"
	"orchidward/internal/daemon/logging"
	"orchidward/internal/routing"
)

// TestBearerToken checks that no key is read from a malformed or repeated header.
func TestBearerToken(t *testing.T) {
	for name, c := range map[string]struct {
		values []string
		want   catalog.APIKey
	}{
		"one":            {[]string{"Bearer held-key"}, "held-key"},
		"scheme's case":  {[]string{"bearer held-key"}, "held-key"},
		"none":           {nil, ""},
		"two lines":      {[]string{"Bearer held-key", "Bearer held-key"}, ""},
		"other scheme":   {[]string{"Basic held-key"}, ""},
		"scheme missing": {[]string{"held-key"}, ""},
	} {
		if got := bearerToken(http.Header{authorizationHeader: c.values}); got != c.want {
			t.Errorf("%s: wrong key, of %d bytes", name, len(got))
		}
	}
}

// TestProtectedQueueWantsBearer checks that HTTP submissions to a protected queue are rejected
// without the key that the queue requires.
func TestProtectedQueueWantsBearer(t *testing.T) {
	const heldKey catalog.APIKey = "held-key"
	group := lifecycle.New()
	defer group.Stop(context.Background())
	leader, addr := startLeaderWith(t, group, func(table *routing.FullTable) {
		table.Version = 1
		table.KeySalt = []byte("salt")
		table.Routes = []catalog.Route{{Queue: "q", Host: "h", Prefix: "/q/", Protected: true}}
		table.Tenants = []catalog.TenantKeys{{Tenant: "t", Digests: []catalog.KeyDigest{heldKey.Digest(table.KeySalt)}}}
	})
	log := logging.New()
	log.Quiet()
	life := &fakeLifecycle{}
	d, err := New(Settings{Addr: "127.0.0.1:0", HTTP: "127.0.0.1:0", Domain: "north", Seeds: []string{addr}, BodyKb: 16}, group, log, life)
	if err != nil {
		t.Fatal(err)
	}
	life.start(t)
	defer func() { _ = d.http.Stop(context.Background()) }()
	waitFor(t, "the gateway has no contact with the leader", d.Ready)
	submit := func(key string) int {
		body := strings.NewReader(`{"queue":"q","steps":[{"name":"s"}]}`)
		request, err := http.NewRequest(http.MethodPut, "http://"+d.http.Addr()+"/v1/jobs/a/b", body)
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set(budgetHeader, "100")
		request.Header.Set(authorizationHeader, "Bearer "+key)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		_, _ = io.Copy(io.Discard, response.Body)
		return response.StatusCode
	}
	if status := submit("foreign-key"); status != http.StatusUnauthorized || leader.unanswered.Load() != 0 {
		t.Errorf("a foreign key: %d", status)
	}
	if status := submit(string(heldKey)); status != http.StatusGatewayTimeout || leader.unanswered.Load() == 0 {
		t.Errorf("the tenant's key: %d, and the leader got %d requests", status, leader.unanswered.Load())
	}
}
