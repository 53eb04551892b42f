package httpclient

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"
)

// Pauses before the next attempt.
const (
	unansweredPause = 200 * time.Millisecond
	defaultPause    = 500 * time.Millisecond
	maxPause        = 3 * time.Second
)

// maxResponseBytes bounds the body of a response.
const maxResponseBytes = 64 << 20

// attempt is the outcome of sending a request once.
type attempt struct {
	Response
	// pause is how long to wait before the next attempt.
	pause time.Duration
	// sent is set once a connection was obtained, from which point the gateway may have
	// received the request.
	sent bool
	err  error
}

// final reports whether the response settles the request, so that it is not retried.
func (a attempt) final() bool {
	if a.err != nil {
		return false
	}
	switch a.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return false
	}
	return true
}

// outcomeUnknown reports whether the request may or may not have been applied, provided that
// it was sent.
func (a attempt) outcomeUnknown() bool {
	return a.err != nil || a.Status == http.StatusGatewayTimeout
}

// message describes the outcome of the attempt for an error text.
func (a attempt) message() string {
	if a.err != nil {
		return a.err.Error()
	}
	return a.Message()
}

// send sends a request once to one gateway.
func (c *Client) send(ctx context.Context, gateway, method, path string, body []byte) attempt {
	a := attempt{pause: unansweredPause}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { a.sent = true }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, "http://"+gateway+path, bytes.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	if len(body) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	if c.APIKey != "" {
		request.Header.Set("Authorization", "Bearer "+string(c.APIKey))
	}
	response, err := c.http.Do(request)
	if err != nil {
		c.countIfBroken(err)
		a.err = err
		return a
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		c.countIfBroken(err)
		a.err = err
		return a
	}
	a.Response = Response{Status: response.StatusCode, Body: text, Gateway: gateway}
	a.pause = defaultPause
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil && seconds > 0 {
		a.pause = time.Duration(seconds) * time.Second
	}
	return a
}

func (c *Client) countIfBroken(err error) {
	if IsBrokenResponse(err) {
		c.BrokenResponses++
	}
}

// IsBrokenResponse reports whether err means that the connection failed before the response
// was complete, as opposed to a failed dial or a timeout.
func IsBrokenResponse(err error) bool {
	var connecting *net.OpError
	if errors.As(err, &connecting) && connecting.Op == "dial" {
		return false
	}
	var timeout net.Error
	return !errors.As(err, &timeout) || !timeout.Timeout()
}
