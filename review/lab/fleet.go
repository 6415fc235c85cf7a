// Package lab starts the programs of this repository as separate processes on loopback
// addresses, with stand-ins of the platform, of replicas and of the operator.
package lab

import (
	"encoding/json"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitCannot = 2
)

const (
	// binary is the program that the build line of the deploy file makes.
	binary       = "target/cactusline"
	linkPorts    = 16
	dirMode      = fs.FileMode(0o700)
	fileMode     = fs.FileMode(0o600)
	restartDelay = 500 * time.Millisecond
)

// Machine is a machine of the fleet.
type Machine struct {
	// Name and Zone are those of the platform; IP is a loopback address.
	Name string
	Zone string
	IP   string
	// Disk is set if the machine has a disk.
	Disk bool
}

// Fleet is a set of machines, each of which runs some of the roles.
type Fleet struct {
	Cloud  *Cloud
	Record *Record

	dir      string
	seeds    []string
	ports    ports
	subnet   int
	machines []*Machine

	mu        sync.Mutex
	processes map[string]*Process
	replicas  int
}

// ports are the ports that are the same on all machines.
type ports struct {
	front, ready, control, link int
}

// NewFleet returns a fleet without machines. Its files are in a temporary folder, and its
// record in the folder of the case.
func NewFleet(caseDir string) (*Fleet, error) {
	if _, err := os.Stat(binary); err != nil {
		return nil, fmt.Errorf("program is not built: %w", err)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, fmt.Errorf("make folder: %w", err)
	}
	record, err := NewRecord(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	cloud, err := NewCloud()
	if err != nil {
		return nil, err
	}
	base, err := freePorts()
	if err != nil {
		return nil, err
	}
	return &Fleet{
		Cloud: cloud, Record: record, dir: dir, subnet: 1 + rand.IntN(250), processes: make(map[string]*Process),
		ports: ports{front: base, ready: base + 1, control: base + 2, link: base + 3},
	}, nil
}

// freePorts returns the first of some ports that are free.
func freePorts() (int, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, fmt.Errorf("find free port: %w", err)
	}
	defer func() { _ = listener.Close() }()
	port := listener.Addr().(*net.TCPAddr).Port
	return min(port, 65000-linkPorts), nil
}

// AddMachine adds a machine at the next address.
func (f *Fleet) AddMachine(name, zone string, disk bool) *Machine {
	m := &Machine{Name: name, Zone: zone, Disk: disk, IP: fmt.Sprintf("127.%d.%d.1", f.subnet, 1+len(f.machines))}
	f.machines = append(f.machines, m)
	return m
}

// SetSeeds sets the machines whose control addresses the settings name.
func (f *Fleet) SetSeeds(machines ...*Machine) {
	f.seeds = nil
	for _, m := range machines {
		f.seeds = append(f.seeds, f.Control(m))
	}
}

// Front returns the address for consumers of a machine.
func (f *Fleet) Front(m *Machine) string { return join(m.IP, f.ports.front) }

// Ready returns the address for readiness checks of a machine.
func (f *Fleet) Ready(m *Machine) string { return join(m.IP, f.ports.ready) }

// Control returns the address for operators of a machine.
func (f *Fleet) Control(m *Machine) string { return join(m.IP, f.ports.control) }

func join(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// settings returns the settings of a role on a machine, as DEPLOY.md shows them.
func (f *Fleet) settings(m *Machine, role string, bootstrap bool) map[string]any {
	serves := map[string]string{"gate": "edge", "core": "ctrl"}[role]
	out := map[string]any{
		"node": m.Name, "role": role, "class": "edge", "serves": []string{serves}, "ip": m.IP,
		"zone": m.Zone, "region": "r", "lossCounts": m.Disk,
		"listen":    map[string]string{"front": f.Front(m), "ready": f.Ready(m), "control": f.Control(m)},
		"portRange": []int{f.ports.link, f.ports.link + linkPorts - 1}, "seeds": f.seeds, "bootstrap": bootstrap,
		"limits":    map[string]any{"cpuShare": 0.72, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 64},
		"discovery": "cloud", "entry": "vip", "heartbeatMs": 1200,
		"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants"},
		"tolerate":  map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 3000, "graceS": 8,
			"lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000, "strictRevoke": false,
			"revokeMs": 5000, "retryRatio": 0.2, "retryWindowS": 10, "retrySlack": 60, "recoverS": 12, "eventLagMs": 120,
			"reuseWindowS": 10, "capFactor": 2,
		},
		"configMode": "highest",
		"cloud":      map[string]any{"addr": f.Cloud.Address, "ratePerS": 42.0, "duties": []string{}, "lagMs": 800},
	}
	if m.Disk && role == "core" {
		out["dataDir"] = f.DataDir(m)
	}
	return out
}

// DataDir returns the folder that is the disk of a machine.
func (f *Fleet) DataDir(m *Machine) string { return filepath.Join(f.dir, m.Name+"-data") }

// Process is a role that runs on a machine.
type Process struct {
	Machine *Machine
	Role    string

	fleet *Fleet
	mu    sync.Mutex
	cmd   *exec.Cmd
	// ended is closed once the process has ended.
	ended chan struct{}
}

// Start starts a role on a machine. Bootstrap is true only when the whole system starts
// for the first time.
func (f *Fleet) Start(m *Machine, role string, bootstrap bool) (*Process, error) {
	f.mu.Lock()
	p := f.processes[m.Name+"/"+role]
	if p == nil {
		p = &Process{Machine: m, Role: role, fleet: f}
		f.processes[m.Name+"/"+role] = p
	}
	f.mu.Unlock()
	return p, p.Start(bootstrap)
}

// Start starts the process with the settings that are in effect now.
func (p *Process) Start(bootstrap bool) error {
	f := p.fleet
	path := filepath.Join(f.dir, p.Machine.Name+"-"+p.Role+".json")
	data, err := json.Marshal(f.settings(p.Machine, p.Role, bootstrap))
	if err != nil {
		return fmt.Errorf("encode settings: %w", err)
	}
	if err := os.WriteFile(path, data, fileMode); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	if p.Machine.Disk {
		if err := os.MkdirAll(f.DataDir(p.Machine), dirMode); err != nil {
			return fmt.Errorf("make disk: %w", err)
		}
	}
	log, err := os.OpenFile(filepath.Join(f.dir, p.Machine.Name+"-"+p.Role+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	cmd := exec.Command(binary, p.Role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, "LANG=C", "CACTUSLINE_BOOT=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	// The process ends with the case, also if that is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s on %s: %w", p.Role, p.Machine.Name, err)
	}
	ended := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.ended = cmd, ended
	p.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(ended)
	}()
	f.Record.Logf("%s on %s started, bootstrap %t", p.Role, p.Machine.Name, bootstrap)
	return nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fleet.Record.Logf("%s on %s gets signal %v", p.Role, p.Machine.Name, signal)
	_ = p.cmd.Process.Signal(signal)
}

// Await waits until the process has ended.
func (p *Process) Await() { <-p.ended }

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// PID returns the ID of the process.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Restart kills the process and starts it again after a short delay. The system does not
// start for the first time then, so that bootstrap is false.
func (p *Process) Restart() error {
	p.Signal(syscall.SIGKILL)
	<-p.ended
	time.Sleep(restartDelay)
	return p.Start(false)
}

// Close ends all processes and removes the folder.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.processes {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
	}
	for _, p := range f.processes {
		<-p.ended
	}
	f.Cloud.Close()
	f.Record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}

// Machines returns all machines.
func (f *Fleet) Machines() []*Machine { return f.machines }

// Process returns the process of a role on a machine.
func (f *Fleet) Process(m *Machine, role string) *Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.processes[m.Name+"/"+role]
}
