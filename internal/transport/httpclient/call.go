// Package httpclient is an HTTP caller of gates: it tries them in turn, waits as
// long as it is told to when the fleet is busy, and says which it tried. What
// may have been carried out is sent again only if a repeat is known for one.
package httpclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"orchidward/internal/gateway"
)

// Client sends requests to a list of gateways. It is not safe for concurrent
// use. Tries is how often a request is tried for each gateway in the list.
type Client struct {
	Gateways []string
	Attempts int
	// BrokenResponses counts answers that broke off: the gate was reached, and then the
	// connection failed before the answer was whole.
	BrokenResponses int
	web             *http.Client
	at              int
}

// New makes a caller that waits so long for each answer. Each request has a
// connection of its own, so that nothing else that comes on it is taken for the
// answer, and goes to the gate that was asked and no further.
func New(gates []string, wait time.Duration) *Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.DisableKeepAlives = true
	return newCaller(gates, wait, transport)
}

// NewKeepAlive makes a caller whose requests share connections with those of
// all other such callers, to see whether gates close them in an orderly way.
func NewKeepAlive(gates []string, wait time.Duration) *Client {
	return newCaller(gates, wait, http.DefaultTransport)
}

func newCaller(gates []string, wait time.Duration, transport http.RoundTripper) *Client {
	return &Client{Gateways: gates, Attempts: 4, web: &http.Client{Timeout: wait, Transport: transport, CheckRedirect: dontFollow}}
}

// dontFollow has a redirection handed back as the answer that it is.
func dontFollow(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Response is an answer. Gate says who gave it.
type Response struct {
	Status  int
	Body    []byte
	Gateway string
}

// OK tells whether the status is one of success (2xx).
func (g Response) OK() bool { return g.Status >= 200 && g.Status < 300 }

// Message is the error's own message, or the status.
func (g Response) Message() string {
	var e struct {
		Error struct {
			Code   string `json:"code"`
			Why    string `json:"message"`
			Faults any    `json:"faults"`
		} `json:"error"`
	}
	if json.Unmarshal(g.Body, &e) != nil || e.Error.Code == "" {
		return "status " + strconv.Itoa(g.Status)
	}
	text := strconv.Itoa(g.Status) + " " + e.Error.Code + ": " + e.Error.Why
	if e.Error.Faults != nil {
		list, err := json.Marshal(e.Error.Faults)
		if err == nil {
			text += " " + string(list)
		}
	}
	return text
}

// ErrUnreachable says that no gate answered; a change was then sent to none.
var ErrUnreachable = errors.New("no gate answered")

// ErrOutcomeUnknown says that a gate may have taken the request, and that its answer
// is not known.
var ErrOutcomeUnknown = errors.New("the outcome is not known")

const (
	unansweredPause = 200 * time.Millisecond
	usualPause      = 500 * time.Millisecond
	longestPause    = 3 * time.Second
	mostAnswer      = 64 << 20
)

// Do sends a request until a gate settles it. Refusals that ask to come back
// are waited out, a few times. A request that may have been carried out is sent
// again only if it may be repeated; from then on no refusal tells what became of
// it, so that the error is ErrOutcomeUnknown.
func (c *Client) Do(ctx context.Context, verb, path string, body []byte) (Response, error) {
	var got Response
	changes := verb != http.MethodGet
	repeatable := gateway.Request{Method: verb, Path: path}.Idempotent()
	silent, unknown, most := 0, false, c.Attempts*len(c.Gateways)
	for try := 1; ; try++ {
		one := c.once(ctx, c.Gateways[c.at%len(c.Gateways)], verb, path, body)
		got = one.Response
		if one.settles() {
			return got, nil
		}
		c.at++
		unknown = unknown || changes && one.sent && one.unknown()
		if one.err != nil {
			silent++
		}
		switch last := try >= most || silent >= 2*len(c.Gateways); {
		case !last && (!unknown || repeatable):
		case got.Status == http.StatusGatewayTimeout:
			return got, nil
		case unknown:
			return got, errors.Wrapf(ErrOutcomeUnknown, "tried %s (last: %s)", strings.Join(c.Gateways, ", "), one.last())
		case one.err != nil:
			return got, errors.Wrapf(ErrUnreachable, "tried %s (last: %s)", strings.Join(c.Gateways, ", "), one.last())
		default:
			return got, nil
		}
		if err := sleep(ctx, min(one.pause, longestPause)); err != nil {
			if unknown {
				err = errors.Wrap(ErrOutcomeUnknown, err.Error())
			}
			return got, err
		}
	}
}

// sleep waits, or ends early with the context's error.
func sleep(ctx context.Context, pause time.Duration) error {
	t := time.NewTimer(pause)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// BrokeOff tells an answer that broke off from a gate that isn't there or is
// silent.
func BrokeOff(err error) bool {
	var op *net.OpError
	var late net.Error
	return !(errors.As(err, &op) && op.Op == "dial" || errors.As(err, &late) && late.Timeout())
}

func (c *Client) note(err error) {
	if BrokeOff(err) {
		c.BrokenResponses++
	}
}

// attempt is what came of sending a request once. Sent says that a connection
// was had, so that the gate may have received it.
type attempt struct {
	Response
	pause time.Duration
	sent  bool
	err   error
}

// settles tells whether the answer is the last word on the request.
func (a attempt) settles() bool {
	if a.err != nil {
		return false
	}
	switch a.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return false
	}
	return true
}

// unknown tells whether it can't be said what became of the request if it was
// sent.
func (a attempt) unknown() bool {
	return a.err != nil || a.Status == http.StatusGatewayTimeout
}

// last says what became of the attempt.
func (a attempt) last() string {
	if a.err != nil {
		return a.err.Error()
	}
	return a.Message()
}

func (c *Client) once(ctx context.Context, addr, verb, path string, body []byte) attempt {
	var a attempt
	a.pause = unansweredPause
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { a.sent = true }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), verb, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	res, err := c.web.Do(req)
	if err != nil {
		c.note(err)
		a.err = err
		return a
	}
	defer res.Body.Close()
	text, err := io.ReadAll(io.LimitReader(res.Body, mostAnswer))
	if err != nil {
		c.note(err)
		a.err = err
		return a
	}
	a.Response, a.pause = Response{res.StatusCode, text, addr}, usualPause
	if n, err := strconv.Atoi(res.Header.Get("Retry-After")); err == nil && n > 0 {
		a.pause = time.Duration(n) * time.Second
	}
	return a
}
