package cmds_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/admin"
	"cactusline.dev/cactusline/internal/process/cmds"
	"cactusline.dev/cactusline/internal/process/keys"
)

// member is a control process under test.
type member struct {
	name, listen, admin, data string
	stop                      context.CancelFunc
	done                      chan int
}

// fleet is a group of control processes.
type fleet struct {
	t         *testing.T
	members   map[string]*member
	extraArgs []string
}

// The range of ports that the tests of this package listen on. It is below the range
// of ephemeral ports, and does not overlap the ranges of other packages, whose tests
// may run at the same time.
const (
	firstPort = 30_000
	portCount = 2_700
)

// ports counts the ports tried so far. The first port depends on the process ID.
var ports struct {
	mu    sync.Mutex
	tried int
}

// address returns a loopback address on which nothing listens. It never returns an
// address twice, since the caller may listen on it only later.
func address(t *testing.T) string {
	t.Helper()
	ports.mu.Lock()
	defer ports.mu.Unlock()
	for ports.tried < portCount {
		port := firstPort + (os.Getpid()*131+ports.tried)%portCount
		ports.tried++
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		assert.NilError(t, listener.Close())
		return listener.Addr().String()
	}
	t.Fatal("no free port")
	return ""
}

// startFleet starts a control process for each name.
func startFleet(t *testing.T, names []string, extraArgs ...string) *fleet {
	t.Helper()
	f := &fleet{t: t, members: map[string]*member{}, extraArgs: extraArgs}
	f.add(names...)
	for _, name := range names {
		f.start(name)
	}
	t.Cleanup(func() {
		for _, m := range f.members {
			f.shutdown(m.name)
		}
	})
	return f
}

func (f *fleet) add(names ...string) {
	for _, name := range names {
		f.members[name] = &member{name: name, listen: address(f.t), admin: address(f.t), data: f.t.TempDir()}
	}
}

// start starts a member, with all members added so far as its peers.
func (f *fleet) start(name string) {
	m := f.members[name]
	var peers []string
	for _, other := range f.members {
		peers = append(peers, other.name+"="+other.listen)
	}
	args := append([]string{
		"control", "--vm", name, "--listen", m.listen, "--admin", m.admin, "--data", m.data,
		"--peer", strings.Join(peers, ","), "--log-level", "error",
	}, f.extraArgs...)
	ctx, cancel := context.WithCancel(context.Background())
	m.stop, m.done = cancel, make(chan int, 1)
	go func() { m.done <- cmds.Main(ctx, args, &bytes.Buffer{}, os.Stderr) }()
}

// shutdown stops a member and waits for it, as a service manager does.
func (f *fleet) shutdown(name string) {
	m := f.members[name]
	if m.stop == nil {
		return
	}
	m.stop()
	assert.Check(f.t, <-m.done == cmds.ExitOK)
	m.stop = nil
}

// output is the exit code and the output of a command.
type output struct {
	code           int
	stdout, stderr string
}

// run runs a command with the addresses of all members.
func (f *fleet) run(args ...string) output {
	f.t.Helper()
	var urls []string
	for _, m := range f.members {
		urls = append(urls, "http://"+m.admin)
	}
	return run(f.t, append(args, "--admin", strings.Join(urls, ","))...)
}

func run(t *testing.T, args ...string) output {
	t.Helper()
	var stdout, stderr bytes.Buffer
	code := cmds.Main(t.Context(), args, &stdout, &stderr)
	return output{code: code, stdout: stdout.String(), stderr: stderr.String()}
}

// mustRun runs a command that must succeed.
func (f *fleet) mustRun(args ...string) output {
	f.t.Helper()
	out := f.run(args...)
	assert.Equal(f.t, out.code, cmds.ExitOK, out.stderr)
	return out
}

func (f *fleet) status() *admin.Status {
	f.t.Helper()
	status := new(admin.Status)
	assert.NilError(f.t, json.Unmarshal([]byte(f.mustRun("status", "--output", "json").stdout), status))
	return status
}

// await polls the status until cond is true.
func (f *fleet) await(cond func(*admin.Status) bool) {
	f.t.Helper()
	for range 500 {
		if cond(f.status()) {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.t.Fatalf("timed out waiting for the status: %+v", f.status())
}

func asksToJoin(name string) func(*admin.Status) bool {
	return func(s *admin.Status) bool {
		for _, newcomer := range s.Newcomers {
			if string(newcomer.VM) == name {
				return s.Control.Leader == s.Control.ID || s.Control.Leader != ""
			}
		}
		return false
	}
}

// file writes text to a temporary file and returns its path.
func file(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "file")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func record(pool string, version int) string {
	return fmt.Sprintf(`{"Kind":"Service","Name":"bibs","SchemaVersion":1,"Version":%d,"Pool":%q}`, version, pool)
}

func TestExitCodes(t *testing.T) {
	f := startFleet(t, []string{"a"})
	first, second := file(t, record("one", 0)), file(t, record("two", 0))
	invalid := file(t, `{"Kind":"Service","Name":"x","SchemaVersion":1,"Pool":7}`)
	created := f.mustRun("apply", "-f", first, "--change", "c1")
	assert.Equal(t, f.mustRun("apply", "-f", first, "--change", "c1").stdout, created.stdout)
	invalidExport := file(t, `{"Index":1}`)
	tests := []struct {
		name     string
		args     []string
		code     int
		contains string
	}{
		{"conflict shows the winner", []string{"apply", "-f", second}, cmds.ExitConflict, `"Pool":"one"`},
		{"change id of another change", []string{"apply", "-f", second, "--change", "c1"}, cmds.ExitConflict, "ChangeReused"},
		{"faults of all files", []string{"apply", "-f", invalid, "-f", invalid}, cmds.ExitUsage, "2 faults"},
		{"no such file", []string{"apply", "-f", "none"}, cmds.ExitUsage, "none"},
		{"no file", []string{"apply"}, cmds.ExitUsage, "--file"},
		{"no such record", []string{"get", "Service/none"}, cmds.ExitNotFound, "Service/none"},
		{"no such version", []string{"retire", "Service/bibs", "--version", "9"}, cmds.ExitConflict, `"Pool":"one"`},
		{"drain of nothing", []string{"drain"}, cmds.ExitUsage, "--vm"},
		{"drain of an unknown target", []string{"drain", "none"}, cmds.ExitNotFound, "unknown"},
		{"unknown request", []string{"explain", "none"}, cmds.ExitNotFound, "nothing is kept"},
		{"unknown member", []string{"member", "add", "none"}, cmds.ExitDenied, "asks to join"},
		{"all settings at once", []string{"status", "--output", "x", "--patience", "y"}, cmds.ExitUsage, "2 settings"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			out := f.run(test.args...)
			assert.Equal(t, out.code, test.code, out.stderr)
			assert.Assert(t, strings.Contains(out.stderr, test.contains), out.stderr)
		})
	}
	unreachable := run(t, "apply", "-f", first, "--admin", "http://"+address(t), "--patience", "10ms")
	assert.Equal(t, unreachable.code, cmds.ExitUnavailable, unreachable.stderr)
	assert.Equal(t, run(t, "audit", "verify", invalidExport).code, cmds.ExitFault)
	f.mustRun("retire", "Service/bibs")
	export := filepath.Join(t.TempDir(), "export")
	f.mustRun("audit", "export", "--file", export)
	status := f.status()
	head := fmt.Sprintf("%d:%s", status.Audit.Index, status.Audit.Hash)
	verified := run(t, "audit", "verify", export, "--head", head)
	assert.Equal(t, verified.code, cmds.ExitOK, verified.stderr)
}

func TestLostAnswerHasUnknownOutcome(t *testing.T) {
	// The listener reads the change and closes the connection without an answer.
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 1024))
			_ = conn.Close()
		}
	})
	out := run(t, "apply", "-f", file(t, record("one", 0)), "--admin", "http://"+listener.Addr().String(), "--patience", "50ms")
	assert.NilError(t, listener.Close())
	wg.Wait()
	assert.Equal(t, out.code, cmds.ExitOutcomeUnknown, out.stderr)
	id, _, _ := strings.Cut(strings.TrimPrefix(out.stderr, "change "), "\n")
	assert.Assert(t, strings.Contains(out.stderr, "--change "+id), out.stderr)
}

func TestExampleRecordsApply(t *testing.T) {
	for _, name := range []string{"kivijarvi", "darsiraj"} {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, []string{"a"})
			out := f.mustRun("apply", "-f", "../../../examples/"+name+".json", "--wait")
			assert.Assert(t, strings.Contains(out.stdout, "in force everywhere"), out.stdout)
			records := f.mustRun("get", "--new").stdout
			restored := startFleet(t, []string{"b"})
			restored.mustRun("apply", "-f", file(t, records))
			assert.Equal(t, restored.mustRun("get", "--new").stdout, records)
		})
	}
}

func TestMembersAreAddedAndReplaced(t *testing.T) {
	f := startFleet(t, []string{"a", "b", "c"})
	f.mustRun("apply", "-f", file(t, record("one", 0)))
	f.add("d", "e")
	for _, name := range []string{"d", "e"} {
		f.start(name)
		f.await(asksToJoin(name))
		// The new process knows no leader itself, so the others must be asked.
		ownURL := "http://" + f.members[name].admin
		unreachable := run(t, "member", "add", name, "--admin", ownURL, "--patience", "10ms")
		assert.Equal(t, unreachable.code, cmds.ExitUnavailable, unreachable.stderr)
		f.mustRun("member", "add", name)
	}
	f.mustRun("member", "transfer", "d")
	f.await(func(s *admin.Status) bool { return s.Control.Leader.VM() == "d" })
	refused := f.run("member", "remove", "d")
	assert.Equal(t, refused.code, cmds.ExitDenied, refused.stderr)

	f.shutdown("b")
	f.members["b"].data = t.TempDir()
	f.start("b")
	f.await(asksToJoin("b"))
	f.mustRun("member", "replace", "b", "b")
	f.mustRun("member", "remove", "c")
	f.shutdown("c")
	// Of the four members left, one may be lost.
	f.shutdown("a")
	f.mustRun("retire", "Service/bibs")
	export := filepath.Join(t.TempDir(), "export")
	f.mustRun("audit", "export", "--file", export)
	verified := run(t, "audit", "verify", export)
	assert.Equal(t, verified.code, cmds.ExitOK, verified.stderr)
	entries, err := os.ReadFile(export)
	assert.NilError(t, err)
	for _, change := range []string{"add asked", "transfer done", "replace done", "remove done"} {
		assert.Assert(t, bytes.Contains(entries, []byte(change)), change)
	}
}

func TestAuditLogSurvivesRestarts(t *testing.T) {
	f := startFleet(t, []string{"a"})
	for round := range 3 {
		f.mustRun("apply", "-f", file(t, strings.ReplaceAll(record("one", 0), "bibs", fmt.Sprintf("bibs-%d", round))))
		f.shutdown("a")
		f.start("a")
		head := f.status().Audit
		assert.Equal(t, head.Index, uint64(round+1))
		export := filepath.Join(t.TempDir(), "export")
		f.mustRun("audit", "export", "--file", export)
		verified := run(t, "audit", "verify", export, "--output", "json", "--head", fmt.Sprintf("%d:%s", head.Index, head.Hash))
		assert.Equal(t, verified.code, cmds.ExitOK, verified.stderr)
		assert.Assert(t, strings.Contains(verified.stdout, fmt.Sprintf(`"Entries": %d`, round+1)), verified.stdout)
	}
}

func TestTokenAccessLevels(t *testing.T) {
	var tokens keys.TokenFile
	paths := map[keys.Access]string{}
	for _, access := range []keys.Access{keys.AccessOperator, keys.AccessMonitor} {
		out := run(t, "token", "aino", "--access", string(access))
		token := strings.TrimSpace(out.stdout)
		paths[access] = file(t, token)
		tokens.Tokens = append(tokens.Tokens, keys.Grant{Name: "aino", Access: access, Hash: keys.HashToken(token)})
		assert.Assert(t, strings.Contains(out.stderr, keys.HashToken(token)), out.stderr)
	}
	data, err := json.Marshal(tokens)
	assert.NilError(t, err)
	f := startFleet(t, []string{"a"}, "--tokens", file(t, string(data)))
	first := file(t, record("one", 0))
	denied := f.run("apply", "-f", first)
	assert.Equal(t, denied.code, cmds.ExitDenied, denied.stderr)
	denied = f.run("apply", "-f", first, "--token-file", paths[keys.AccessMonitor])
	assert.Equal(t, denied.code, cmds.ExitDenied, denied.stderr)
	f.mustRun("get", "--token-file", paths[keys.AccessMonitor])
	f.mustRun("apply", "-f", first, "--token-file", paths[keys.AccessOperator])
}
