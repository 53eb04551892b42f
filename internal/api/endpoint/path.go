package endpoint

import "orchidward/internal/api/identifier"

const version = "v1"

// Names of the collections in paths.
const (
	jobsCollection    = "jobs"
	statesCollection  = "states"
	queuesCollection  = "queues"
	catalogCollection = "catalog"
	tenantsCollection = "tenants"
	limitsCollection  = "table"
	runnersCollection = "runners"
	fenceCollection   = "fence"
	drainsCollection  = "closings"
	serversCollection = "keepers"

	pollAction = "poll"
)

// Paths of whole collections and documents.
const (
	JobsPath         = "/" + version + "/" + jobsCollection
	CatalogPath      = "/" + version + "/" + catalogCollection
	TenantsPath      = "/" + version + "/" + tenantsCollection
	LimitsPath       = "/" + version + "/" + limitsCollection
	RunnersPath      = "/" + version + "/" + runnersCollection
	FencingTokenPath = "/" + version + "/" + fenceCollection
	DrainsPath       = "/" + version + "/" + drainsCollection
	ServersPath      = "/" + version + "/" + serversCollection
	// MembersPath is served by the gateway itself: it lists the cluster members that the
	// gateway knows.
	MembersPath = "/" + version + "/members"
)

// Patterns of paths with parameters, in the syntax of HTTP routers.
const (
	JobPattern      = JobsPath + "/:agent/:id"
	JobStatePattern = "/" + version + "/" + statesCollection + "/:agent/:id"
	QueuePattern    = "/" + version + "/" + queuesCollection + "/:name"
	PollPattern     = RunnersPath + "/:name/" + pollAction
	DrainPattern    = DrainsPath + "/:name"
)

// JobPath returns the path of a job.
func JobPath(key identifier.JobKey) string { return JobsPath + "/" + string(key) }

// JobStatePath returns the path of a job's state.
func JobStatePath(key identifier.JobKey) string {
	return "/" + version + "/" + statesCollection + "/" + string(key)
}

// QueuePath returns the path of a queue.
func QueuePath(name string) string { return "/" + version + "/" + queuesCollection + "/" + name }

// PollPath returns the path of a runner's polls.
func PollPath(name identifier.Runner) string {
	return RunnersPath + "/" + string(name) + "/" + pollAction
}

// DrainPath returns the path of a drain, given its id or zone.
func DrainPath(name string) string { return DrainsPath + "/" + name }

// IsJobPath reports whether a path is that of a job, whatever the method.
func IsJobPath(path string) bool {
	return len(path) > len(JobsPath) && path[:len(JobsPath)+1] == JobsPath+"/"
}
