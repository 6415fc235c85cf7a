package engine

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"

	"cactusline.dev/cactusline/internal/request/chat"
	"cactusline.dev/cactusline/internal/version/ident"
)

// answer writes the answer to one request.
type answer struct {
	engine  *Engine
	w       http.ResponseWriter
	r       *http.Request
	req     *chat.Request
	seq     *sequence
	id      string
	mark    string
	created int64
	total   ident.Tokens
	// sent is the count of tokens that the caller has.
	sent ident.Tokens
	over <-chan struct{}
}

// state is what an answer needs to know of its sequence.
type state struct {
	started bool
	made    ident.Tokens
	cached  ident.Tokens
}

func (a *answer) state() state {
	a.engine.mu.Lock()
	defer a.engine.mu.Unlock()
	return state{started: a.seq.started, made: a.seq.made, cached: a.seq.cached}
}

// wait returns the state once ready says so, or false if the caller is gone.
// It breaks the connection if the engine crashes.
func (a *answer) wait(ready func(state) bool) (state, bool) {
	for {
		select {
		case <-a.over:
			panic(http.ErrAbortHandler)
		default:
		}
		if now := a.state(); ready(now) {
			return now, true
		}
		select {
		case <-a.r.Context().Done():
			return state{}, false
		case <-a.over:
			panic(http.ErrAbortHandler)
		case <-a.seq.progress:
		}
	}
}

func (a *answer) serve() {
	begun, here := a.wait(func(s state) bool { return s.started })
	if !here {
		return
	}
	a.w.Header().Set(CachedTokensHeader, strconv.FormatInt(int64(begun.cached), 10))
	a.w.Header().Set(TotalHeader, strconv.FormatInt(int64(a.total), 10))
	if a.req.Stream {
		a.stream(begun.cached)
		return
	}
	if _, here := a.wait(func(s state) bool { return s.made == a.total }); !here {
		return
	}
	writeJSON(a.w, http.StatusOK, chat.Response{
		ID: a.id, Object: chat.ObjectResponse, Created: a.created, Model: a.req.Model,
		Choices: []chat.Choice{{
			Message:      chat.Message{Role: chat.RoleAssistant, Content: chat.TextContent(Answer(a.req, a.total))},
			FinishReason: a.finishReason(),
		}},
		Usage: a.usage(begun.cached),
	})
}

func (a *answer) finishReason() string {
	if a.req.OutputLimit() > 0 {
		return chat.FinishLength
	}
	return chat.FinishStop
}

func (a *answer) usage(cached ident.Tokens) chat.Usage {
	return chat.Usage{
		PromptTokens: a.seq.prompt, CompletionTokens: a.total, TotalTokens: a.seq.prompt + a.total,
		PromptTokensDetails: chat.PromptTokensDetails{CachedTokens: cached},
	}
}

// stream writes one event for each token, then the last ones.
func (a *answer) stream(cached ident.Tokens) {
	a.w.Header().Set("Content-Type", "text/event-stream")
	a.w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(a.w)
	_ = flusher.Flush()
	for a.sent < a.total {
		now, here := a.wait(func(s state) bool { return s.made > a.sent })
		if !here {
			return
		}
		var events bytes.Buffer
		for ; a.sent < now.made; a.sent++ {
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

func (a *answer) writeToken(events *bytes.Buffer) {
	delta := chat.Delta{Content: word(a.mark, a.sent)}
	if a.sent == 0 {
		delta.Role = chat.RoleAssistant
	}
	a.writeChunk(events, []chat.ChunkChoice{{Delta: delta}}, nil)
}

func (a *answer) writeChunk(events *bytes.Buffer, choices []chat.ChunkChoice, usage *chat.Usage) {
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
