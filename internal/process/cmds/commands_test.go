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

// member is one control process under test.
type member struct {
	name, listen, admin, data string
	stop                      context.CancelFunc
	done                      chan int
}

// fleet is some control processes.
type fleet struct {
	t       *testing.T
	members map[string]*member
	extra   []string
}

// The ports that the tests of this package listen on. They lie below those that
// the system gives to outgoing connections, and apart from those that the tests
// of other packages, which may run at the same time, choose from.
const (
	firstPort = 30_000
	portCount = 2_700
)

// ports counts the ports tried so far, from a start that differs from process
// to process.
var ports struct {
	mu    sync.Mutex
	tried int
}

// address returns a loopback address on which nothing listens. It returns each
// address once, as it may be listened on only later.
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
func startFleet(t *testing.T, names []string, extra ...string) *fleet {
	t.Helper()
	f := &fleet{t: t, members: map[string]*member{}, extra: extra}
	f.add(names...)
	for _, name := range names {
		f.start(name)
	}
	t.Cleanup(func() {
		for _, m := range f.members {
			f.end(m.name)
		}
	})
	return f
}

func (f *fleet) add(names ...string) {
	for _, name := range names {
		f.members[name] = &member{name: name, listen: address(f.t), admin: address(f.t), data: f.t.TempDir()}
	}
}

// start runs a member that knows all members added so far.
func (f *fleet) start(name string) {
	m := f.members[name]
	var peers []string
	for _, other := range f.members {
		peers = append(peers, other.name+"="+other.listen)
	}
	args := append([]string{
		"control", "--vm", name, "--listen", m.listen, "--admin", m.admin, "--data", m.data,
		"--peer", strings.Join(peers, ","), "--log-level", "error",
	}, f.extra...)
	ctx, cancel := context.WithCancel(context.Background())
	m.stop, m.done = cancel, make(chan int, 1)
	go func() { m.done <- cmds.Main(ctx, args, &bytes.Buffer{}, os.Stderr) }()
}

// end stops a member as a service manager does.
func (f *fleet) end(name string) {
	m := f.members[name]
	if m.stop == nil {
		return
	}
	m.stop()
	assert.Check(f.t, <-m.done == cmds.ExitOK)
	m.stop = nil
}

// output is what a verb printed.
type output struct {
	code           int
	stdout, stderr string
}

// run runs a verb against all members.
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

// ok runs a verb that must succeed.
func (f *fleet) ok(args ...string) output {
	f.t.Helper()
	out := f.run(args...)
	assert.Equal(f.t, out.code, cmds.ExitOK, out.stderr)
	return out
}

func (f *fleet) status() *admin.Status {
	f.t.Helper()
	status := new(admin.Status)
	assert.NilError(f.t, json.Unmarshal([]byte(f.ok("status", "--output", "json").stdout), status))
	return status
}

// await asks until the status is as wanted.
func (f *fleet) await(wanted func(*admin.Status) bool) {
	f.t.Helper()
	for range 500 {
		if wanted(f.status()) {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.t.Fatalf("the fleet did not get there: %+v", f.status())
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

// file writes a file of one test.
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
	one, two := file(t, record("one", 0)), file(t, record("two", 0))
	bad := file(t, `{"Kind":"Service","Name":"x","SchemaVersion":1,"Pool":7}`)
	created := f.ok("apply", "-f", one, "--change", "c1")
	assert.Equal(t, f.ok("apply", "-f", one, "--change", "c1").stdout, created.stdout)
	broken := file(t, `{"Index":1}`)
	tests := []struct {
		name string
		args []string
		code int
		says string
	}{
		{"conflict shows the winner", []string{"apply", "-f", two}, cmds.ExitConflict, `"Pool":"one"`},
		{"change id of another change", []string{"apply", "-f", two, "--change", "c1"}, cmds.ExitConflict, "ChangeReused"},
		{"faults of all files", []string{"apply", "-f", bad, "-f", bad}, cmds.ExitUsage, "2 faults"},
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
			assert.Assert(t, strings.Contains(out.stderr, test.says), out.stderr)
		})
	}
	unreachable := run(t, "apply", "-f", one, "--admin", "http://"+address(t), "--patience", "10ms")
	assert.Equal(t, unreachable.code, cmds.ExitRefused, unreachable.stderr)
	assert.Equal(t, run(t, "audit", "verify", broken).code, cmds.ExitFault)
	f.ok("retire", "Service/bibs")
	export := filepath.Join(t.TempDir(), "export")
	f.ok("audit", "export", "--file", export)
	status := f.status()
	head := fmt.Sprintf("%d:%s", status.Audit.Index, status.Audit.Hash)
	verified := run(t, "audit", "verify", export, "--head", head)
	assert.Equal(t, verified.code, cmds.ExitOK, verified.stderr)
}

func TestLostAnswerIsUnknownUntilResent(t *testing.T) {
	// A listener that takes the change and never answers.
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var work sync.WaitGroup
	work.Go(func() {
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
	work.Wait()
	assert.Equal(t, out.code, cmds.ExitUnknown, out.stderr)
	id, _, _ := strings.Cut(strings.TrimPrefix(out.stderr, "change "), "\n")
	assert.Assert(t, strings.Contains(out.stderr, "--change "+id), out.stderr)
}

func TestExamplesAreInForce(t *testing.T) {
	for _, name := range []string{"kivijarvi", "darsiraj"} {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, []string{"a"})
			out := f.ok("apply", "-f", "../../../examples/"+name+".json", "--wait")
			assert.Assert(t, strings.Contains(out.stdout, "in force everywhere"), out.stdout)
			records := f.ok("get", "--new").stdout
			fresh := startFleet(t, []string{"b"})
			fresh.ok("apply", "-f", file(t, records))
			assert.Equal(t, fresh.ok("get", "--new").stdout, records)
		})
	}
}

func TestFleetGrowsAndReplacesADisk(t *testing.T) {
	f := startFleet(t, []string{"a", "b", "c"})
	f.ok("apply", "-f", file(t, record("one", 0)))
	f.add("d", "e")
	for _, name := range []string{"d", "e"} {
		f.start(name)
		f.await(asksToJoin(name))
		// The newcomer itself knows no leader; others must be asked.
		own := "http://" + f.members[name].admin
		lost := run(t, "member", "add", name, "--admin", own, "--patience", "10ms")
		assert.Equal(t, lost.code, cmds.ExitRefused, lost.stderr)
		f.ok("member", "add", name)
	}
	f.ok("member", "transfer", "d")
	f.await(func(s *admin.Status) bool { return s.Control.Leader.VM() == "d" })
	refused := f.run("member", "remove", "d")
	assert.Equal(t, refused.code, cmds.ExitDenied, refused.stderr)

	f.end("b")
	f.members["b"].data = t.TempDir()
	f.start("b")
	f.await(asksToJoin("b"))
	f.ok("member", "replace", "b", "b")
	f.ok("member", "remove", "c")
	f.end("c")
	// Any two of the four that are left may now be lost but one.
	f.end("a")
	f.ok("retire", "Service/bibs")
	export := filepath.Join(t.TempDir(), "export")
	f.ok("audit", "export", "--file", export)
	verified := run(t, "audit", "verify", export)
	assert.Equal(t, verified.code, cmds.ExitOK, verified.stderr)
	entries, err := os.ReadFile(export)
	assert.NilError(t, err)
	for _, change := range []string{"add asked", "transfer done", "replace done", "remove done"} {
		assert.Assert(t, bytes.Contains(entries, []byte(change)), change)
	}
}

func TestAuditOutlivesRestarts(t *testing.T) {
	f := startFleet(t, []string{"a"})
	for round := range 3 {
		f.ok("apply", "-f", file(t, strings.ReplaceAll(record("one", 0), "bibs", fmt.Sprintf("bibs-%d", round))))
		f.end("a")
		f.start("a")
		head := f.status().Audit
		assert.Equal(t, head.Index, uint64(round+1))
		export := filepath.Join(t.TempDir(), "export")
		f.ok("audit", "export", "--file", export)
		verified := run(t, "audit", "verify", export, "--output", "json", "--head", fmt.Sprintf("%d:%s", head.Index, head.Hash))
		assert.Equal(t, verified.code, cmds.ExitOK, verified.stderr)
		assert.Assert(t, strings.Contains(verified.stdout, fmt.Sprintf(`"Entries": %d`, round+1)), verified.stdout)
	}
}

func TestTokensOfOperatorsAndTheMonitor(t *testing.T) {
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
	one := file(t, record("one", 0))
	denied := f.run("apply", "-f", one)
	assert.Equal(t, denied.code, cmds.ExitDenied, denied.stderr)
	denied = f.run("apply", "-f", one, "--token-file", paths[keys.AccessMonitor])
	assert.Equal(t, denied.code, cmds.ExitDenied, denied.stderr)
	f.ok("get", "--token-file", paths[keys.AccessMonitor])
	f.ok("apply", "-f", one, "--token-file", paths[keys.AccessOperator])
}
