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

// gateway returns a random gateway that reports ready, as a load balancer would, or any if
// none does.
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

// followReadiness polls the readiness of a gateway and keeps d.ready up to date.
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

// request sends one request on a connection of its own, without retries. The drill's
// goroutine calls done with the outcome.
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

// countBroken counts responses that broke off, unless the drill kills processes: a killed
// process may break off its responses, a running one may not.
func (d *drill) countBroken(count int) {
	if !d.flags.kills() {
		d.responses.broken += count
	}
}

// succeeded reports whether a request got a successful response.
func succeeded(response httpclient.Response, err error) bool { return err == nil && response.OK() }
