package engine

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"

	"cactusline.dev/cactusline/internal/request/chat"
	"cactusline.dev/cactusline/internal/version/ident"
)

// Headers that the engine reads or writes.
const (
	// RequestIDHeader carries the request ID, which the response ID repeats.
	RequestIDHeader = "X-Request-Id"
	// PriorityHeader carries an integer; requests with a higher one start
	// first.
	PriorityHeader = "X-Priority"
	// ResumeOffsetHeader carries the number of answer tokens that the caller already
	// has. The stream continues after them.
	ResumeOffsetHeader = "X-Resume-Token-Offset"
	// CachedTokensHeader carries the number of prompt tokens found in the
	// cache.
	CachedTokensHeader = "X-Cached-Tokens"
	// AnswerTokensHeader carries the number of tokens of the complete answer.
	AnswerTokensHeader = "X-Answer-Tokens"
)

// Error is the response to a request that the engine refuses.
type Error struct {
	Message string
	// Fence is the highest fencing number seen, set if the request had an older
	// one.
	Fence ident.Fence `json:",omitempty"`
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func writeError(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, Error{Message: message})
}

// intHeader parses an integer header. It returns 0 if the header is absent.
func intHeader(r *http.Request, name string) (int64, error) {
	text := r.Header.Get(name)
	if text == "" {
		return 0, nil
	}
	return strconv.ParseInt(text, 10, 32)
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	req, err := chat.Decode(r.Body, 0)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	if !e.serves(req.Model) {
		writeError(w, http.StatusNotFound, "model "+string(req.Model)+" is not loaded")
		return
	}
	if e.containsCrashMarker(req) {
		e.Crash()
		panic(http.ErrAbortHandler)
	}
	a, err := e.newAnswerWriter(w, r, req)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	e.submit(a.seq)
	defer e.cancel(a.seq)
	a.serve()
}

func (e *Engine) containsCrashMarker(req *chat.Request) bool {
	if e.cfg.CrashMarker == "" {
		return false
	}
	for _, m := range req.Messages {
		if strings.Contains(m.Content.Text, e.cfg.CrashMarker) {
			return true
		}
	}
	return false
}

// newAnswerWriter returns the writer for one request, with a new sequence.
func (e *Engine) newAnswerWriter(w http.ResponseWriter, r *http.Request, req *chat.Request) (*answerWriter, error) {
	priority, err := intHeader(r, PriorityHeader)
	if err != nil {
		return nil, errors.New(PriorityHeader + " is not an integer")
	}
	total := e.cfg.AnswerTokens
	if limit := req.OutputLimit(); limit > 0 {
		total = min(limit, maxAnswerTokens)
	}
	offset, err := intHeader(r, ResumeOffsetHeader)
	if err != nil || offset < 0 || ident.Tokens(offset) > total {
		return nil, errors.New(ResumeOffsetHeader + " is not an integer from 0 to the length of the answer")
	}
	id := r.Header.Get(RequestIDHeader)
	if id == "" {
		id = AnswerTag(req)
	}
	return &answerWriter{
		engine: e, w: w, r: r, req: req, total: total,
		id: "chatcmpl-" + id, tag: AnswerTag(req), created: e.cfg.Clock.Now().Unix(),
		sent: ident.Tokens(offset), crashed: e.crashSignal(),
		seq: &sequence{
			req: req, priority: int(priority),
			promptTokens: req.PromptTokens(), generated: ident.Tokens(offset), totalTokens: total,
			progress: make(chan struct{}, 1),
		},
	}, nil
}

func (e *Engine) serveModels(w http.ResponseWriter, _ *http.Request) {
	list := chat.ModelList{Object: "list", Data: []chat.Model{}}
	for _, name := range e.models() {
		list.Data = append(list.Data, chat.Model{ID: name, Object: "model"})
	}
	writeJSON(w, http.StatusOK, list)
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "query parameter after is not a number")
		return
	}
	now := e.cfg.Clock.Now()
	e.mu.Lock()
	list := EventList{Events: e.events.after(now, after)}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, list)
}
