package endpoint

import "orchidward/internal/api/identifier"

const version = "v1"

// Names of the collections as they stand in paths.
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
	// MembersPath is answered by a gateway itself: the members of the cluster that
	// it knows.
	MembersPath = "/" + version + "/members"
)

// Patterns of the paths with parameters, in the form that HTTP routers take.
const (
	JobPattern      = JobsPath + "/:agent/:id"
	JobStatePattern = "/" + version + "/" + statesCollection + "/:agent/:id"
	QueuePattern    = "/" + version + "/" + queuesCollection + "/:name"
	PollPattern     = RunnersPath + "/:name/" + pollAction
	DrainPattern    = DrainsPath + "/:name"
)

// JobPath is the path of one job.
func JobPath(key identifier.JobKey) string { return JobsPath + "/" + string(key) }

// JobStatePath is the path of a job's state.
func JobStatePath(key identifier.JobKey) string {
	return "/" + version + "/" + statesCollection + "/" + string(key)
}

// QueuePath is the path of one queue.
func QueuePath(name string) string { return "/" + version + "/" + queuesCollection + "/" + name }

// PollPath is the path of a runner's polls.
func PollPath(name identifier.Runner) string {
	return RunnersPath + "/" + string(name) + "/" + pollAction
}

// DrainPath is the path of a drain, by its id or its zone.
func DrainPath(name string) string { return DrainsPath + "/" + name }

// IsJobPath tells whether a path is that of a job, whatever the method.
func IsJobPath(path string) bool {
	return len(path) > len(JobsPath) && path[:len(JobsPath)+1] == JobsPath+"/"
}
