package cmds

import (
	"cmp"
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

// Settings of the dev command's fleet.
const (
	devKey     = "dev-key"
	devModel   = ident.ModelName("stand-in")
	devService = ident.ServiceName("registration")
	devEngines = 3

	devReadyTimeout = 10 * time.Second
	devPollInterval = 5 * time.Millisecond
	devStepTime     = 5 * time.Millisecond
)

// DevCommand runs a small fleet in one process.
type DevCommand struct {
	Callers flags.Address `help:"Address for callers." default:"127.0.0.1:8080"`
	Admin   flags.Address `help:"Address for operators." default:"127.0.0.1:8081"`
	Data    string        `help:"Data folder; a temporary one that is removed at the end if empty."`
}

// Run executes the command.
func (c *DevCommand) Run(env *commandEnv) error {
	logger, err := newLogger(env, "dev", "dev")
	if err != nil {
		return err
	}
	tracer, err := env.tracer("dev", "dev")
	if err != nil {
		return err
	}
	defer closeTracer(tracer)
	callerListener, err := listen("callers", string(c.Callers))
	if err != nil {
		return err
	}
	adminListener, err := listen("admin", string(c.Admin))
	if err != nil {
		return err
	}
	dataDir, err := c.dataDir()
	if err != nil {
		return err
	}
	if c.Data == "" {
		defer func() { _ = os.RemoveAll(dataDir) }()
	}
	ctx, cancel := context.WithCancel(env.ctx)
	defer cancel()
	f := &devFleet{ctx: ctx, cancel: cancel, logger: logger, tracer: tracer, results: make(chan error, maxDevTasks)}
	if err := f.start(dataDir, callerListener, adminListener); err != nil {
		// A failed task is the cause, and its error says more.
		return cmp.Or(f.receiveResult(), err)
	}
	c.printUsage(env, callerListener, adminListener)
	return f.wait()
}

// dataDir returns the data directory, a new temporary one if none is set.
func (c *DevCommand) dataDir() (string, error) {
	if c.Data != "" {
		return c.Data, nil
	}
	dataDir, err := os.MkdirTemp("", "cactusline-dev-")
	if err != nil {
		return "", fmt.Errorf("create temporary data directory: %w", err)
	}
	return dataDir, nil
}

// printUsage prints the addresses and example requests.
func (c *DevCommand) printUsage(env *commandEnv, callerListener, adminListener net.Listener) {
	_, _ = fmt.Fprintf(env.stdout, "cactusline dev is ready: callers %s, administration %s\n", callerListener.Addr(), adminListener.Addr())
	_, _ = fmt.Fprintf(env.stdout, "curl -sN http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' -d '{\"model\":\"%s\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"Is my bib confirmed?\"}]}'\n",
		callerListener.Addr(), devKey, devModel)
	_, _ = fmt.Fprintf(env.stdout, "curl -s http://%s/services/%s/bibs -H 'Authorization: Bearer %s' -H 'Idempotency-Key: runner-1' -H 'Content-Type: application/json' -d '{\"Runner\":\"Aino\"}'\n",
		callerListener.Addr(), devService, devKey)
}

// maxDevTasks is the capacity for the results of tasks, so that no task blocks when
// it ends.
const maxDevTasks = 16

// devFleet runs the processes of the dev command's fleet as tasks.
type devFleet struct {
	ctx     context.Context
	cancel  context.CancelFunc
	logger  log.Logger
	tracer  *trace.Tracer
	tasks   int
	results chan error
}

// run starts a task in the background. If it fails, all tasks are canceled.
func (f *devFleet) run(name string, task func() error) {
	f.tasks++
	go func() {
		err := task()
		if err == nil {
			f.results <- nil
			return
		}
		// Run must find this result before any error that follows from the cancellation.
		f.results <- fmt.Errorf("%s: %w", name, err)
		f.cancel()
	}()
}

// wait waits for all tasks to end and returns their errors. The first failure cancels
// the other tasks.
func (f *devFleet) wait() error {
	var errs error
	for range f.tasks {
		if err := <-f.results; err != nil {
			errs = errors.Join(errs, err)
			f.cancel()
		}
	}
	return errs
}

// start starts control, the targets with their sidecars and the router, and waits
// until the router is ready.
func (f *devFleet) start(dataDir string, callerListener, adminListener net.Listener) error {
	controlListener, err := listen("listen", loopback)
	if err != nil {
		return err
	}
	controlAddress := controlListener.Addr().String()
	f.run("control", func() error {
		command := &ControlCommand{VM: "dev", Data: dataDir}
		return command.serve(f.ctx, log.With(f.logger, "part", "control"), f.tracer, linkTLS{}, controlListener, adminListener)
	})
	targets, err := f.startTargets(controlAddress)
	if err != nil {
		return err
	}
	links, client := newLinks("dev", []string{controlAddress}, linkTLS{})
	defer func() { _ = links.Close() }()
	if err := f.submitRecords(client, targets); err != nil {
		return err
	}
	f.run("router", func() error {
		command := &RouterCommand{Name: "dev", Domain: "dev", Control: []flags.Address{flags.Address(controlAddress)}}
		return command.serve(f.ctx, log.With(f.logger, "part", "router"), f.tracer, linkTLS{}, callerListener)
	})
	return f.awaitReady(callerListener.Addr().String())
}

const loopback = "127.0.0.1:0"

// startTargets starts the stand-in targets and their sidecars.
func (f *devFleet) startTargets(controlAddress string) ([]record.Target, error) {
	var targets []record.Target
	for i := range devEngines {
		name := ident.TargetName(fmt.Sprintf("engine-%d", i+1))
		target := record.Target{Name: name, Models: []record.TargetModel{{Name: devModel}}}
		serve := func(listener net.Listener) error {
			return serveEngine(f.ctx, listener, engine.Config{StepTime: devStepTime})
		}
		if err := f.startTarget(&target, controlAddress, serve); err != nil {
			return nil, err
		}
		targets = append(targets, target)
	}
	target := record.Target{Name: "registration-1", Service: devService}
	serve := func(listener net.Listener) error {
		return serveHTTP(f.ctx, listener, plain.New(plain.Config{Kind: devService}))
	}
	if err := f.startTarget(&target, controlAddress, serve); err != nil {
		return nil, err
	}
	return append(targets, target), nil
}

// startTarget starts one stand-in target with its sidecar and completes its record.
func (f *devFleet) startTarget(target *record.Target, controlAddress string, serve func(net.Listener) error) error {
	targetListener, err := listen("listen", loopback)
	if err != nil {
		return err
	}
	sidecarListener, err := listen("listen", loopback)
	if err != nil {
		return err
	}
	target.VM = ident.VMName("vm-" + string(target.Name))
	target.Domain = "dev"
	target.Region = "dev"
	target.Address = sidecarListener.Addr().String()
	name := target.Name
	f.run(string(name), func() error { return serve(targetListener) })
	f.run("sidecar "+string(name), func() error {
		command := &SidecarCommand{
			Name:    name,
			Target:  &url.URL{Scheme: "http", Host: targetListener.Addr().String()},
			Control: []flags.Address{flags.Address(controlAddress)},
		}
		return command.serve(f.ctx, log.With(f.logger, "part", "sidecar "+string(name)), f.tracer, linkTLS{}, func() (net.Listener, error) { return sidecarListener, nil })
	})
	return nil
}

// submitRecords creates the fleet's records, or updates the targets' addresses in a
// data directory that was used before.
func (f *devFleet) submitRecords(client *remote.Client, targets []record.Target) error {
	ctx, cancel := context.WithTimeout(f.ctx, devReadyTimeout)
	defer cancel()
	records, err := devRecords(targets)
	if err != nil {
		return err
	}
	return applyRecords(ctx, client, records)
}
