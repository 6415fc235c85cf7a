package main_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/record"
)

const (
	// fullDiskTime is how long a disk takes no more bytes, and fullDiskGap how long after it
	// the next one fills.
	fullDiskTime = 2 * time.Second
	fullDiskGap  = time.Second
)

// setDiskFull makes each write of the process to a file fail, or succeed again.
func (p *process) setDiskFull(full bool) {
	p.t.Helper()
	limit := &unix.Rlimit{Cur: unix.RLIM_INFINITY, Max: unix.RLIM_INFINITY}
	if full {
		limit.Cur = 0
	}
	assert.NilError(p.t, unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, limit, nil))
}

// Guards against changes that are refused, or stay without an answer, after the disks of
// the control processes were full one after another.
func TestChangesAreAcceptedAfterDisksWereFullInTurn(t *testing.T) {
	f := startFleet(t, fleetConfig{controls: 3, untraced: true})
	changes := 0
	change := func() {
		t.Helper()
		changes++
		name := fmt.Sprint("new-", changes)
		f.submit(&record.Customer{Name: ident.CustomerName(name), Keys: []record.KeyHash{record.HashKey(name)}})
	}
	for i, control := range f.controls {
		control.setDiskFull(true)
		for began := time.Now(); time.Since(began) < fullDiskTime; time.Sleep(100 * time.Millisecond) {
			change()
		}
		control.setDiskFull(false)
		t.Log("disk", i, "was full, changes", changes)
		time.Sleep(fullDiskGap)
	}
	change()
	// Each of them counts again: any other one may be lost.
	for _, control := range f.controls {
		control.kill()
		change()
		control.start()
		time.Sleep(fullDiskGap)
	}
}

// Guards against a control process that ends since its data folder could not be opened at
// first after its disk was full, and against one that hides a folder that can't be opened when
// it starts.
func TestControlIsBackOnceItsFolderCanBeOpened(t *testing.T) {
	f := startFleet(t, fleetConfig{controls: 1, untraced: true})
	control := f.controls[0]
	audit := filepath.Join(f.folder, "data-"+control.name, "audit")
	control.setDiskFull(true)
	assert.Assert(t, postRecords(f.adminAddresses[0], "lost", customerRecord(t, "lost")) != nil)
	assert.NilError(t, os.Rename(audit, audit+"-away"))
	assert.NilError(t, os.WriteFile(audit, nil, 0o600))
	control.setDiskFull(false)
	time.Sleep(fullDiskTime)
	select {
	case <-control.exited:
		t.Fatalf("control has ended: %v", control.exitErr)
	default:
	}
	assert.NilError(t, os.Remove(audit))
	assert.NilError(t, os.Rename(audit+"-away", audit))
	f.submit(&record.Customer{Name: "new", Keys: []record.KeyHash{record.HashKey("new")}})

	control.stop()
	assert.NilError(t, os.Rename(audit, audit+"-away"))
	assert.NilError(t, os.WriteFile(audit, nil, 0o600))
	control.start()
	select {
	case <-control.exited:
		assert.Assert(t, control.exitErr != nil)
	case <-time.After(startTimeout):
		t.Fatal("control runs without its folder")
	}
}

// customerRecord returns a change that creates a customer.
func customerRecord(t *testing.T, name ident.CustomerName) []byte {
	t.Helper()
	r, err := record.New(&record.Customer{Name: name, Keys: []record.KeyHash{record.HashKey(string(name))}})
	assert.NilError(t, err)
	body, err := json.Marshal([]*record.Record{r})
	assert.NilError(t, err)
	return body
}
