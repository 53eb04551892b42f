// Command orchidctl is the command-line client for users and operators. It exits with 0 on
// success, 1 if the cluster refused the request, 2 on bad usage, 3 if no gateway could be
// reached, and 4 if a change may have been made but its outcome is unknown.
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

const programName = "orchidctl"

// Exit codes.
const (
	exitDone           = 0
	exitRefused        = 1
	exitUsage          = 2
	exitUnreachable    = 3
	exitOutcomeUnknown = 4
)

const outputJSON = "json"

type flags struct {
	Boot       string   `help:"Settings file, JSON, keys as the flags." placeholder:"FILE"`
	Gates      []string `help:"IP:PORT of gateways, tried in turn." default:"127.0.0.1:7200" env:"ORCHIDWARD_GATES"`
	Output     string   `help:"How to print: text or json." default:"text" enum:"text,json"`
	WaitMs     int64    `help:"How long to wait for one answer." default:"6000"`
	APIKeyFile string   `name:"api-key-file" help:"File with a tenant's API key, for jobs of queues that ask for one." env:"ORCHIDWARD_API_KEY_FILE"`

	Job     jobCommand     `cmd:"" help:"Submit, read, list and cancel jobs."`
	Table   limitsCommand  `cmd:"" help:"Read and change the table of weights and limits."`
	Tenant  tenantCommand  `cmd:"" help:"Read and change tenants and their API keys."`
	Drain   drainCommand   `cmd:"" aliases:"close" help:"Drain a zone."`
	Reopen  reopenCommand  `cmd:"" help:"Put a drained zone back into use, by the drain's id or its zone."`
	Drains  drainsCommand  `cmd:"" aliases:"closings" help:"Show drains, or one."`
	Runners runnersCommand `cmd:"" help:"Show runners."`
	Servers serversCommand `cmd:"" aliases:"keepers" help:"Show the control-plane servers."`
	Members membersCommand `cmd:"" help:"Show what one gateway knows of the cluster."`
}

// api is passed to every command. It holds the client of the cluster's API and the output
// format.
type api struct {
	client   *httpclient.Client
	printRaw bool
}

// refusedError is an error response of the cluster.
type refusedError struct{ response httpclient.Response }

func (e refusedError) Error() string { return e.response.Message() }

// usageError reports an invalid argument or input file.
type usageError struct{ message string }

func (e usageError) Error() string { return e.message }

// call sends a request and returns the body of a successful response.
func (a *api) call(method, path string, body []byte) ([]byte, error) {
	response, err := a.client.Do(context.Background(), method, path, body)
	if err != nil {
		return nil, err
	}
	if !response.OK() {
		if a.printRaw {
			fmt.Println(string(response.Body))
		}
		return nil, refusedError{response}
	}
	return response.Body, nil
}

// show prints a document: verbatim if raw output was requested, otherwise with printDoc.
func show[T any](a *api, text []byte, printDoc func(doc T)) error {
	if a.printRaw {
		fmt.Println(string(text))
		return nil
	}
	var doc T
	if err := json.Unmarshal(text, &doc); err != nil {
		return errors.Wrap(err, "answer does not parse")
	}
	printDoc(doc)
	return nil
}

// callAndShow sends a request and prints the body of a successful response.
func callAndShow[T any](a *api, method, path string, body []byte, printDoc func(doc T)) error {
	text, err := a.call(method, path, body)
	if err != nil {
		return err
	}
	return show(a, text, printDoc)
}

func main() {
	f := &flags{}
	ctx := settings.Parse(f, programName, "Command line for callers and operators of orchidward.", func(v *settings.Validator) {
		v.Addrs("gates", f.Gates, 1)
		v.Range("wait-ms", f.WaitMs, 100, 60000)
	})
	client := httpclient.New(f.Gates, time.Duration(f.WaitMs)*time.Millisecond)
	key, err := readAPIKey(f.APIKeyFile)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", programName, err)
		os.Exit(exitCode(err))
	}
	client.APIKey = key
	os.Exit(run(ctx, &api{client: client, printRaw: f.Output == outputJSON}))
}

// run runs the command and returns the exit code.
func run(ctx *kong.Context, a *api) int {
	err := ctx.Run(a)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", programName, err)
	}
	return exitCode(err)
}

func exitCode(err error) int {
	var refused refusedError
	var usage usageError
	switch {
	case err == nil:
		return exitDone
	case errors.Is(err, httpclient.ErrUnreachable):
		return exitUnreachable
	case errors.Is(err, httpclient.ErrOutcomeUnknown):
		return exitOutcomeUnknown
	case errors.As(err, &refused) && refused.response.Status == http.StatusGatewayTimeout:
		return exitOutcomeUnknown
	case errors.As(err, &usage):
		return exitUsage
	}
	return exitRefused
}
