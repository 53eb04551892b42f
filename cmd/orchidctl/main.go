// Command orchidctl is the command line of clients and operators. It exits 0 when done,
// 1 when the fleet refused, 2 on bad usage, 3 when no gate could be reached,
// 4 when a change may have been made and its answer is not known.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kong"
	"github.com/go-faster/errors"

	"orchidward/internal/daemon/settings"
	"orchidward/internal/transport/httpclient"
)

type flags struct {
	Boot   string   `help:"Settings file, JSON, keys as the flags." placeholder:"FILE"`
	Gates  []string `help:"IP:PORT of gates, tried in turn." default:"127.0.0.1:7200" env:"ORCHIDWARD_GATES"`
	Output string   `help:"How to print: text or json." default:"text" enum:"text,json"`
	WaitMs int64    `help:"How long to wait for one answer." default:"6000"`

	Job     jobCmd      `cmd:"" help:"Submit, read, list and cancel jobs."`
	Table   tableCmd    `cmd:"" help:"Read and change the table of weights and limits."`
	Drain   closeCmd    `cmd:"" aliases:"close" help:"Drain a zone."`
	Reopen  reopenCmd   `cmd:"" help:"Put a drained zone back into use, by the drain's id or its zone."`
	Drains  closingsCmd `cmd:"" aliases:"closings" help:"Show drains, or one."`
	Runners runnersCmd  `cmd:"" help:"Show runners."`
	Servers keepersCmd  `cmd:"" aliases:"keepers" help:"Show the control-plane servers."`
	Members membersCmd  `cmd:"" help:"Show what one gateway knows of the cluster."`
}

// desk is what every command works with.
type desk struct {
	call *httpclient.Client
	json bool
}

// refused is an answer of the fleet that is not a success.
type refused struct{ got httpclient.Response }

func (r refused) Error() string { return r.got.Message() }

// ask sends a request and hands back the document of a success.
func (d *desk) ask(verb, path string, body []byte) ([]byte, error) {
	got, err := d.call.Do(context.Background(), verb, path, body)
	if err != nil {
		return nil, err
	}
	if !got.OK() {
		if d.json {
			fmt.Println(string(got.Body))
		}
		return nil, refused{got}
	}
	return got.Body, nil
}

// show prints a document: as it came, or by the given printer.
func (d *desk) show(text []byte, printer func(doc map[string]any)) error {
	if d.json {
		fmt.Println(string(text))
		return nil
	}
	doc := map[string]any{}
	if err := json.Unmarshal(text, &doc); err != nil {
		return errors.Wrap(err, "answer does not parse")
	}
	printer(doc)
	return nil
}

func main() {
	f := &flags{}
	ctx := settings.Parse(f, "orchidctl", "Command line for callers and operators of orchidward.", func(c *settings.Validator) {
		c.Addrs("gates", f.Gates, 1)
		c.Range("wait-ms", f.WaitMs, 100, 60000)
	})
	d := &desk{call: httpclient.New(f.Gates, time.Duration(f.WaitMs)*time.Millisecond), json: f.Output == "json"}
	os.Exit(code(ctx, d))
}

func code(ctx *kong.Context, d *desk) int {
	err := ctx.Run(d)
	if err == nil {
		return 0
	}
	fmt.Fprintf(os.Stderr, "orchidctl: %v\n", err)
	var no refused
	var use usage
	switch {
	case errors.Is(err, httpclient.ErrUnreachable):
		return 3
	case errors.Is(err, httpclient.ErrOutcomeUnknown), errors.As(err, &no) && no.got.Status == http.StatusGatewayTimeout:
		return 4
	case errors.As(err, &no):
		return 1
	case errors.As(err, &use):
		return 2
	}
	return 1
}

// usage is a fault in what was asked of orchidctl itself.
type usage struct{ why string }

func (u usage) Error() string { return u.why }
