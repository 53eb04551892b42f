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

// authenticate checks that a request for a queue bears the API key of a tenant, where the
// queue asks for one. The leader checks once more, by the digest of the key that it is sent:
// this table may be older than its own. A request without a valid key is answered here.
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

// countUnauthenticated counts a request that is refused for its key, or for the lack of one.
func (g *Gateway) countUnauthenticated(r *request) {
	if r.Credential == "" {
		g.Counts.WithoutKey++
		return
	}
	g.Counts.UnknownKey++
}

// withCredential is what can be read of a query, with the digest of the request's key in place of any other.
func withCredential(query string, digest catalog.KeyDigest) string {
	values, _ := url.ParseQuery(query)
	values.Del(endpoint.CredentialParam)
	if digest != "" {
		values.Set(endpoint.CredentialParam, string(digest))
	}
	return values.Encode()
}
