package engine_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/clock"
	"cactusline.dev/cactusline/internal/process/engine"
	"cactusline.dev/cactusline/internal/request/chat"
	"cactusline.dev/cactusline/internal/version/ident"
)

type harness struct {
	t      *testing.T
	engine *engine.Engine
	url    string
}

func start(t *testing.T, cfg engine.Config) harness {
	e := engine.New(cfg)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = e.Run(ctx) }()
	server := httptest.NewServer(e)
	t.Cleanup(func() { server.Close(); stop(); <-done })
	return harness{t, e, server.URL}
}

func newRequest(text string, tokens ident.Tokens) *chat.Request {
	return &chat.Request{
		Model: engine.DefaultModel, MaxTokens: tokens,
		Messages: []chat.Message{{Role: chat.RoleUser, Content: chat.TextContent(text)}},
	}
}

func (h harness) post(ctx context.Context, path string, body any, headers ...string) (*http.Response, error) {
	data, err := json.Marshal(body)
	assert.NilError(h.t, err)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.url+path, bytes.NewReader(data))
	assert.NilError(h.t, err)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	return http.DefaultClient.Do(req)
}

func (h harness) postAndRead(path string, body any, headers ...string) (int, string) {
	resp, err := h.post(context.Background(), path, body, headers...)
	assert.NilError(h.t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	assert.NilError(h.t, err)
	return resp.StatusCode, string(data)
}

func (h harness) get(path string, into any) {
	resp, err := http.Get(h.url + path)
	assert.NilError(h.t, err)
	defer resp.Body.Close()
	assert.NilError(h.t, json.NewDecoder(resp.Body).Decode(into))
}

func (h harness) chat(req *chat.Request) chat.Response {
	status, data := h.postAndRead("/v1/chat/completions", req)
	assert.Equal(h.t, status, http.StatusOK, data)
	var out chat.Response
	assert.NilError(h.t, json.Unmarshal([]byte(data), &out))
	return out
}

const chatPath = "/v1/chat/completions"

func TestAnswerMatchesRequest(t *testing.T) {
	h := start(t, engine.Config{})
	for _, text := range []string{"one", "two"} {
		req := newRequest(text, 5)
		got := h.chat(req).Choices[0].Message.Content.Text
		assert.Equal(t, got, engine.Answer(req, 5))
		assert.Assert(t, strings.HasPrefix(got, engine.AnswerTag(req)))
	}
}

func TestResumedStreamContinuesAtOffset(t *testing.T) {
	h := start(t, engine.Config{})
	req := newRequest("hello", 9)
	req.Stream = true
	_, whole := h.postAndRead(chatPath, req, engine.RequestIDHeader, "r1")
	_, rest := h.postAndRead(chatPath, req, engine.RequestIDHeader, "r1", engine.ResumeOffsetHeader, "4")
	events := strings.SplitAfter(whole, chat.EventEnd)
	// 9 tokens, the finish reason, the end marker and the empty rest of the split.
	assert.Equal(t, len(events), 9+2+1)
	assert.Equal(t, strings.Join(events[4:], ""), rest)
	assert.Assert(t, strings.HasSuffix(rest, chat.DoneEvent))
}

func TestNextTurnHitsPrefixCache(t *testing.T) {
	h := start(t, engine.Config{})
	req := newRequest(strings.Repeat("long brief ", 50), 20)
	first := h.chat(req)
	assert.Equal(t, first.Usage.PromptTokensDetails.CachedTokens, ident.Tokens(0))
	req.Messages = append(req.Messages, first.Choices[0].Message, chat.Message{Role: chat.RoleUser, Content: chat.TextContent("and?")})
	second := h.chat(req)
	cached := second.Usage.PromptTokensDetails.CachedTokens
	assert.Assert(t, cached > first.Usage.PromptTokens, "%d", cached)

	other := start(t, engine.Config{})
	var export engine.Export
	_, data := h.postAndRead("/cache/export", engine.ExportRequest{Blocks: chat.BlockHashes(req.Model, req.Messages)})
	assert.NilError(t, json.Unmarshal([]byte(data), &export))
	other.postAndRead("/cache/import", export)
	assert.Assert(t, other.chat(req).Usage.PromptTokensDetails.CachedTokens >= cached)
}

func TestCacheStaysBoundedAndEventsHaveGaps(t *testing.T) {
	h := start(t, engine.Config{CacheTokens: 4 * chat.BlockTokens, EventLossRate: 0.5})
	for _, text := range []string{"a", "b", "c"} {
		h.chat(newRequest(strings.Repeat(text, 200), 1))
	}
	assert.Assert(t, h.engine.Load().CachedTokens <= 4*chat.BlockTokens)
	var list engine.EventList
	h.get("/cache/events?after=0", &list)
	assert.Assert(t, len(list.Events) > 0)
	last := list.Events[len(list.Events)-1].Number
	assert.Assert(t, int(last) > len(list.Events), "no gap up to event number %d", last)
}

func TestHigherPriorityStartsFirst(t *testing.T) {
	h := start(t, engine.Config{MaxBatchSize: 1, StepTime: 5 * time.Millisecond})
	order := make(chan string, 3)
	post := func(name, priority string, tokens ident.Tokens) {
		h.postAndRead(chatPath, newRequest(name, tokens), engine.PriorityHeader, priority)
		order <- name
	}
	go post("first", "0", 60)
	h.waitForLoad(func(l engine.Load) bool { return l.Running == 1 })
	go post("low", "1", 2)
	h.waitForLoad(func(l engine.Load) bool { return l.Waiting == 1 })
	go post("high", "2", 2)
	h.waitForLoad(func(l engine.Load) bool { return l.Waiting == 2 })
	assert.DeepEqual(t, []string{<-order, <-order, <-order}, []string{"first", "high", "low"})
}

func (h harness) waitForLoad(ready func(engine.Load) bool) {
	for range 5000 {
		if ready(h.engine.Load()) {
			return
		}
		sleep(time.Millisecond)
	}
	h.t.Fatalf("timed out with load %+v", h.engine.Load())
}

func sleep(d time.Duration) { _ = clock.System{}.Sleep(context.Background(), d) }

// connectionBreaks sends a request and reports whether its connection broke.
func (h harness) connectionBreaks(req *chat.Request) bool {
	resp, err := h.post(context.Background(), chatPath, req)
	if err == nil {
		resp.Body.Close()
	}
	return err != nil
}

func TestDisconnectFreesBatchSlot(t *testing.T) {
	h := start(t, engine.Config{StepTime: time.Millisecond})
	ctx, leave := context.WithCancel(context.Background())
	req := newRequest("x", 10_000)
	req.Stream = true
	resp, err := h.post(ctx, chatPath, req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	h.waitForLoad(func(l engine.Load) bool { return l.Running == 1 })
	leave()
	h.waitForLoad(func(l engine.Load) bool { return l.Running == 0 })
}

func TestCrashBreaksRequestsUntilRestart(t *testing.T) {
	crashed := make(chan struct{}, 1)
	h := start(t, engine.Config{
		StepTime: time.Millisecond, CrashMarker: "BOOM", RestartDelay: 50 * time.Millisecond,
		OnCrash: func() { crashed <- struct{}{} },
	})
	broken := make(chan bool, 1)
	go func() { broken <- h.connectionBreaks(newRequest("bystander", 10_000)) }()
	h.waitForLoad(func(l engine.Load) bool { return l.Running == 1 })
	assert.Assert(t, h.connectionBreaks(newRequest("a BOOM b", 1)))
	assert.Assert(t, <-broken)
	<-crashed
	assert.Assert(t, h.connectionBreaks(newRequest("x", 1)))
	sleep(60 * time.Millisecond)
	h.chat(newRequest("x", 1))
	assert.Equal(t, h.engine.Load().Incarnation, ident.Incarnation(2))
}

func TestFenceIsCheckedOnlyWhereConfigured(t *testing.T) {
	for _, check := range []bool{true, false} {
		h := start(t, engine.Config{CheckFencing: check})
		h.postAndRead("/orders", engine.Order{Kind: engine.OrderLoadModel, Fence: 7, Model: "new", Version: "2"})
		status, _ := h.postAndRead("/orders", engine.Order{Kind: engine.OrderUnloadModel, Fence: 6, Model: "new"})
		assert.Equal(t, status == http.StatusConflict, check)
		var models chat.ModelList
		h.get("/v1/models", &models)
		assert.Equal(t, len(models.Data) == 2, check)
	}
}

func BenchmarkStreamedChat(b *testing.B) {
	e := engine.New(engine.Config{})
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() { _ = e.Run(ctx) }()
	server := httptest.NewServer(e)
	defer server.Close()
	req := newRequest("hello", 32)
	req.Stream = true
	data, err := json.Marshal(req)
	assert.NilError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		resp, err := http.Post(server.URL+chatPath, "", bytes.NewReader(data))
		assert.NilError(b, err)
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
}

// Guards against an engine that accepts connections although it crashed before it began to
// serve.
func TestServeRefusesConnectionsAfterEarlierCrash(t *testing.T) {
	e := engine.New(engine.Config{RestartDelay: 200 * time.Millisecond})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	e.Crash()
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.Serve(ctx, listener) }()
	refused := false
	for e.Down() && !refused {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if refused = errors.Is(err, syscall.ECONNREFUSED); err == nil {
			assert.NilError(t, conn.Close())
		}
		sleep(time.Millisecond)
	}
	assert.Assert(t, refused)
	stop()
	assert.NilError(t, <-done)
}

func TestServeRefusesConnectionsWhileDown(t *testing.T) {
	e := engine.New(engine.Config{RestartDelay: 100 * time.Millisecond})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.Serve(ctx, listener) }()
	dial := func() error {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err == nil {
			conn.Close()
		}
		return err
	}
	assert.NilError(t, dial())
	e.Crash()
	for dial() == nil {
		sleep(time.Millisecond)
	}
	assert.Assert(t, errors.Is(dial(), syscall.ECONNREFUSED))
	for dial() != nil {
		sleep(time.Millisecond)
	}
	stop()
	assert.NilError(t, <-done)
}
