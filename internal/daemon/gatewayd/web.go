// The HTTP side: every request under /v1 is asked of the desk, and its answer
// goes out as it comes.

package gatewayd

import (
	"io"
	"net/http"
	"strconv"

	"github.com/gin-gonic/gin"

	"orchidward/internal/api/endpoint"
	"orchidward/internal/clock"
	"orchidward/internal/gateway"
	"orchidward/internal/transport/httpserver"
)

const budgetHead = "Budget-Ms"

func (d *Daemon) routes() {
	d.http.Gin.GET(endpoint.MembersPath, d.members)
	for _, path := range []string{
		endpoint.JobsPath, endpoint.JobPattern, endpoint.JobStatePattern,
		endpoint.QueuePattern, endpoint.CatalogPath, endpoint.LimitsPath,
		endpoint.RunnersPath, endpoint.PollPattern,
		endpoint.DrainsPath, endpoint.DrainPattern, endpoint.ServersPath,
	} {
		d.http.Gin.Any(path, d.serve)
	}
}

// members shows what this gate knows of the fleet, for runners that look for
// other gates; it needs no leader.
func (d *Daemon) members(c *gin.Context) {
	var shown gin.H
	ok := d.Inspect(c.Request.Context(), func(m *gateway.Gateway) {
		list := []gin.H{}
		for _, one := range m.Members() {
			list = append(list, gin.H{"node": one.ID.String(), "addr": one.Addr, "domain": one.Domain, "voter": one.Voter})
		}
		shown = gin.H{"keepers": list, "gates": m.Gateways(), "epoch": m.Epoch()}
	})
	switch {
	case ok:
		c.JSON(200, shown)
	case c.Request.Context().Err() == nil:
		reply(c, full())
	}
}

func (d *Daemon) serve(c *gin.Context) {
	body, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, d.size))
	if err != nil {
		if _, big := err.(*http.MaxBytesError); big {
			httpserver.WriteError(c, 413, "too-large", "the body is over "+strconv.FormatInt(d.size, 10)+" bytes")
			return
		}
		httpserver.WriteError(c, 400, "bad-request", "the body could not be read")
		return
	}
	r := gateway.Request{Method: c.Request.Method, Path: c.Request.URL.Path, Query: c.Request.URL.RawQuery, Body: body}
	if text := c.GetHeader(budgetHead); text != "" {
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil || n < 50 || n > 30000 {
			httpserver.WriteError(c, 400, "bad-request", budgetHead+" wants 50 to 30000")
			return
		}
		r.Budget = clock.Millis(n)
	}
	a := d.Do(c.Request.Context(), r)
	if c.Request.Context().Err() != nil {
		return
	}
	if d.http.Stopping() {
		c.Header("Connection", "close")
	}
	reply(c, a)
}

func reply(c *gin.Context, a gateway.Response) {
	if a.RetryAfter > 0 {
		c.Header("Retry-After", strconv.FormatInt(int64(a.RetryAfter+999)/1000, 10))
	}
	c.Data(a.Status, "application/json", a.Body)
}
