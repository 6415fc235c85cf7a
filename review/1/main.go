// Case 1: a machine of the core is replaced as planned. Just after it has gone, another
// machine loses its disk.
package main

import (
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"

	"cactusline.dev/cactusline/review/lab"
)

const (
	caseDir  = "review/1"
	patience = 20 * time.Second
	// successorFor is how long the successor runs before the machine that it replaces is
	// stopped. It is more than catchUpS, so that this machine then does not count as lost.
	successorFor = 8 * time.Second
	// lossAfter is the time from the end of the replaced machine to the loss of a disk, and
	// downFor how long that machine is down.
	lossAfter = time.Second
	downFor   = time.Second
	// settleFor is catchUpS and recoverS, after which everything works again, and readFor
	// how long the operator then tries to read.
	settleFor    = 16 * time.Second
	readFor      = 20 * time.Second
	readInterval = 500 * time.Millisecond
)

func main() { lab.Main("CONFIG", run) }

// run plays the case and reports whether the rule was broken.
func run(trouble bool) (broken bool, err error) {
	f, err := lab.NewFleet(caseDir)
	if err != nil {
		return false, err
	}
	defer f.Close()
	var machines []*lab.Machine
	for _, zone := range []string{"a", "b", "c"} {
		machines = append(machines, f.AddMachine("edge-"+zone+"-1", zone, true))
	}
	f.SetSeeds(machines...)
	for _, m := range machines {
		if _, err := f.Start(m, "core", true); err != nil {
			return false, err
		}
	}
	if err := f.PutAnywhere(config(1), patience, machines...); err != nil {
		return false, err
	}
	successor := f.AddMachine("edge-c-2", "c", true)
	if err := replace(f, machines[2], successor); err != nil {
		return false, err
	}
	machines = []*lab.Machine{machines[0], machines[1], successor}
	f.SetSeeds(machines...)
	if trouble {
		time.Sleep(lossAfter)
		if err := loseDisk(f, f.Process(machines[0], "core")); err != nil {
			return false, err
		}
	}
	time.Sleep(settleFor)
	return !canRead(f, machines), nil
}

func config(version uint64) lab.Config {
	return lab.NewConfig(version, lab.Route{
		Name: "r", Hostname: "h.example", PathPrefix: "/p/", Type: "safe", TimeoutMs: 1000, SloMs: 200, Service: "s", Attempts: 2,
	})
}

// replace starts a successor and, once it has run for some time, stops the old machine.
func replace(f *lab.Fleet, old, successor *lab.Machine) error {
	if _, err := f.Start(successor, "core", false); err != nil {
		return err
	}
	time.Sleep(successorFor)
	if err := f.PutAnywhere(config(2), patience, old, successor); err != nil {
		return err
	}
	core := f.Process(old, "core")
	core.Signal(syscall.SIGTERM)
	core.Await()
	f.Record.Logf("%s has ended and is gone", old.Name)
	return nil
}

// loseDisk kills a process and starts it again with an empty disk.
func loseDisk(f *lab.Fleet, core *lab.Process) error {
	core.Signal(syscall.SIGKILL)
	core.Await()
	if err := os.RemoveAll(f.DataDir(core.Machine)); err != nil {
		return fmt.Errorf("empty disk: %w", err)
	}
	f.Record.Logf("%s has lost its disk", core.Machine.Name)
	time.Sleep(downFor)
	return core.Start(false)
}

// canRead reports whether any machine answers a read of the config with the version that
// was acknowledged.
func canRead(f *lab.Fleet, machines []*lab.Machine) bool {
	for deadline := time.Now().Add(readFor); time.Now().Before(deadline); time.Sleep(readInterval) {
		for _, m := range machines {
			if status, version := f.Get(m); status == http.StatusOK && version == 2 {
				return true
			}
		}
	}
	f.Record.Logf("broken: the acknowledged version 2 could not be read for %v", readFor)
	return false
}
