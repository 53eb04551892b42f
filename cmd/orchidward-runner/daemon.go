package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"io"
	"net/http"
	"sort"

	"go.uber.org/fx"

	"orchidward/internal/api/endpoint"
	"orchidward/internal/api/identifier"
	"orchidward/internal/api/job"
	"orchidward/internal/clock"
	"orchidward/internal/daemon/eventloop"
	"orchidward/internal/daemon/lifecycle"
	"orchidward/internal/daemon/logging"
	"orchidward/internal/runner"
	"orchidward/internal/transport/httpclient"
	"orchidward/internal/transport/httpserver"
	"orchidward/internal/transport/link"
	"orchidward/internal/transport/wire"
)

const (
	programName   = "runner"
	callQueueSize = 1024
	// maxResponseBytes bounds the response to a poll.
	maxResponseBytes = 8 << 20
	exitRetired      = 1
)

// daemon runs a runner.Runner. Each poll is sent by a goroutine of its own.
type daemon struct {
	log      *logging.Logger
	group    *lifecycle.Group
	clock    *clock.System
	link     *link.Link
	http     *httpserver.Server
	client   *http.Client
	shutdown fx.Shutdowner
	name     identifier.Runner
	runner   *runner.Runner
	loop     *eventloop.Loop[*runner.Runner]
	events   *eventLog
	// discovery finds gateways. Only the event loop accesses it.
	discovery discovery
	// retired is set when the process is about to exit because a newer process has its name.
	retired bool
}

func newDaemon(f *flags, group *lifecycle.Group, log *logging.Logger, hooks fx.Lifecycle, shutdown fx.Shutdowner) (*daemon, error) {
	config, err := newConfig(f)
	if err != nil {
		return nil, err
	}
	d := &daemon{
		log:      log,
		group:    group,
		clock:    clock.NewSystem(),
		client:   &http.Client{},
		shutdown: shutdown,
		name:     config.Name,
		events:   newEventLog(config),
	}
	d.discovery = newDiscovery(f.Seeds, wire.Announcement{Role: wire.RoleRunner, Addr: f.Addr, Domain: config.Domain})
	d.runner = runner.New(config, d.clock.Now())
	d.loop = eventloop.New(d.runner, callQueueSize)
	if d.link, err = link.Listen(f.Addr, group); err != nil {
		return nil, err
	}
	if d.http, err = httpserver.New(f.HTTP); err != nil {
		return nil, err
	}
	d.addControls()
	log.Event("start", "program", programName, "name", f.Name, "incarnation", config.Incarnation, "domain", f.Domain, "rack", f.Rack)
	d.http.Run(hooks, group, log, programName, func() {
		d.link.Serve(d.loop.Receive)
		group.Go(d.run)
	})
	return d, nil
}

// newConfig returns the configuration of the runner, with a random incarnation.
func newConfig(f *flags) (runner.Config, error) {
	var random [16]byte
	if _, err := rand.Read(random[:]); err != nil {
		return runner.Config{}, err
	}
	config := runner.Config{
		Name:            identifier.Runner(f.Name),
		Incarnation:     identifier.Incarnation(fmt.Sprintf("%x", random[:8])),
		Capacity:        job.Demand{Cores: f.Cores, Mem: f.MemMb},
		Domain:          identifier.Domain(f.Domain),
		Rack:            identifier.Rack(f.Rack),
		Seed:            int64(binary.LittleEndian.Uint64(random[8:]) >> 1),
		SlowdownPercent: f.Slow,
		DefectPercent:   f.Faulty,
	}
	sort.Strings(f.Labels)
	for _, label := range f.Labels {
		config.Labels = append(config.Labels, identifier.Label(label))
	}
	return config, nil
}

func (d *daemon) run(stop <-chan struct{}) {
	d.loop.Run(stop, eventloop.Handlers{
		TickInterval: runner.TickInterval.Duration(),
		Tick:         d.tick,
		Message:      d.handleMessage,
		AfterInput:   d.processOutput,
	})
}

func (d *daemon) tick() {
	d.runner.Tick(d.clock.Now())
	d.http.SetReady(d.runner.InContact())
	d.http.Gauge.Set("tasks", float64(d.runner.Running()))
	d.discover()
	if d.runner.Retired && !d.retired {
		d.retired = true
		d.log.Error("retired", "name", d.name, "why", "a newer process has this runner's name")
		_ = d.shutdown.Shutdown(fx.ExitCode(exitRetired))
	}
}

func (d *daemon) processOutput() {
	out := d.runner.TakeOutput()
	for _, event := range out.Events {
		d.log.Event(event.Kind, "lease", event.Lease, "task", event.Task)
		d.events.add(d.clock.Now(), event)
	}
	for _, poll := range out.Polls {
		d.group.Go(func(<-chan struct{}) { d.poll(poll) })
	}
}

// poll sends a poll and passes its outcome to the runner.
func (d *daemon) poll(p runner.Poll) {
	ctx, cancel := context.WithTimeout(context.Background(), p.Timeout.Duration())
	defer cancel()
	status, body, err := d.sendPoll(ctx, p)
	if err != nil && httpclient.IsBrokenResponse(err) {
		d.events.countBrokenResponse()
	}
	d.loop.Post(func(r *runner.Runner) { r.HandlePollResponse(p.Seq, status, body, d.clock.Now()) })
}

// sendPoll sends a poll; a status of 0 means that there was no response.
func (d *daemon) sendPoll(ctx context.Context, p runner.Poll) (status int, body []byte, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.Gateway+endpoint.PollPath(d.name), bytes.NewReader(p.Body))
	if err != nil {
		return 0, nil, nil
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := d.client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	if response.Close {
		d.loop.Post(func(r *runner.Runner) { r.SwitchGateway() })
	}
	if body, err = io.ReadAll(io.LimitReader(response.Body, maxResponseBytes)); err != nil {
		return 0, body, err
	}
	return response.StatusCode, body, nil
}
