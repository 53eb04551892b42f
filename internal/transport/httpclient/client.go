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

// ErrUnreachable says that no gateway answered; a change was then sent to none.
var ErrUnreachable = errors.New("no gateway answered")

// ErrOutcomeUnknown says that a gateway may have taken the request, and that its response is
// not known.
var ErrOutcomeUnknown = errors.New("the outcome is not known")

// defaultAttempts is how often a request is tried for each gateway.
const defaultAttempts = 4

// Client sends requests to a list of gateways. It is not safe for concurrent use.
type Client struct {
	Gateways []string
	// Attempts is how often a request is tried for each gateway in the list.
	Attempts int
	// APIKey is the tenant's key that goes with each request, empty for none.
	APIKey catalog.APIKey
	// BrokenResponses counts responses that broke off: the gateway was reached, and then
	// the connection failed before the response was complete.
	BrokenResponses int

	http *http.Client
	// next counts the gateways that were turned away from.
	next int
}

// New makes a client that waits so long for each response. Each request has a connection
// of its own, so that nothing else that comes on it is taken for the response, and goes to
// the gateway that was asked and no further.
func New(gateways []string, timeout time.Duration) *Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.DisableKeepAlives = true
	return newClient(gateways, timeout, transport)
}

// NewKeepAlive makes a client whose requests share connections with those of all other such
// clients, to see whether gateways close them in order.
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

// dontFollow has a redirection handed back as the response that it is.
func dontFollow(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Do sends a request until a gateway gives a final response. Refusals that ask to come back
// are waited out, a few times. A request that may have been carried out is sent again only
// if it is idempotent; from then on no refusal tells what became of it, so that the error
// is ErrOutcomeUnknown. It is ErrUnreachable when no gateway answered, and the context's
// when that ended between two attempts.
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

// finalError is the error of a request whose last attempt had no final response. A response
// that says that the outcome is unknown needs no error, nor a refusal of a request that
// nobody can have taken.
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

// sleep waits, or ends early with the context's error.
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
