package main_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/cmds"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/record"
)

const (
	callerKey   = "test-key"
	modelName   = ident.ModelName("stand-in")
	serviceName = ident.ServiceName("registration")

	startTimeout = 20 * time.Second
	stopTimeout  = 20 * time.Second
	pollInterval = 10 * time.Millisecond
	maxPortTries = 100
)

// binary is the path of the program under test, which TestMain builds once.
var binary string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	folder, err := os.MkdirTemp("", "cactusline-test-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	binary = filepath.Join(folder, "cactusline")
	build := exec.Command("go", "build", "-o", binary, ".")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build:", err)
		return 1
	}
	return m.Run()
}

// process is one process of the fleet. It can be killed and started again with the
// same arguments.
type process struct {
	t      testing.TB
	name   string
	args   []string
	folder string
	// inProcess runs the role inside the test process until cancel is called.
	inProcess bool
	cancel    context.CancelFunc
	cmd       *exec.Cmd
	exited    chan struct{}
	exitErr   error
}

// start starts the process, which is killed when the test process ends.
func (p *process) start() {
	p.t.Helper()
	if p.inProcess {
		p.startInProcess()
		return
	}
	output, err := os.OpenFile(filepath.Join(p.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(p.t, err)
	p.cmd = exec.Command(binary, p.args...)
	// The log goes through a pipe, so that it is kept while the process can't write files.
	pipe := struct{ io.Writer }{output}
	p.cmd.Stdout, p.cmd.Stderr = pipe, pipe
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	assert.NilError(p.t, p.cmd.Start())
	exited := make(chan struct{})
	p.exited = exited
	go func() {
		p.exitErr = p.cmd.Wait()
		_ = output.Close()
		close(exited)
	}()
}

func (p *process) startInProcess() {
	ctx, cancel := context.WithCancel(context.Background())
	exited := make(chan struct{})
	p.cancel, p.exited = cancel, exited
	go func() {
		defer close(exited)
		if code := cmds.Main(ctx, p.args, io.Discard, io.Discard); code != cmds.ExitOK {
			p.exitErr = fmt.Errorf("exit code %d", code)
		}
	}()
}

// kill ends the process immediately, even if it is frozen.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// stop asks the process to shut down and checks that it exits without an error.
func (p *process) stop() {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
		assert.Check(p.t, p.exitErr, "%s exited with an error", p.name)
	case <-time.After(stopTimeout):
		p.kill()
		p.t.Errorf("%s did not stop within %v", p.name, stopTimeout)
	}
}

// freeze suspends the process until thaw is called.
func (p *process) freeze() { p.signal(syscall.SIGSTOP) }

// thaw resumes a frozen process.
func (p *process) thaw() { p.signal(syscall.SIGCONT) }

// signal sends a signal to the process. A role inside the test process can't be
// frozen: every signal ends it.
func (p *process) signal(signal syscall.Signal) {
	if p.inProcess {
		p.cancel()
		return
	}
	select {
	case <-p.exited:
	default:
		_ = p.cmd.Process.Signal(signal)
	}
}

// fleetConfig is the configuration of a test fleet.
type fleetConfig struct {
	controls int
	engines  int
	routers  int
	// engineArgs and serviceArgs are additional arguments of the engines and of the
	// service.
	engineArgs  []string
	serviceArgs []string
	// controlAddress maps the address of a control process to the one that the
	// named process connects to, such as that of a relay. If nil, processes
	// connect directly.
	controlAddress func(process, control string) string
	// peerAddress maps the address of a control process to the one that the other
	// control processes connect to, such as that of a relay. If nil, they connect
	// directly.
	peerAddress func(control string) string
	// inProcess runs all roles inside the test process, without traces.
	inProcess bool
	// secured makes all processes authenticate each other by certificates.
	secured bool
	// untraced disables trace files.
	untraced bool
}

// fleet is a complete fleet of processes that listen on loopback addresses.
type fleet struct {
	t              testing.TB
	cfg            fleetConfig
	folder         string
	controls       []*process
	sidecars       []*process
	engines        []*process
	routers        []*process
	serviceProcess *process

	controlAddresses []string
	adminAddresses   []string
	routerAddresses  []string
	engineAddresses  []string
	serviceAddress   string
	targets          []record.Target
}

// startFleet starts all processes, submits their records and waits until every
// router is ready.
func startFleet(t testing.TB, cfg fleetConfig) *fleet {
	t.Helper()
	f := &fleet{t: t, cfg: cfg, folder: t.TempDir()}
	t.Cleanup(f.close)
	f.startControls()
	for i := range cfg.engines {
		name := ident.TargetName(fmt.Sprintf("engine-%d", i+1))
		address := freeAddress(t)
		f.engineAddresses = append(f.engineAddresses, address)
		f.engines = append(f.engines, f.startProcess(string(name), append([]string{"engine", "--listen", address}, cfg.engineArgs...)...))
		f.startSidecar(record.Target{Name: name, Models: []record.TargetModel{{Name: modelName}}}, address)
	}
	f.serviceAddress = freeAddress(t)
	f.serviceProcess = f.startProcess("registration-1", append([]string{"service", "--listen", f.serviceAddress}, cfg.serviceArgs...)...)
	f.startSidecar(record.Target{Name: "registration-1", Service: serviceName}, f.serviceAddress)
	f.submit(f.records()...)
	for i := range cfg.routers {
		f.startRouter(fmt.Sprintf("router-%d", i+1))
	}
	for _, address := range f.routerAddresses {
		f.awaitReady(address)
	}
	return f
}

func (f *fleet) startControls() {
	peers := []string{}
	for i := range f.cfg.controls {
		address := freeAddress(f.t)
		f.controlAddresses = append(f.controlAddresses, address)
		f.adminAddresses = append(f.adminAddresses, freeAddress(f.t))
		if f.cfg.peerAddress != nil {
			address = f.cfg.peerAddress(address)
		}
		peers = append(peers, "--peer", fmt.Sprintf("control-%d=%s", i+1, address))
	}
	for i, address := range f.controlAddresses {
		name := fmt.Sprintf("control-%d", i+1)
		args := []string{
			"control", "--vm", name, "--listen", address, "--admin", f.adminAddresses[i],
			"--data", filepath.Join(f.folder, "data-"+name),
		}
		f.controls = append(f.controls, f.startProcess(name, append(args, peers...)...))
	}
}

// startSidecar starts the sidecar of a target, whose server listens on address, and
// adds the record of the target to f.targets.
func (f *fleet) startSidecar(target record.Target, address string) {
	listen := freeAddress(f.t)
	target.VM = ident.VMName("vm-" + string(target.Name))
	target.Domain = "domain-1"
	target.Region = "region-1"
	target.Address = listen
	f.targets = append(f.targets, target)
	name := "sidecar-" + string(target.Name)
	args := []string{"sidecar", "--name", string(target.Name), "--target", "http://" + address, "--listen", listen}
	f.sidecars = append(f.sidecars, f.startProcess(name, append(args, f.controlArgs(name)...)...))
}

func (f *fleet) startRouter(name string) {
	address := freeAddress(f.t)
	f.routerAddresses = append(f.routerAddresses, address)
	args := []string{"router", "--name", name, "--domain", "domain-1", "--listen", address}
	f.routers = append(f.routers, f.startProcess(name, append(args, f.controlArgs(name)...)...))
}

func (f *fleet) controlArgs(process string) []string {
	var args []string
	for _, address := range f.controlAddresses {
		if f.cfg.controlAddress != nil {
			address = f.cfg.controlAddress(process, address)
		}
		args = append(args, "--control", address)
	}
	return args
}

func (f *fleet) startProcess(name string, args ...string) *process {
	f.t.Helper()
	if !f.cfg.inProcess && !f.cfg.untraced {
		args = append(args, "--trace-file", f.traceFile(name))
	}
	if f.cfg.secured {
		args = append(args, f.linkKeyArgs(args[0], name)...)
	}
	p := &process{t: f.t, name: name, args: args, folder: f.folder, inProcess: f.cfg.inProcess}
	p.start()
	return p
}

func (f *fleet) traceFile(name string) string { return filepath.Join(f.folder, name+".trace") }

func (f *fleet) processes() []*process {
	all := append([]*process{f.serviceProcess}, f.routers...)
	all = append(all, f.sidecars...)
	all = append(all, f.engines...)
	return append(all, f.controls...)
}

// close kills every process. If the test failed, it keeps their logs and traces.
func (f *fleet) close() {
	for _, p := range f.processes() {
		if p != nil && p.exited != nil {
			p.kill()
		}
	}
	if !f.t.Failed() {
		return
	}
	kept, err := os.MkdirTemp("", "cactusline-failed-")
	if err == nil {
		err = os.CopyFS(kept, os.DirFS(f.folder))
	}
	f.t.Logf("logs and traces: %s (%v)", kept, err)
}

func (f *fleet) records() []any {
	values := []any{
		&record.Customer{Name: "customer-1", Keys: []record.KeyHash{record.HashKey(callerKey)}},
		&record.Model{Name: modelName, Versions: []record.ModelVersion{{Name: "1"}}},
		&record.Service{Name: serviceName, NotRepeatable: []string{"POST /bibs"}},
		&record.Route{Name: "chats", Model: modelName},
		&record.Route{Name: "registrations", Service: serviceName},
	}
	for i := range f.targets {
		values = append(values, &f.targets[i])
	}
	return values
}

// submit commits records through the first control process that accepts them.
func (f *fleet) submit(values ...any) { f.submitFrom(0, values...) }

// submitFrom is like submit but starts with the given control process.
func (f *fleet) submitFrom(first int, values ...any) {
	f.t.Helper()
	records := make([]*record.Record, 0, len(values))
	for _, value := range values {
		r, err := record.New(value)
		assert.NilError(f.t, err)
		records = append(records, r)
	}
	body, err := json.Marshal(records)
	assert.NilError(f.t, err)
	change := fmt.Sprintf("%s-%d", f.t.Name(), time.Now().UnixNano())
	deadline := time.Now().Add(startTimeout)
	for i := first; ; i++ {
		err := postRecords(f.adminAddresses[i%len(f.adminAddresses)], change, body)
		if err == nil {
			return
		}
		assert.Assert(f.t, time.Now().Before(deadline), "submit records: %v", err)
		time.Sleep(pollInterval)
	}
}

func postRecords(address, change string, body []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/records", bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Cactusline-Change", change)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	answer, _ := io.ReadAll(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", resp.Status, answer)
	}
	return nil
}

func (f *fleet) awaitReady(address string) {
	f.t.Helper()
	await(f.t, startTimeout, "router "+address+" is ready", func() bool { return ready(address) })
}

func ready(address string) bool {
	resp, err := http.Get("http://" + address + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// await polls until a condition holds and returns how long that took. It fails the
// test after limit.
func await(t testing.TB, limit time.Duration, what string, condition func() bool) time.Duration {
	t.Helper()
	start := time.Now()
	for !condition() {
		if time.Since(start) > limit {
			t.Fatalf("timed out after %v waiting until %s", limit, what)
		}
		time.Sleep(pollInterval)
	}
	return time.Since(start)
}
