package endpoint

import (
	"net/http"
	"strings"

	"orchidward/internal/api/identifier"
)

// Kind identifies an endpoint of the API.
type Kind int

const (
	// Unknown is a path that the API does not have.
	Unknown Kind = iota
	// ListJobs reads a page of jobs.
	ListJobs
	// GetJob reads one job with its tasks.
	GetJob
	// SubmitJob submits a job under the id that its client chose.
	SubmitJob
	// CancelJob cancels a job.
	CancelJob
	// GetJobState reads a job's state in one word.
	GetJobState
	// GetQueue counts the unfinished jobs of a queue.
	GetQueue
	// GetCatalog reads the catalogue of queues and pools.
	GetCatalog
	// ReplaceCatalog replaces the whole catalogue.
	ReplaceCatalog
	// PatchCatalog changes items of the catalogue.
	PatchCatalog
	// ListTenants lists the tenants, without their API keys.
	ListTenants
	// GetLimits reads the limits table.
	GetLimits
	// ReplaceLimits replaces the whole limits table.
	ReplaceLimits
	// PatchLimits changes cells of the limits table.
	PatchLimits
	// ListRunners lists the runners.
	ListRunners
	// PollRunner is the poll with which a runner reports its state and receives orders.
	PollRunner
	// GetFencingToken reads the fencing token of the leader.
	GetFencingToken
	// ListDrains lists the drains of zones and racks.
	ListDrains
	// GetDrain reads one drain by its id or zone.
	GetDrain
	// StartDrain drains a zone.
	StartDrain
	// EndDrain puts a drained zone back into use.
	EndDrain
	// ListServers lists the control-plane servers.
	ListServers
	// JoinGroup is a server's request to join the consensus group. Only servers send it,
	// with MethodJoin.
	JoinGroup
	// SyncGateway is a gateway's request for changes of the routing table. Only gateways
	// send it, with MethodSync.
	SyncGateway
)

// Methods of requests between the processes of a cluster. They are not sent over HTTP.
const (
	MethodJoin = "JOIN"
	MethodSync = "SYNC"
	// MethodWithdraw cancels an earlier request on the same connection because its caller
	// has disconnected. It has no response.
	MethodWithdraw = "WITHDRAW"
)

// CredentialParam is the parameter that holds the digest of a request's API key in requests
// between processes. Gateways set it, and discard any value that a client sends.
const CredentialParam = "credential"

// Withdrawable reports whether a request is an order without an idempotency key, whose
// duplicates no server can distinguish from a new order: to drain a zone, or to put it back
// into use.
func Withdrawable(method, path string) bool {
	if method != http.MethodPut && method != http.MethodDelete {
		return false
	}
	target, err := Parse(method, path)
	return err == nil && (target.Kind == StartDrain || target.Kind == EndDrain)
}

// Endpoint is the target of a request. Client and JobID are set for endpoints of one job,
// Name for endpoints of one queue, runner or drain. They are taken from the path and have not
// been validated.
type Endpoint struct {
	Kind   Kind
	Client identifier.Client
	JobID  identifier.JobID
	Name   string
}

// JobKey returns the key of the endpoint's job.
func (e Endpoint) JobKey() identifier.JobKey { return identifier.NewJobKey(e.Client, e.JobID) }

// Parse returns the endpoint for a method and a path. The error is ErrNoSuchPath,
// ErrNoSuchEndpoint or a *MethodError.
func Parse(method, path string) (Endpoint, error) {
	switch method {
	case MethodJoin:
		return Endpoint{Kind: JoinGroup}, nil
	case MethodSync:
		return Endpoint{Kind: SyncGateway}, nil
	}
	parts := strings.Split(strings.Trim(path, "/"), "/")
	if len(parts) < 2 || parts[0] != version {
		return Endpoint{}, ErrNoSuchPath
	}
	collection := parts[1]
	rest := parts[2:]
	switch {
	case len(rest) == 0:
		return parseCollection(method, collection)
	case len(rest) == 1:
		return parseItem(method, collection, rest[0])
	case len(rest) == 2 && collection == runnersCollection && rest[1] == pollAction && method == http.MethodPost:
		return Endpoint{Kind: PollRunner, Name: rest[0]}, nil
	case len(rest) == 2:
		return parseJob(method, collection, identifier.Client(rest[0]), identifier.JobID(rest[1]))
	}
	return Endpoint{}, ErrNoSuchEndpoint
}

// parseCollection parses paths such as /v1/jobs.
func parseCollection(method, collection string) (Endpoint, error) {
	switch collection {
	case catalogCollection:
		return parseDocument(method, GetCatalog, ReplaceCatalog, PatchCatalog)
	case limitsCollection:
		return parseDocument(method, GetLimits, ReplaceLimits, PatchLimits)
	}
	if kind, ok := collectionKinds[collection]; ok && method == http.MethodGet {
		return Endpoint{Kind: kind}, nil
	}
	return Endpoint{}, ErrNoSuchEndpoint
}

// collectionKinds maps the read-only collections to their kinds.
var collectionKinds = map[string]Kind{
	jobsCollection:    ListJobs,
	runnersCollection: ListRunners,
	drainsCollection:  ListDrains,
	serversCollection: ListServers,
	fenceCollection:   GetFencingToken,
	tenantsCollection: ListTenants,
}

// parseDocument selects the kind for a document that is read and changed as a whole.
func parseDocument(method string, get, replace, patch Kind) (Endpoint, error) {
	switch method {
	case http.MethodGet:
		return Endpoint{Kind: get}, nil
	case http.MethodPut:
		return Endpoint{Kind: replace}, nil
	case http.MethodPatch:
		return Endpoint{Kind: patch}, nil
	}
	return Endpoint{}, &MethodError{Allowed: "GET, PUT or PATCH"}
}

// parseItem parses paths such as /v1/queues/NAME.
func parseItem(method, collection, name string) (Endpoint, error) {
	switch collection {
	case queuesCollection:
		if method == http.MethodGet {
			return Endpoint{Kind: GetQueue, Name: name}, nil
		}
	case drainsCollection:
		return parseDrain(method, name)
	}
	return Endpoint{}, ErrNoSuchEndpoint
}

func parseDrain(method, name string) (Endpoint, error) {
	switch method {
	case http.MethodGet:
		return Endpoint{Kind: GetDrain, Name: name}, nil
	case http.MethodPut:
		return Endpoint{Kind: StartDrain, Name: name}, nil
	case http.MethodDelete:
		return Endpoint{Kind: EndDrain, Name: name}, nil
	}
	return Endpoint{}, &MethodError{Allowed: "GET, PUT or DELETE"}
}

// parseJob parses paths such as /v1/jobs/CLIENT/ID.
func parseJob(method, collection string, client identifier.Client, id identifier.JobID) (Endpoint, error) {
	found := Endpoint{Client: client, JobID: id}
	switch {
	case collection == statesCollection && method == http.MethodGet:
		found.Kind = GetJobState
	case collection != jobsCollection:
		return Endpoint{}, ErrNoSuchEndpoint
	case method == http.MethodGet:
		found.Kind = GetJob
	case method == http.MethodPut:
		found.Kind = SubmitJob
	case method == http.MethodDelete:
		found.Kind = CancelJob
	default:
		return Endpoint{}, &MethodError{Allowed: "PUT, GET or DELETE"}
	}
	return found, nil
}
