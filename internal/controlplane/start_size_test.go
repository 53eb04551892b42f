package controlplane_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"orchidward/internal/transport/wire"
)

// TestStartsFitFrame checks that starts with large payloads reach an agent in several
// responses, none of which comes near the size of a frame.
func TestStartsFitFrame(t *testing.T) {
	const (
		tasks       = 120
		payload     = 15_000
		maxResponse = 1_200_000
	)
	cluster := newTestCluster(t, 1, 1)
	body := fmt.Sprintf(`{"queue":"r","text":%q,"steps":[{"name":"s0","tasks":%d,"milliCores":10,"memMb":1,"spanMs":300}]}`,
		strings.Repeat("p", payload), tasks)
	cluster.sendToServer(wire.Request{Method: http.MethodPut, Path: jobPath(numberedJob(1)), Body: []byte(body), Budget: requestTimeout})
	largest := 0
	for range 3000 {
		cluster.run(1)
		for _, m := range cluster.inFlight {
			if m.message.Response != nil {
				largest = max(largest, len(m.message.Response.Body))
			}
		}
	}
	if got := cluster.jobState(numberedJob(1)); !jobSucceeded(got) {
		t.Errorf("the job is %s", got)
	}
	if largest > maxResponse {
		t.Errorf("a response of %d bytes, want at most %d", largest, maxResponse)
	}
}
