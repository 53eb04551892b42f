// Package httpclient is an HTTP client of gateways: it tries them in turn, waits as long as
// it is told to when the cluster is busy, and says which it tried. What may have been
// carried out is sent again only if it is idempotent.
package httpclient
