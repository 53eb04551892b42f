package main

import (
	"io"
	"net/http"
	"strconv"

	"github.com/gin-gonic/gin"

	"orchidward/internal/api/jsondoc"
	"orchidward/internal/api/runnerapi"
	"orchidward/internal/clock"
	"orchidward/internal/runner"
	"orchidward/internal/transport/httpserver"
)

// Paths of the stand-in runner's control API.
const (
	controlPath = "/v1/stand-in"
	eventsPath  = "/v1/stand-in/events"
)

const (
	maxControlBytes = 4096
	jsonContentType = "application/json"
	codeBadRequest  = "bad-request"
)

// addControls adds the routes by which an operator or a drill sets the behaviour of the
// stand-in runner and reads its event log.
func (d *daemon) addControls() {
	d.http.Gin.POST(controlPath, d.serveControl)
	d.http.Gin.GET(eventsPath, d.serveEvents)
}

// behaviour is the requested mode of the stand-in runner and the faults that it simulates.
type behaviour struct {
	mode            string
	departsIn       clock.Millis
	slowdownPercent int64
	defectPercent   int64
	isolatedFor     clock.Millis
}

func readBehaviour(text []byte, faults *jsondoc.FieldErrors) behaviour {
	o := jsondoc.Parse(text, faults)
	if o == nil {
		return behaviour{}
	}
	defer o.Done()
	return behaviour{
		mode:            o.OneOf("mode", runnerapi.ModeActive, runnerapi.ModeActive, runnerapi.ModeDraining),
		departsIn:       clock.Millis(o.Int("departsMs", 0, 0, 1<<40)),
		slowdownPercent: o.Int("slow", 0, 0, 100000),
		defectPercent:   o.Int("faulty", 0, 0, 100),
		isolatedFor:     clock.Millis(o.Int("cutMs", 0, 0, 600000)),
	}
}

// controlResponse is the response to a change of behaviour.
type controlResponse struct {
	Mode string `json:"mode"`
}

func (d *daemon) serveControl(c *gin.Context) {
	text, err := io.ReadAll(io.LimitReader(c.Request.Body, maxControlBytes))
	if err != nil {
		httpserver.WriteError(c, http.StatusBadRequest, codeBadRequest, "the body could not be read")
		return
	}
	var faults jsondoc.FieldErrors
	wanted := readBehaviour(text, &faults)
	if faults.Any() {
		c.Data(faults.Status(), jsonContentType, faults.ErrorBody())
		return
	}
	d.loop.Post(func(r *runner.Runner) {
		r.SetFaults(wanted.slowdownPercent, wanted.defectPercent)
		r.Isolate(wanted.isolatedFor)
		r.SetMode(wanted.mode, wanted.departsIn, d.clock.Now())
	})
	c.JSON(http.StatusOK, controlResponse{wanted.mode})
}

func (d *daemon) serveEvents(c *gin.Context) {
	seq, err := strconv.ParseUint(c.DefaultQuery("after", "0"), 10, 64)
	if err != nil {
		httpserver.WriteError(c, http.StatusBadRequest, codeBadRequest, "after wants a number")
		return
	}
	c.JSON(http.StatusOK, d.events.after(seq, d.clock.Now()))
}
