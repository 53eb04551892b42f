// Package endpoint maps the methods and paths of the HTTP API to typed endpoints, and
// vice versa. It is the only package that knows the paths of the API.
//
// Gateways and control-plane servers parse a request once, with [Parse], and then switch on
// the [Endpoint]'s Kind; clients build paths with the functions in path.go. The paths are
// documented in docs/api.md.
package endpoint
