package cmds

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/url"
	"os"
	"time"

	"github.com/go-kit/log"

	"cactusline.dev/cactusline/internal/conn/remote"
	"cactusline.dev/cactusline/internal/process/engine"
	"cactusline.dev/cactusline/internal/process/flags"
	"cactusline.dev/cactusline/internal/process/plain"
	"cactusline.dev/cactusline/internal/process/trace"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/record"
)

// The small fleet of the dev command.
const (
	devKey     = "dev-key"
	devModel   = ident.ModelName("stand-in")
	devService = ident.ServiceName("registration")
	devEngines = 3

	devReadyTimeout = 10 * time.Second
	devPollInterval = 5 * time.Millisecond
	devStepTime     = 5 * time.Millisecond
)

// DevCommand runs a whole small fleet in one process.
type DevCommand struct {
	Callers flags.Address `help:"Address for callers." default:"127.0.0.1:8080"`
	Admin   flags.Address `help:"Address for operators." default:"127.0.0.1:8081"`
	Data    string        `help:"Data folder; a temporary one that is removed at the end if empty."`
}

// Run implements the command.
func (c *DevCommand) Run(s *scope) error {
	logger, err := newLogger(s, "dev", "dev")
	if err != nil {
		return err
	}
	tracer, err := s.tracer("dev", "dev")
	if err != nil {
		return err
	}
	defer closeTracer(tracer)
	callers, err := listen("callers", string(c.Callers))
	if err != nil {
		return err
	}
	operators, err := listen("admin", string(c.Admin))
	if err != nil {
		return err
	}
	folder, err := c.folder()
	if err != nil {
		return err
	}
	if c.Data == "" {
		defer func() { _ = os.RemoveAll(folder) }()
	}
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	f := &devFleet{ctx: ctx, cancel: cancel, logger: logger, tracer: tracer, failed: make(chan error, devParts)}
	if err := f.start(folder, callers, operators); err != nil {
		return err
	}
	c.announce(s, callers, operators)
	return f.wait()
}

// folder returns the data folder.
func (c *DevCommand) folder() (string, error) {
	if c.Data != "" {
		return c.Data, nil
	}
	folder, err := os.MkdirTemp("", "cactusline-dev-")
	if err != nil {
		return "", fmt.Errorf("make a temporary data folder: %w", err)
	}
	return folder, nil
}

// announce prints how to use the fleet.
func (c *DevCommand) announce(s *scope, callers, operators net.Listener) {
	_, _ = fmt.Fprintf(s.stdout, "cactusline dev is ready: callers %s, administration %s\n", callers.Addr(), operators.Addr())
	_, _ = fmt.Fprintf(s.stdout, "curl -sN http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' -d '{\"model\":\"%s\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"Is my bib confirmed?\"}]}'\n",
		callers.Addr(), devKey, devModel)
	_, _ = fmt.Fprintf(s.stdout, "curl -s http://%s/services/%s/bibs -H 'Authorization: Bearer %s' -H 'Idempotency-Key: runner-1' -H 'Content-Type: application/json' -d '{\"Runner\":\"Aino\"}'\n",
		callers.Addr(), devService, devKey)
}

// devParts bounds the roles of the small fleet.
const devParts = 16

// devFleet is the roles of the small fleet under way.
type devFleet struct {
	ctx    context.Context
	cancel context.CancelFunc
	logger log.Logger
	tracer *trace.Tracer
	parts  int
	failed chan error
}

// run starts one part in the background.
func (f *devFleet) run(name string, part func() error) {
	f.parts++
	go func() {
		err := part()
		if err != nil {
			err = fmt.Errorf("%s: %w", name, err)
		}
		f.failed <- err
	}()
}

// wait returns once every part has ended. The first failure ends the others.
func (f *devFleet) wait() error {
	var first error
	for range f.parts {
		if err := <-f.failed; err != nil {
			first = errors.Join(first, err)
			f.cancel()
		}
	}
	return first
}

// start brings up control, the targets with their sidecars and the router,
// and returns when the router is ready.
func (f *devFleet) start(folder string, callers, operators net.Listener) error {
	internal, err := listen("listen", loopback)
	if err != nil {
		return err
	}
	control := internal.Addr().String()
	f.run("control", func() error {
		command := &ControlCommand{VM: "dev", Data: folder}
		return command.serve(f.ctx, log.With(f.logger, "part", "control"), f.tracer, internal, operators)
	})
	targets, err := f.startTargets(control)
	if err != nil {
		return err
	}
	links, client := newLinks("dev", []string{control})
	defer func() { _ = links.Close() }()
	if err := f.submit(client, targets); err != nil {
		return err
	}
	f.run("router", func() error {
		command := &RouterCommand{Name: "dev", Domain: "dev", Control: []flags.Address{flags.Address(control)}}
		return command.serve(f.ctx, log.With(f.logger, "part", "router"), f.tracer, callers)
	})
	return f.awaitReady(callers.Addr().String())
}

const loopback = "127.0.0.1:0"

// startTargets starts the stand-ins and their sidecars.
func (f *devFleet) startTargets(control string) ([]record.Target, error) {
	var targets []record.Target
	for i := range devEngines {
		name := ident.TargetName(fmt.Sprintf("engine-%d", i+1))
		target := record.Target{Name: name, Models: []record.TargetModel{{Name: devModel}}}
		serve := func(listener net.Listener) error {
			return serveEngine(f.ctx, listener, engine.Config{StepTime: devStepTime})
		}
		if err := f.startTarget(&target, control, serve); err != nil {
			return nil, err
		}
		targets = append(targets, target)
	}
	target := record.Target{Name: "registration-1", Service: devService}
	serve := func(listener net.Listener) error {
		return serveHTTP(f.ctx, listener, plain.New(plain.Config{Kind: devService}))
	}
	if err := f.startTarget(&target, control, serve); err != nil {
		return nil, err
	}
	return append(targets, target), nil
}

// startTarget starts one stand-in with its sidecar and completes its record.
func (f *devFleet) startTarget(target *record.Target, control string, serve func(net.Listener) error) error {
	back, err := listen("listen", loopback)
	if err != nil {
		return err
	}
	front, err := listen("listen", loopback)
	if err != nil {
		return err
	}
	target.VM = ident.VMName("vm-" + string(target.Name))
	target.Domain = "dev"
	target.Region = "dev"
	target.Address = front.Addr().String()
	name := target.Name
	f.run(string(name), func() error { return serve(back) })
	f.run("sidecar "+string(name), func() error {
		command := &SidecarCommand{
			Name:    name,
			Target:  &url.URL{Scheme: "http", Host: back.Addr().String()},
			Control: []flags.Address{flags.Address(control)},
		}
		return command.serve(f.ctx, log.With(f.logger, "part", "sidecar "+string(name)), f.tracer, front)
	})
	return nil
}

// submit creates the records of the small fleet, or brings the targets'
// addresses up to date in a data folder that was used before.
func (f *devFleet) submit(client *remote.Client, targets []record.Target) error {
	ctx, cancel := context.WithTimeout(f.ctx, devReadyTimeout)
	defer cancel()
	records, err := devRecords(targets)
	if err != nil {
		return err
	}
	return applyRecords(ctx, client, records)
}
