// Package endpoint maps the methods and paths of the HTTP API to typed endpoints,
// and back: it is the one place that knows the API's paths.
//
// Gateways and control-plane servers parse a request once, by Parse, and then
// switch on the [Endpoint]'s Kind; clients build paths by the functions in path.go.
// The paths themselves are described in docs/api.md.
package endpoint
