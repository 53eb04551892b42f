package gateway

import (
	"net/http"
	"net/url"
	"strings"

	"orchidward/internal/api/catalog"
	"orchidward/internal/api/endpoint"
)

const (
	messageUnauthenticated = "the request needs the API key of a tenant"
	messageKeysBehind      = "this gateway has yet to learn the newest keys"
)

// authenticate checks that a request for a protected queue carries the API key of a tenant.
// The leader repeats the check with the digest of the key that the gateway forwards, because
// the gateway's table may be older than the leader's. A request without a valid key is
// answered here, and authenticate returns false.
func (g *Gateway) authenticate(r *request) bool {
	if strings.Contains(r.Query, endpoint.CredentialParam) {
		r.Query = withCredential(r.Query, "")
	}
	if r.Queue == "" {
		return true
	}
	owned := false
	if r.Credential != "" {
		digest := g.routing.keys.Digest(r.Credential)
		if _, owned = g.routing.keys.Owner(digest); owned {
			r.Query = withCredential(r.Query, digest)
		}
	}
	if owned || g.routing.routeMap == nil || !g.routing.routeMap.Protected(r.Queue) {
		return true
	}
	switch {
	case r.mayBeApplied():
		g.replyUnknown(r.ID)
	case g.routing.behindSince > 0:
		g.Counts.KeysBehind++
		g.replyError(r.ID, http.StatusServiceUnavailable, codeKeysBehind, messageKeysBehind, retryAfterFailure)
	default:
		g.countUnauthenticated(r)
		g.replyError(r.ID, http.StatusUnauthorized, codeUnauthenticated, messageUnauthenticated, 0)
	}
	return false
}

// countUnauthenticated counts a request that is refused for a missing or unknown key.
func (g *Gateway) countUnauthenticated(r *request) {
	if r.Credential == "" {
		g.Counts.WithoutKey++
		return
	}
	g.Counts.UnknownKey++
}

// withCredential returns the query with its credential parameter replaced by the digest, or
// removed if the digest is empty. Parameters that don't parse are dropped.
func withCredential(query string, digest catalog.KeyDigest) string {
	values, _ := url.ParseQuery(query)
	values.Del(endpoint.CredentialParam)
	if digest != "" {
		values.Set(endpoint.CredentialParam, string(digest))
	}
	return values.Encode()
}
