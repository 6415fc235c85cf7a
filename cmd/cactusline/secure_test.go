package main_test

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/clock"
	"cactusline.dev/cactusline/internal/process/keys"
)

// linkKeyArgs issues the certificate of a process and returns the flags that name
// its files. Engines and services have no links and get none.
func (f *fleet) linkKeyArgs(role, name string) []string {
	switch keys.Role(role) {
	case keys.RoleRouter, keys.RoleSidecar, keys.RoleControl:
	default:
		return nil
	}
	files, err := keys.Issue(keys.IssueConfig{
		Dir:     filepath.Join(f.folder, "keys"),
		Process: keys.Identity{Role: keys.Role(role), Name: name},
		Clock:   clock.System{},
	})
	assert.NilError(f.t, err)
	return []string{"--link-cert", files.Cert, "--link-key", files.Key, "--link-ca", files.CA}
}

// TestFleetWithCertificates sends chats and a registration through a fleet whose
// processes authenticate each other. A router without a certificate must not be
// able to join it.
func TestFleetWithCertificates(t *testing.T) {
	f := startFleet(t, fleetConfig{controls: 3, engines: 2, routers: 1, secured: true})
	c := newCaller(f.routerAddresses[0])
	// The router may be ready before the sidecars have the records.
	first := newChat("first", 1, false)
	await(t, startTimeout, "targets are ready", func() bool { return c.chat(t.Context(), first, nil).complete(first) })
	for i := range 5 {
		request := newChat(fmt.Sprintf("secured %d", i), 20, i%2 == 0)
		r := c.chat(t.Context(), request, nil)
		assert.Check(t, r.complete(request), "chat %d: %v", i, r)
	}
	registration := c.register(t.Context(), "runner-1", nil)
	assert.Check(t, registration.outcome == outcomeRan && registration.entry.Runs == 1, "%v", registration)

	address := freeAddress(t)
	unauthRouter := exec.Command(binary, append([]string{"router", "--name", "stranger", "--listen", address}, f.controlArgs("stranger")...)...)
	assert.NilError(t, unauthRouter.Start())
	defer func() {
		_ = unauthRouter.Process.Kill()
		_ = unauthRouter.Wait()
	}()
	for range 20 {
		time.Sleep(pollInterval)
		assert.Assert(t, !ready(address), "a router without a certificate got the records")
	}
}
