package gatewayd

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/gin-gonic/gin"

	"orchidward/internal/api/catalog"
	"orchidward/internal/api/endpoint"
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
	"orchidward/internal/gateway"
	"orchidward/internal/transport/httpserver"
)

// budgetHeader is the request header that states how long the caller waits, in milliseconds.
const budgetHeader = "Budget-Ms"

// The header and scheme with which a caller sends its tenant's API key.
const (
	authorizationHeader = "Authorization"
	bearerScheme        = "Bearer"
)

// Bounds of a caller's budget.
const (
	minBudget clock.Millis = 50
	maxBudget clock.Millis = 30000
)

// addRoutes adds the API's routes to the HTTP server. API requests are passed to the gateway,
// and its responses are returned unchanged.
func (d *Daemon) addRoutes() {
	d.http.Gin.GET(endpoint.MembersPath, d.serveMembers)
	for _, path := range []string{
		endpoint.JobsPath, endpoint.JobPattern, endpoint.JobStatePattern,
		endpoint.QueuePattern, endpoint.CatalogPath, endpoint.TenantsPath, endpoint.LimitsPath,
		endpoint.RunnersPath, endpoint.PollPattern,
		endpoint.DrainsPath, endpoint.DrainPattern, endpoint.ServersPath,
	} {
		d.http.Gin.Any(path, d.serve)
	}
}

// MemberDoc describes a control-plane server that a gateway knows.
type MemberDoc struct {
	Addr   string            `json:"addr"`
	Domain identifier.Domain `json:"domain"`
	Node   string            `json:"node"`
	Voter  bool              `json:"voter"`
}

// MembersDoc describes the cluster as known to a gateway.
type MembersDoc struct {
	Epoch    identifier.Epoch `json:"epoch"`
	Gateways []string         `json:"gates"`
	Servers  []MemberDoc      `json:"keepers"`
}

// serveMembers returns the cluster members that this gateway knows, for runners that look for
// other gateways. It works without a leader.
func (d *Daemon) serveMembers(c *gin.Context) {
	doc := MembersDoc{Servers: []MemberDoc{}}
	ok := d.Inspect(c.Request.Context(), func(g *gateway.Gateway) {
		for _, member := range g.Members() {
			doc.Servers = append(doc.Servers, MemberDoc{member.Addr, member.Domain, member.ID.String(), member.Voter})
		}
		doc.Gateways = g.Gateways()
		doc.Epoch = g.Epoch()
	})
	switch {
	case ok:
		c.JSON(http.StatusOK, doc)
	case c.Request.Context().Err() == nil:
		writeResponse(c, overloaded())
	}
}

// serve passes a request to the gateway and writes its response.
func (d *Daemon) serve(c *gin.Context) {
	r, ok := d.readRequest(c)
	if !ok {
		return
	}
	response := d.Do(c.Request.Context(), r)
	if c.Request.Context().Err() != nil {
		return
	}
	if d.http.Stopping() {
		c.Header("Connection", "close")
	}
	writeResponse(c, response)
}

// readRequest reads a request and its body. If it cannot, it writes the error response and
// returns false.
func (d *Daemon) readRequest(c *gin.Context) (r gateway.Request, ok bool) {
	body, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, d.maxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		message := "the body is over " + strconv.FormatInt(d.maxBodyBytes, 10) + " bytes"
		httpserver.WriteError(c, http.StatusRequestEntityTooLarge, codeTooLarge, message)
		return r, false
	case err != nil:
		httpserver.WriteError(c, http.StatusBadRequest, codeBadRequest, "the body could not be read")
		return r, false
	}
	budget, ok := readBudget(c.GetHeader(budgetHeader))
	if !ok {
		httpserver.WriteError(c, http.StatusBadRequest, codeBadRequest, fmt.Sprintf("%s wants %d to %d", budgetHeader, minBudget, maxBudget))
		return r, false
	}
	return gateway.Request{
		Method: c.Request.Method,
		Path:   c.Request.URL.Path,
		Query:  c.Request.URL.RawQuery,
		Body:   body,
		Budget: budget,

		Credential: bearerToken(c.Request.Header),
	}, true
}

// bearerToken returns the API key of a request (RFC 6750, section 2.1). It is empty unless the
// request has exactly one Authorization header.
func bearerToken(header http.Header) catalog.APIKey {
	values := header.Values(authorizationHeader)
	if len(values) != 1 {
		return ""
	}
	scheme, token, _ := strings.Cut(values[0], " ")
	if !strings.EqualFold(scheme, bearerScheme) {
		return ""
	}
	return catalog.APIKey(strings.TrimSpace(token))
}

// readBudget parses a caller's budget; it is 0 if the caller gives none.
func readBudget(text string) (budget clock.Millis, ok bool) {
	if text == "" {
		return 0, true
	}
	n, err := strconv.ParseInt(text, 10, 64)
	budget = clock.Millis(n)
	return budget, err == nil && budget >= minBudget && budget <= maxBudget
}

func writeResponse(c *gin.Context, response gateway.Response) {
	if response.RetryAfter > 0 {
		// The header holds whole seconds; rounded down, the caller would retry too early.
		seconds := (response.RetryAfter + 999) / 1000
		c.Header("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	c.Data(response.Status, "application/json", response.Body)
}
