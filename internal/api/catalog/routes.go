package catalog

import (
	"cmp"
	"slices"
	"strings"
)

// Route is the host and path prefix of the requests that belong to a queue.
type Route struct {
	Queue  string `json:"name"`
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
	// Protected means that requests must carry a tenant's API key.
	Protected bool `json:"protected,omitempty"`
}

// Routes lists the routes of all queues, with hosts in lower case.
func (c *Catalog) Routes() []Route {
	var routes []Route
	for i := range c.Queues {
		q := &c.Queues[i]
		routes = append(routes, Route{
			Queue:     q.Name,
			Host:      strings.ToLower(q.Host),
			Prefix:    q.Prefix,
			Protected: c.Protected(q),
		})
	}
	return routes
}

// RouteMap looks up the queue that a request belongs to.
type RouteMap struct {
	// Version is the version of the catalogue.
	Version uint64
	// byHost holds the routes of each host, longest prefix first.
	byHost map[string][]Route
	// protected holds the queues whose requests must carry a tenant's API key.
	protected map[string]bool
}

// NewRouteMap returns a map of the routes, whose hosts must be in lower case.
func NewRouteMap(version uint64, routes []Route) *RouteMap {
	m := &RouteMap{Version: version, byHost: map[string][]Route{}, protected: map[string]bool{}}
	for _, route := range routes {
		if route.Protected {
			m.protected[route.Queue] = true
		}
		m.byHost[route.Host] = append(m.byHost[route.Host], route)
	}
	for _, list := range m.byHost {
		slices.SortFunc(list, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return m
}

// Find looks up the queue with the longest prefix that matches the path under the request's
// host. The host is case-insensitive and may have a port. rest is the path after the prefix.
func (m *RouteMap) Find(host, path string) (queue, rest string, ok bool) {
	for _, route := range m.byHost[withoutPort(strings.ToLower(host))] {
		if rest, ok = strings.CutPrefix(path, route.Prefix); ok {
			return route.Queue, rest, true
		}
	}
	return "", "", false
}

// Protected reports whether requests for a queue must carry a tenant's API key.
func (m *RouteMap) Protected(queue string) bool { return m.protected[queue] }

// withoutPort removes the port from a host. An IPv6 address without a port ends in "]".
func withoutPort(host string) string {
	i := strings.LastIndexByte(host, ':')
	if i <= 0 || strings.HasSuffix(host, "]") {
		return host
	}
	return host[:i]
}
