package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Ports of all machines, which differ in their addresses.
const (
	frontPort    = 18227
	readyPort    = 18220
	controlPort  = 18229
	firstPort    = 17340
	lastPort     = 17355
	zoneCount    = 3
	providerPort = 18223
)

// startTimeout bounds the start of the fleet, and stopTimeout that of its end.
const (
	startTimeout = 20 * time.Second
	stopTimeout  = 10 * time.Second
)

// rig is a small deployment and what is recorded of it.
type rig struct {
	trouble bool
	program string
	folder  string
	began   time.Time
	// subnet holds the first three bytes of all loopback addresses.
	subnet    string
	processes []*process
	machines  int

	mu     sync.Mutex
	record *os.File
}

// process is one process of the system.
type process struct {
	role, machine, settings string
	command                 *exec.Cmd
}

// newRig returns a rig without processes.
func newRig(program, recordPath string, trouble bool) (*rig, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, fmt.Errorf("create record: %w", err)
	}
	folder, err := os.MkdirTemp("", "rig-3-")
	if err != nil {
		return nil, fmt.Errorf("create folder: %w", err)
	}
	r := &rig{trouble: trouble, program: program, folder: folder, began: time.Now(), record: record}
	for range 50 {
		r.subnet = fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(256))
		if r.portsFree() {
			return r, nil
		}
	}
	return nil, errors.New("found no loopback addresses with free ports")
}

// portsFree reports whether the ports of the first machines and of the provider are free.
func (r *rig) portsFree() bool {
	for _, address := range []string{r.address(0, frontPort), r.address(0, controlPort), r.address(0, firstPort), r.providerAddress()} {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

func (r *rig) ip(machine int) string { return fmt.Sprintf("%s.%d", r.subnet, 10+machine) }

func (r *rig) address(machine, port int) string { return fmt.Sprintf("%s:%d", r.ip(machine), port) }

func (r *rig) replicaAddress(number int) string {
	return fmt.Sprintf("%s.%d:8363", r.subnet, 100+number)
}

func (r *rig) providerAddress() string { return fmt.Sprintf("%s.%d:%d", r.subnet, 250, providerPort) }

func zoneName(machine int) string { return fmt.Sprintf("z-%c", 'a'+machine%zoneCount) }

// notef writes a line to the record and to standard output.
func (r *rig) notef(format string, args ...any) {
	fmt.Printf(format+"\n", args...)
	r.logf(format, args...)
}

// logf writes a line with the time to the record.
func (r *rig) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// The record is for the reader; the case does not depend on it.
	_, _ = fmt.Fprintf(r.record, "%9.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// start starts a gate and a core on each machine, the first zoneCount of which have a disk.
func (r *rig) start(machines int) error {
	r.machines = machines
	for machine := range machines {
		for _, role := range []string{"core", "gate"} {
			p, err := r.newProcess(machine, role)
			if err != nil {
				return err
			}
			r.processes = append(r.processes, p)
		}
	}
	for _, p := range r.processes {
		if err := r.startProcess(p); err != nil {
			return err
		}
	}
	return nil
}

// newProcess writes the settings of a process as the deploy page shows them.
func (r *rig) newProcess(machine int, role string) (*process, error) {
	p := &process{role: role, machine: fmt.Sprintf("edge-%s-%d", zoneName(machine), machine/zoneCount+1)}
	p.settings = filepath.Join(r.folder, fmt.Sprintf("%s-%d.json", role, machine))
	if err := r.writeSettings(p, machine, true); err != nil {
		return nil, err
	}
	return p, nil
}

// writeSettings writes the settings file of a process.
func (r *rig) writeSettings(p *process, machine int, bootstrap bool) error {
	zones := make(map[string]string)
	var seeds []string
	for zone := range zoneCount {
		zones[zoneName(zone)] = "r"
		seeds = append(seeds, r.address(zone, controlPort))
	}
	settings := map[string]any{
		"node": p.machine, "role": p.role, "class": "edge", "ip": r.ip(machine), "zone": zoneName(machine), "region": "r", "zones": zones,
		"listen":    map[string]string{"front": r.address(machine, frontPort), "ready": r.address(machine, readyPort), "control": r.address(machine, controlPort)},
		"portRange": []int{firstPort, lastPort}, "seeds": seeds, "bootstrap": bootstrap, "lossCounts": machine < zoneCount,
		"limits":    map[string]any{"cpuShare": 0.72, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 64},
		"discovery": "cloud", "entry": "vip", "heartbeatMs": 1200,
		"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants"},
		"tolerate":  map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 3000, "graceS": 8, "lossSlackMs": 200,
			"configApplyMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000, "strictRevoke": false, "revokeMs": 5000, "retryRatio": 0.2,
			"retryWindowS": 10, "retrySlack": 60, "recoverS": 12, "eventLagMs": 120, "reuseWindowS": 10, "capFactor": 2,
		},
		"configMode": "highest",
		"cloud":      map[string]any{"addr": r.providerAddress(), "ratePerS": 42.0, "duties": []string{}, "lagMs": 800},
	}
	if p.role == "core" && machine < zoneCount {
		folder := filepath.Join(r.folder, fmt.Sprintf("data-%d", machine))
		if err := os.MkdirAll(folder, 0o700); err != nil {
			return fmt.Errorf("create data folder: %w", err)
		}
		settings["dataDir"] = folder
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return fmt.Errorf("encode settings: %w", err)
	}
	if err := os.WriteFile(p.settings, data, 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	return nil
}

// startProcess starts a process with the command of the deploy file.
func (r *rig) startProcess(p *process) error {
	output, err := os.OpenFile(p.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer func() { _ = output.Close() }() // the process has its own descriptor
	p.command = exec.Command(r.program, p.role)
	p.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + r.folder, "LANG=C", "CACTUSLINE_BOOT=" + p.settings}
	p.command.Stdout, p.command.Stderr = output, output
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return fmt.Errorf("start %s on %s: %w", p.role, p.machine, err)
	}
	r.logf("start %s on %s", p.role, p.machine)
	return nil
}

// close ends all processes and removes the temporary folder.
func (r *rig) close() {
	for _, p := range r.processes {
		if p.command != nil && p.command.Process != nil {
			_ = p.command.Process.Kill()
			_ = p.command.Wait()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.folder)
	}
	_ = r.record.Close()
}

// putConfig sends a config until it is acknowledged.
func (r *rig) putConfig(body []byte) error {
	return r.waitUntil("the config is acknowledged", func() bool {
		request, err := http.NewRequest(http.MethodPut, "http://"+r.address(rand.IntN(r.machines), controlPort)+"/cactusline/config", bytes.NewReader(body))
		if err != nil {
			return false
		}
		response, err := (&http.Client{Timeout: time.Second}).Do(request)
		if err != nil {
			return false
		}
		defer func() { _ = response.Body.Close() }()
		text, _ := io.ReadAll(response.Body)
		r.logf("operator: PUT config: %d %s", response.StatusCode, bytes.TrimSpace(text))
		return response.StatusCode == http.StatusOK
	})
}

// waitReady waits until the readiness checks of all machines succeed.
func (r *rig) waitReady() error {
	return r.waitUntil("all machines are ready", func() bool {
		for machine := range r.machines {
			if !r.isReady(machine) {
				return false
			}
		}
		return true
	})
}

func (r *rig) isReady(machine int) bool {
	response, err := (&http.Client{Timeout: time.Second}).Get("http://" + r.address(machine, readyPort) + "/cactusline/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// waitUntil waits until a condition holds, startTimeout at most.
func (r *rig) waitUntil(what string, holds func() bool) error {
	for began := time.Now(); time.Since(began) < startTimeout; time.Sleep(200 * time.Millisecond) {
		if holds() {
			r.logf("%s", what)
			return nil
		}
	}
	return fmt.Errorf("not so within %v: %s", startTimeout, what)
}
