package endpoint

import (
	"errors"
	"net/http"
	"testing"
)

// TestParse checks that Parse finds every endpoint by its method and path.
func TestParse(t *testing.T) {
	for _, c := range []struct {
		method, path string
		want         Endpoint
	}{
		{http.MethodGet, JobsPath, Endpoint{Kind: ListJobs}},
		{http.MethodGet, JobPath("a/j"), Endpoint{Kind: GetJob, Client: "a", JobID: "j"}},
		{http.MethodPut, "/v1/jobs/a/j/", Endpoint{Kind: SubmitJob, Client: "a", JobID: "j"}},
		{http.MethodDelete, JobPath("a/j"), Endpoint{Kind: CancelJob, Client: "a", JobID: "j"}},
		{http.MethodGet, JobStatePath("a/j"), Endpoint{Kind: GetJobState, Client: "a", JobID: "j"}},
		{http.MethodGet, QueuePath("q"), Endpoint{Kind: GetQueue, Name: "q"}},
		{http.MethodGet, CatalogPath, Endpoint{Kind: GetCatalog}},
		{http.MethodPut, CatalogPath, Endpoint{Kind: ReplaceCatalog}},
		{http.MethodPatch, CatalogPath, Endpoint{Kind: PatchCatalog}},
		{http.MethodGet, TenantsPath, Endpoint{Kind: ListTenants}},
		{http.MethodGet, LimitsPath, Endpoint{Kind: GetLimits}},
		{http.MethodPut, LimitsPath, Endpoint{Kind: ReplaceLimits}},
		{http.MethodPatch, LimitsPath, Endpoint{Kind: PatchLimits}},
		{http.MethodGet, RunnersPath, Endpoint{Kind: ListRunners}},
		{http.MethodPost, PollPath("r1"), Endpoint{Kind: PollRunner, Name: "r1"}},
		{http.MethodGet, FencingTokenPath, Endpoint{Kind: GetFencingToken}},
		{http.MethodGet, DrainsPath, Endpoint{Kind: ListDrains}},
		{http.MethodGet, DrainPath("north"), Endpoint{Kind: GetDrain, Name: "north"}},
		{http.MethodPut, DrainPath("north"), Endpoint{Kind: StartDrain, Name: "north"}},
		{http.MethodDelete, DrainPath("c-1"), Endpoint{Kind: EndDrain, Name: "c-1"}},
		{http.MethodGet, ServersPath, Endpoint{Kind: ListServers}},
		{MethodJoin, "/", Endpoint{Kind: JoinGroup}},
		{MethodSync, "/", Endpoint{Kind: SyncGateway}},
	} {
		if got, err := Parse(c.method, c.path); err != nil || got != c.want {
			t.Errorf("%s %s is %+v, %v, want %+v", c.method, c.path, got, err, c.want)
		}
	}
}

// TestParseRefuses checks the errors for methods and paths that the API does not have.
func TestParseRefuses(t *testing.T) {
	for _, c := range []struct {
		method, path string
		want         error
		message      string
	}{
		{http.MethodGet, "/", ErrNoSuchPath, "no such path"},
		{http.MethodGet, "/v2/jobs", ErrNoSuchPath, "no such path"},
		{http.MethodGet, "/v1/nothing", ErrNoSuchEndpoint, "no such path or method"},
		{http.MethodPost, JobsPath, ErrNoSuchEndpoint, "no such path or method"},
		{http.MethodGet, JobsPath + "/a", ErrNoSuchEndpoint, "no such path or method"},
		{http.MethodPut, JobStatePath("a/j"), ErrNoSuchEndpoint, "no such path or method"},
		{http.MethodGet, PollPath("r1"), ErrNoSuchEndpoint, "no such path or method"},
		{http.MethodGet, JobPath("a/j") + "/k", ErrNoSuchEndpoint, "no such path or method"},
		{http.MethodPost, JobPath("a/j"), nil, "want PUT, GET or DELETE"},
		{http.MethodDelete, CatalogPath, nil, "want GET, PUT or PATCH"},
		{http.MethodPost, LimitsPath, nil, "want GET, PUT or PATCH"},
		{http.MethodPatch, DrainPath("north"), nil, "want GET, PUT or DELETE"},
	} {
		_, err := Parse(c.method, c.path)
		if err == nil || err.Error() != c.message {
			t.Errorf("%s %s: %v, want %q", c.method, c.path, err, c.message)
			continue
		}
		var wrongMethod *MethodError
		if errors.As(err, &wrongMethod) == (c.want != nil) || c.want != nil && !errors.Is(err, c.want) {
			t.Errorf("%s %s: %v has the wrong type", c.method, c.path, err)
		}
	}
}

// TestJobPath checks that exactly the paths below the collection of jobs are job paths.
func TestJobPath(t *testing.T) {
	for path, want := range map[string]bool{
		JobPath("a/j"):   true,
		JobsPath + "/a":  true,
		JobsPath:         false,
		JobsPath + "s/a": false,
		CatalogPath:      false,
	} {
		if IsJobPath(path) != want {
			t.Errorf("IsJobPath(%s) = %v", path, !want)
		}
	}
}
