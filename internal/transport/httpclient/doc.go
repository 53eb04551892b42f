// Package httpclient is an HTTP client for gateways. It tries them in turn, honors Retry-After
// when the cluster is busy, and names the gateways that it tried in its errors. A request that
// may have been applied is sent again only if it is idempotent.
package httpclient
