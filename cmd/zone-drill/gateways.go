package main

import (
	"context"
	"net/http"
	"time"

	"orchidward/internal/daemon/lifecycle"
	"orchidward/internal/transport/httpclient"
)

const (
	readinessInterval = 100 * time.Millisecond
	requestTimeout    = 3 * time.Second
)

// gateway picks one that says it is ready, as a load balancer does.
func (d *drill) gateway() string {
	var candidates []string
	for _, gateway := range d.flags.Gates {
		if d.ready[gateway] {
			candidates = append(candidates, gateway)
		}
	}
	if len(candidates) == 0 {
		candidates = d.flags.Gates
	}
	return candidates[d.random.Intn(len(candidates))]
}

// followReadiness keeps whether a gateway says it is ready.
func (d *drill) followReadiness(gateway string, stop <-chan struct{}) {
	lifecycle.Every(readinessInterval, stop, func() {
		response, err := d.http.Get("http://" + gateway + "/ready")
		ready := false
		if err == nil {
			ready = response.StatusCode == http.StatusOK
			response.Body.Close()
		}
		d.results.Push(func() { d.ready[gateway] = ready }, stop)
	})
}

// request makes one request by a connection of its own, without retries; done is
// called by the drill's goroutine.
func (d *drill) request(method, path string, body []byte, done func(response httpclient.Response, err error)) {
	gateway := d.gateway()
	d.responses.sent++
	d.goroutines.Go(func(stop <-chan struct{}) {
		client := httpclient.NewKeepAlive([]string{gateway}, requestTimeout)
		client.Attempts = 1
		response, err := client.Do(context.Background(), method, path, body)
		broken := client.BrokenResponses
		d.results.Push(func() {
			d.countBroken(broken)
			done(response, err)
		}, stop)
	})
}

// countBroken counts responses that broke off: only a process that is killed may break
// one off.
func (d *drill) countBroken(count int) {
	if !d.flags.kills() {
		d.responses.broken += count
	}
}

// succeeded tells whether a request was answered with success.
func succeeded(response httpclient.Response, err error) bool { return err == nil && response.OK() }
