package controlplane_test

import (
	"bytes"
	"fmt"
	"net/http"
	"testing"

	"orchidward/internal/transport/wire"
)

// TestUndecidedBytesBounded checks that while nothing can be committed, the bodies of
// pending requests stay below 8 MiB, for which the log on disk has space; further
// requests are refused.
func TestUndecidedBytesBounded(t *testing.T) {
	const (
		requests = 64
		limit    = 8 << 20
	)
	cluster := newTestCluster(t, 1, 0)
	cluster.server.TakeOutput()
	body := append([]byte(`{"pending":"default","steps":[{"name":"s"}]}`), bytes.Repeat([]byte(" "), 300<<10)...)
	refused := 0
	for id := uint64(1); id <= requests; id++ {
		request := &wire.Request{ID: id, Method: http.MethodPut, Path: fmt.Sprintf("/v1/jobs/a/j%d", id), Body: body, Budget: 900}
		cluster.server.HandleMessage(operatorAddr, wire.Message{Request: request}, cluster.now, 0)
		for _, envelope := range responses(cluster.server.TakeOutput()) {
			response := envelope.Message.Response
			if response.Status != http.StatusServiceUnavailable || response.RetryAfter == 0 {
				t.Errorf("request %d was answered before its entry was committed: %+v", id, response)
			}
			refused++
		}
	}
	accepted := requests - refused
	if size := accepted * len(body); size > limit || accepted < 20 {
		t.Errorf("%d requests of %d bytes each were accepted, %d refused", accepted, len(body), refused)
	}
}
