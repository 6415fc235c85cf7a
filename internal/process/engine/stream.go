package engine

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"

	"cactusline.dev/cactusline/internal/request/chat"
	"cactusline.dev/cactusline/internal/version/ident"
)

// answerWriter writes the answer to one request.
type answerWriter struct {
	engine  *Engine
	w       http.ResponseWriter
	r       *http.Request
	req     *chat.Request
	seq     *sequence
	id      string
	tag     string
	created int64
	total   ident.Tokens
	// sent is the number of tokens that the caller has.
	sent    ident.Tokens
	crashed <-chan struct{}
}

// sequenceState is the state of a sequence that an answerWriter needs.
type sequenceState struct {
	started   bool
	generated ident.Tokens
	cached    ident.Tokens
}

func (a *answerWriter) state() sequenceState {
	a.engine.mu.Lock()
	defer a.engine.mu.Unlock()
	return sequenceState{started: a.seq.started, generated: a.seq.generated, cached: a.seq.cachedTokens}
}

// wait returns the state once ready accepts it, or false if the caller
// disconnects. It aborts the connection if the engine crashes.
func (a *answerWriter) wait(ready func(sequenceState) bool) (sequenceState, bool) {
	for {
		select {
		case <-a.crashed:
			panic(http.ErrAbortHandler)
		default:
		}
		if current := a.state(); ready(current) {
			return current, true
		}
		select {
		case <-a.r.Context().Done():
			return sequenceState{}, false
		case <-a.crashed:
			panic(http.ErrAbortHandler)
		case <-a.seq.progress:
		}
	}
}

func (a *answerWriter) serve() {
	initial, ok := a.wait(func(s sequenceState) bool { return s.started })
	if !ok {
		return
	}
	a.w.Header().Set(CachedTokensHeader, strconv.FormatInt(int64(initial.cached), 10))
	a.w.Header().Set(AnswerTokensHeader, strconv.FormatInt(int64(a.total), 10))
	if a.req.Stream {
		a.stream(initial.cached)
		return
	}
	if _, ok := a.wait(func(s sequenceState) bool { return s.generated == a.total }); !ok {
		return
	}
	writeJSON(a.w, http.StatusOK, chat.Response{
		ID: a.id, Object: chat.ObjectResponse, Created: a.created, Model: a.req.Model,
		Choices: []chat.Choice{{
			Message:      chat.Message{Role: chat.RoleAssistant, Content: chat.TextContent(Answer(a.req, a.total))},
			FinishReason: a.finishReason(),
		}},
		Usage: a.usage(initial.cached),
	})
}

// finishReason returns the reason why the answer ends. An answer is as long as
// the limit of its request, if there is one.
func (a *answerWriter) finishReason() string {
	if a.req.OutputLimit() > 0 {
		return chat.FinishLength
	}
	return chat.FinishStop
}

func (a *answerWriter) usage(cached ident.Tokens) chat.Usage {
	return chat.Usage{
		PromptTokens: a.seq.promptTokens, CompletionTokens: a.total, TotalTokens: a.seq.promptTokens + a.total,
		PromptTokensDetails: chat.PromptTokensDetails{CachedTokens: cached},
	}
}

// stream writes one event for each token, then the final events.
func (a *answerWriter) stream(cached ident.Tokens) {
	a.w.Header().Set("Content-Type", "text/event-stream")
	a.w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(a.w)
	_ = flusher.Flush()
	for a.sent < a.total {
		current, ok := a.wait(func(s sequenceState) bool { return s.generated > a.sent })
		if !ok {
			return
		}
		var events bytes.Buffer
		for ; a.sent < current.generated; a.sent++ {
			a.writeToken(&events)
		}
		if _, err := a.w.Write(events.Bytes()); err != nil {
			return
		}
		_ = flusher.Flush()
	}
	var events bytes.Buffer
	reason := a.finishReason()
	a.writeChunk(&events, []chat.ChunkChoice{{FinishReason: &reason}}, nil)
	if a.req.StreamOptions.IncludeUsage {
		usage := a.usage(cached)
		a.writeChunk(&events, []chat.ChunkChoice{}, &usage)
	}
	events.WriteString(chat.DoneEvent)
	_, _ = a.w.Write(events.Bytes())
}

func (a *answerWriter) writeToken(events *bytes.Buffer) {
	delta := chat.Delta{Content: tokenText(a.tag, a.sent)}
	if a.sent == 0 {
		delta.Role = chat.RoleAssistant
	}
	a.writeChunk(events, []chat.ChunkChoice{{Delta: delta}}, nil)
}

func (a *answerWriter) writeChunk(events *bytes.Buffer, choices []chat.ChunkChoice, usage *chat.Usage) {
	chunk, err := json.Marshal(chat.Chunk{
		ID: a.id, Object: chat.ObjectChunk, Created: a.created,
		Model: a.req.Model, Choices: choices, Usage: usage,
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	events.WriteString(chat.EventPrefix)
	events.Write(chunk)
	events.WriteString(chat.EventEnd)
}
