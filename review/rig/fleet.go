// Package rig starts the project's own programs as separate processes on loopback
// addresses, with stand-ins of the platform, the operator, the callers and the targets.
// The cases of the review share it.
package rig

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Ports of every machine, which has a loopback address of its own.
const (
	gatePort    = 18227
	readyPort   = 18220
	controlPort = 18229
	firstPort   = 17340
	lastPort    = 17355
)

// Bounds of the settings, as on the sheet of a small deployment.
const (
	// ContactTime is contactMs, AckTime is ackMs and ApplyTime is configApplyMs.
	ContactTime = 3 * time.Second
	AckTime     = 4 * time.Second
	ApplyTime   = 2 * time.Second
	// MaxStretch is maxStretchMs.
	MaxStretch = 5 * time.Second
)

// roles are those of the deploy file.
var roles = []string{"core", "gate"}

// Machine is a VM that runs a gate and a core.
type Machine struct {
	// Name and Zone are as in the settings.
	Name, Zone string
	// Disk is set for a machine with a disk, whose loss is counted.
	Disk bool

	number    int
	processes []*exec.Cmd
}

// Fleet is a set of machines.
type Fleet struct {
	// Machines are all machines in their order.
	Machines []*Machine
	// Seeds are the machines that the settings name, at the first start of all.
	Seeds []*Machine
	// Catalog is the address of the platform's list.
	Catalog string
	Record  *Record

	dir string
}

// Open creates the folder of a fleet and numbers its machines.
func (f *Fleet) Open() error {
	dir, err := os.MkdirTemp("", "cactusline-review")
	if err != nil {
		return fmt.Errorf("create folder of the fleet: %w", err)
	}
	f.dir = dir
	for i, m := range f.Machines {
		m.number = i + 1
	}
	return nil
}

// Close ends all processes and removes the folder.
func (f *Fleet) Close() {
	for _, m := range f.Machines {
		_ = m.signal(syscall.SIGCONT)
		f.Kill(m)
	}
	_ = os.RemoveAll(f.dir)
}

// ip returns the loopback address of a machine. It differs between runs, so that runs at
// the same time do not disturb each other.
func (m *Machine) ip() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>8%250, pid%256, 9+m.number)
}

func (m *Machine) address(port int) string { return fmt.Sprintf("%s:%d", m.ip(), port) }

// Gate is the address at which the machine serves callers.
func (m *Machine) Gate() string { return m.address(gatePort) }

// Control is the address at which the machine serves operators.
func (m *Machine) Control() string { return m.address(controlPort) }

// Start starts the processes of a machine with the commands of the deploy file.
func (f *Fleet) Start(m *Machine, bootstrap bool) error {
	for _, role := range roles {
		path, err := f.writeSettings(m, role, bootstrap)
		if err != nil {
			return err
		}
		log, err := os.OpenFile(filepath.Join(f.dir, m.Name+"-"+role+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return fmt.Errorf("open log: %w", err)
		}
		cmd := exec.Command("target/cactusline", role)
		cmd.Env = append(os.Environ(), "CACTUSLINE_BOOT="+path)
		cmd.Stdout, cmd.Stderr = log, log
		err = cmd.Start()
		if err = errors.Join(err, log.Close()); err != nil {
			return fmt.Errorf("start %s of %s: %w", role, m.Name, err)
		}
		m.processes = append(m.processes, cmd)
	}
	f.Record.Addf("%s starts, bootstrap %t", m.Name, bootstrap)
	return nil
}

// writeSettings writes the settings file of a process and returns its path.
func (f *Fleet) writeSettings(m *Machine, role string, bootstrap bool) (string, error) {
	zones, seeds := make(map[string]string), []string{}
	for _, other := range f.Machines {
		zones[other.Zone] = "fi-south"
	}
	for _, seed := range f.Seeds {
		seeds = append(seeds, seed.Control())
	}
	listen := map[string]string{"control": m.Control()}
	serves := []string{"ctrl"}
	if role == "gate" {
		listen = map[string]string{"front": m.Gate(), "ready": m.address(readyPort)}
		serves = []string{"edge"}
	}
	settings := map[string]any{
		"node": m.Name, "role": role, "class": "edge", "serves": serves, "ip": m.ip(), "zone": m.Zone, "region": "fi-south",
		"zones": zones, "listen": listen, "portRange": []int{firstPort, lastPort}, "seeds": seeds, "bootstrap": bootstrap,
		"lossCounts": m.Disk, "limits": map[string]any{"cpuShare": 0.72, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000, "diskMb": 64},
		"tolerate": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "contactMs": ContactTime.Milliseconds(), "ackMs": AckTime.Milliseconds(), "catchUpS": 4,
			"drainMs": 3000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": ApplyTime.Milliseconds(), "rollbackSlackMs": 250,
			"maxStretchMs": MaxStretch.Milliseconds(), "strictRevoke": false, "revokeMs": 5000, "retryRatio": 0.2, "retryWindowS": 10, "retrySlack": 60, "recoverS": 12,
		},
		"configMode": "highest", "cloud": map[string]any{"addr": f.Catalog, "ratePerS": 42.0, "duties": []string{}, "lagMs": 800},
	}
	if role == "core" && m.Disk {
		folder := filepath.Join(f.dir, m.Name)
		if err := os.MkdirAll(folder, 0o700); err != nil {
			return "", fmt.Errorf("create data folder: %w", err)
		}
		settings["dataDir"] = folder
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return "", fmt.Errorf("encode settings: %w", err)
	}
	path := filepath.Join(f.dir, m.Name+"-"+role+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return "", fmt.Errorf("write settings: %w", err)
	}
	return path, nil
}

func (m *Machine) signal(s syscall.Signal) error {
	var errs []error
	for _, p := range m.processes {
		errs = append(errs, p.Process.Signal(s))
	}
	return errors.Join(errs...)
}

// Freeze stops the processes of a machine.
func (f *Fleet) Freeze(m *Machine) error {
	f.Record.Addf("%s freezes", m.Name)
	return m.signal(syscall.SIGSTOP)
}

// Thaw lets the processes of a machine go on.
func (f *Fleet) Thaw(m *Machine) error {
	f.Record.Addf("%s wakes", m.Name)
	return m.signal(syscall.SIGCONT)
}

// Replace starts a machine with an empty disk, at another address and under another name, in
// the place of one that was removed.
func (f *Fleet) Replace(removed *Machine, name string) (*Machine, error) {
	added := &Machine{Name: name, Zone: removed.Zone, Disk: removed.Disk, number: len(f.Machines) + 1}
	for i, m := range f.Machines {
		if m == removed {
			f.Machines[i] = added
		}
	}
	return added, f.Start(added, false)
}

// Reseed writes the settings files of all machines that run anew, as after a change of the
// seeds, and signals it.
func (f *Fleet) Reseed(seeds []*Machine) error {
	f.Seeds = seeds
	f.Record.Addf("the settings name other seeds")
	for _, m := range f.Machines {
		if len(m.processes) == 0 {
			continue
		}
		for _, role := range roles {
			if _, err := f.writeSettings(m, role, false); err != nil {
				return err
			}
		}
		if err := m.signal(syscall.SIGHUP); err != nil {
			return err
		}
	}
	return nil
}

// Kill kills the processes of a machine. Its disk stays as it is.
func (f *Fleet) Kill(m *Machine) {
	for _, p := range m.processes {
		_ = p.Process.Kill()
		_ = p.Wait() // reports the kill
	}
	m.processes = nil
	f.Record.Addf("%s is killed", m.Name)
}

// Record is the record of a run: what was sent, answered and run. It is safe for
// concurrent use.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the record in a folder.
func NewRecord(folder string) (*Record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, fmt.Errorf("create record: %w", err)
	}
	return &Record{file: file, start: time.Now()}, nil
}

// Elapsed returns the time since the record began.
func (r *Record) Elapsed() time.Duration { return time.Since(r.start) }

// Addf adds a line with the time.
func (r *Record) Addf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// A line that cannot be written shows in the record itself.
	_, _ = fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Close closes the record.
func (r *Record) Close() error { return r.file.Close() }
