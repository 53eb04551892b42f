package httpclient

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"orchidward/internal/api/catalog"
	"orchidward/internal/gateway"
)

// ErrUnreachable means that no gateway responded. If the request was a change, no gateway
// received it.
var ErrUnreachable = errors.New("no gateway answered")

// ErrOutcomeUnknown means that a gateway may have accepted the request, but that no
// conclusive response was received.
var ErrOutcomeUnknown = errors.New("the outcome is not known")

// defaultAttempts is the default number of attempts per gateway.
const defaultAttempts = 4

// Client sends requests to a list of gateways. It is not safe for concurrent use.
type Client struct {
	Gateways []string
	// Attempts is the maximum number of attempts per request, for each gateway in the list.
	Attempts int
	// APIKey is the tenant's key sent with each request; empty sends none.
	APIKey catalog.APIKey
	// BrokenResponses counts incomplete responses: the gateway was reached, and then the
	// connection failed before the response was complete.
	BrokenResponses int

	http *http.Client
	// next counts failovers; modulo the number of gateways it selects the next one to try.
	next int
}

// New returns a client that waits up to timeout for each response. Each request uses its own
// connection, so that no stray data on a shared one can be mistaken for its response.
// Redirects are not followed.
func New(gateways []string, timeout time.Duration) *Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.DisableKeepAlives = true
	return newClient(gateways, timeout, transport)
}

// NewKeepAlive returns a client whose requests share persistent connections with all other
// such clients. It serves to check that gateways close persistent connections gracefully.
func NewKeepAlive(gateways []string, timeout time.Duration) *Client {
	return newClient(gateways, timeout, http.DefaultTransport)
}

func newClient(gateways []string, timeout time.Duration, transport http.RoundTripper) *Client {
	return &Client{
		Gateways: gateways,
		Attempts: defaultAttempts,
		http:     &http.Client{Timeout: timeout, Transport: transport, CheckRedirect: dontFollow},
	}
}

// dontFollow makes the HTTP client return a redirect as the response.
func dontFollow(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Do sends a request until a gateway gives a final response. After a rejection that asks for
// a retry, it waits and tries the next gateway, up to a limited number of attempts. A request
// that may have been applied is sent again only if it is idempotent. From then on a rejection
// no longer shows that the request was not applied, so the error is ErrOutcomeUnknown. The
// error is ErrUnreachable when no gateway responded, and the context's error when the context
// ended between two attempts.
func (c *Client) Do(ctx context.Context, method, path string, body []byte) (Response, error) {
	isChange := method != http.MethodGet
	idempotent := gateway.Request{Method: method, Path: path}.Idempotent()
	outcomeUnknown := false
	unanswered := 0
	for count := 1; ; count++ {
		a := c.send(ctx, c.Gateways[c.next%len(c.Gateways)], method, path, body)
		if a.final() {
			return a.Response, nil
		}
		c.next++
		outcomeUnknown = outcomeUnknown || isChange && a.sent && a.outcomeUnknown()
		if a.err != nil {
			unanswered++
		}
		last := count >= c.Attempts*len(c.Gateways) || unanswered >= 2*len(c.Gateways)
		if last || outcomeUnknown && !idempotent {
			return a.Response, c.finalError(a, outcomeUnknown)
		}
		if err := sleep(ctx, min(a.pause, maxPause)); err != nil {
			if outcomeUnknown {
				err = errors.Wrap(ErrOutcomeUnknown, err.Error())
			}
			return a.Response, err
		}
	}
}

// finalError returns the error of a request whose last attempt had no final response. It is
// nil if the response itself says that the outcome is unknown, or rejects a request that no
// gateway can have accepted.
func (c *Client) finalError(last attempt, outcomeUnknown bool) error {
	var cause error
	switch {
	case last.Status == http.StatusGatewayTimeout:
		return nil
	case outcomeUnknown:
		cause = ErrOutcomeUnknown
	case last.err != nil:
		cause = ErrUnreachable
	default:
		return nil
	}
	return errors.Wrapf(cause, "tried %s (last: %s)", strings.Join(c.Gateways, ", "), last.message())
}

// sleep waits for pause, or returns the context's error if the context ends first.
func sleep(ctx context.Context, pause time.Duration) error {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
