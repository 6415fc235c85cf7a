package admin_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"sync/atomic"
	"testing"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/conn/link"
	"cactusline.dev/cactusline/internal/process/admin"
	"cactusline.dev/cactusline/internal/process/audit"
	"cactusline.dev/cactusline/internal/process/clock"
	"cactusline.dev/cactusline/internal/process/ctrl"
	"cactusline.dev/cactusline/internal/process/group"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/record"
	"cactusline.dev/cactusline/internal/version/store"
)

// rig is the API before a control process that is alone.
type rig struct {
	t       *testing.T
	url     string
	token   string
	control *ctrl.Control
	changes atomic.Uint64
}

func startRig(t *testing.T, tokens admin.Authenticator) *rig {
	t.Helper()
	data := t.TempDir()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	folder, err := audit.OpenFolder(filepath.Join(data, "audit"))
	assert.NilError(t, err)
	state := store.New(store.Config{AuditSink: folder})
	replicas, err := group.Open(group.Config{
		VM: "a", Folder: data, StateMachine: state, Clock: clock.System{},
		Bootstrap: []group.Member{{VM: "a", Address: listener.Addr().String()}},
	})
	assert.NilError(t, err)
	links := link.NewClient(link.Config{Clock: clock.System{}, Caller: "test"})
	r := &rig{t: t, control: ctrl.New(ctrl.Config{
		VM: "a", Listener: listener, Clock: clock.System{}, Logger: log.NewNopLogger(),
		Log: replicas, Store: state, Link: links, Group: replicas,
	})}
	api := admin.New(admin.Config{
		Control: r.control, Group: replicas, State: state, AuditFolder: folder, Authenticator: tokens,
		NewChangeID: func() ident.ChangeID { return ident.ChangeID(fmt.Sprintf("drawn-%d", r.changes.Add(1))) },
	})
	server := httptest.NewServer(api.Handler())
	r.url = server.URL
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- r.control.Run(ctx) }()
	t.Cleanup(func() {
		server.Close()
		cancel()
		assert.NilError(t, <-served)
		assert.NilError(t, links.Close())
		assert.NilError(t, replicas.Close())
		assert.NilError(t, folder.Close())
	})
	return r
}

// answer is what the API said.
type answer struct {
	status   int
	body     []byte
	accepted admin.ChangeResult
	failed   admin.Error
}

// ask makes one call, with a change id unless that is empty.
func (r *rig) ask(method, path, body, change string) answer {
	r.t.Helper()
	req, err := http.NewRequestWithContext(r.t.Context(), method, r.url+path, bytes.NewReader([]byte(body)))
	assert.NilError(r.t, err)
	if change != "" {
		req.Header.Set(admin.HeaderChangeID, change)
	}
	if r.token != "" {
		req.Header.Set("Authorization", "Bearer "+r.token)
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(r.t, err)
	defer func() { _ = resp.Body.Close() }()
	a := answer{status: resp.StatusCode}
	a.body, err = io.ReadAll(resp.Body)
	assert.NilError(r.t, err)
	if a.status >= http.StatusBadRequest {
		wrapped := admin.ErrorBody{Error: &a.failed}
		assert.NilError(r.t, json.Unmarshal(a.body, &wrapped), string(a.body))
	} else {
		_ = json.Unmarshal(a.body, &a.accepted)
	}
	return a
}

// service returns a service record in JSON. Its pool tells contents apart.
func service(t *testing.T, name ident.ServiceName, version ident.Version, pool string) string {
	t.Helper()
	r, err := record.New(&record.Service{Header: record.Header{Version: version}, Name: name, Pool: pool})
	assert.NilError(t, err)
	return string(r.JSON())
}
