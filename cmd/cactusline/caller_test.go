package main_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"cactusline.dev/cactusline/internal/process/engine"
	"cactusline.dev/cactusline/internal/process/plain"
	"cactusline.dev/cactusline/internal/request/chat"
	"cactusline.dev/cactusline/internal/version/ident"
)

// Values of the Cactusline-Outcome header.
const (
	outcomeRan     = "ran"
	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown"

	headerOutcome = "Cactusline-Outcome"
	callTimeout   = 60 * time.Second
)

// reply is the response that a caller received.
type reply struct {
	status  int
	outcome string
	// text is the text of the answer (for a stream, its chunks joined), or the raw
	// body of any other response.
	text string
	// readToEnd is set if the answer was read to its end; for a stream, up to its
	// final event.
	readToEnd bool
	// errorEvent is set if a stream contained an error event.
	errorEvent bool
	entry      plain.Entry
	header     http.Header
	// err is a connection or decoding error.
	err  error
	took time.Duration
}

// caller is a client of one router.
type caller struct {
	router string
	client *http.Client
}

func newCaller(router string) *caller {
	return &caller{router: router, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// newChat returns a chat request whose answer has the given number of tokens.
func newChat(text string, tokens ident.Tokens, stream bool) *chat.Request {
	return &chat.Request{
		Model:     modelName,
		Messages:  []chat.Message{{Role: chat.RoleUser, Content: chat.TextContent(text)}},
		Stream:    stream,
		MaxTokens: tokens,
	}
}

// chat sends a chat request.
func (c *caller) chat(ctx context.Context, request *chat.Request, header http.Header) *reply {
	body, err := json.Marshal(request)
	if err != nil {
		return &reply{err: err}
	}
	return c.send(ctx, "/v1/chat/completions", body, header, func(r *reply, resp *http.Response) {
		if request.Stream && resp.StatusCode == http.StatusOK {
			r.readEvents(resp.Body)
			return
		}
		r.readAnswer(resp.Body)
	})
}

// register sends a non-repeatable request: a registration under an idempotency
// key, which must run at most once.
func (c *caller) register(ctx context.Context, key string, header http.Header) *reply {
	header = header.Clone()
	if header == nil {
		header = make(http.Header)
	}
	header.Set(plain.IdempotencyKeyHeader, key)
	return c.send(ctx, "/services/registration/bibs", []byte(registrationBody(key)), header, func(r *reply, resp *http.Response) {
		body, err := io.ReadAll(resp.Body)
		r.err = err
		if err == nil && resp.StatusCode == http.StatusCreated {
			r.err = json.Unmarshal(body, &r.entry)
		}
		r.text = string(body)
	})
}

func registrationBody(key string) string { return fmt.Sprintf(`{"Runner":%q}`, key) }

func (c *caller) send(ctx context.Context, path string, body []byte, header http.Header, read func(*reply, *http.Response)) *reply {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.router+path, bytes.NewReader(body))
	if err != nil {
		return &reply{err: err}
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.client.Do(req)
	if err != nil {
		return &reply{err: err, took: time.Since(start)}
	}
	defer resp.Body.Close()
	r := &reply{status: resp.StatusCode, header: resp.Header}
	read(r, resp)
	r.outcome = resp.Header.Get(headerOutcome)
	if r.outcome == "" {
		r.outcome = resp.Trailer.Get(headerOutcome)
	}
	r.took = time.Since(start)
	return r
}

func (r *reply) readAnswer(body io.Reader) {
	data, err := io.ReadAll(body)
	r.err = err
	r.text = string(data)
	if err != nil || r.status != http.StatusOK {
		return
	}
	var answer chat.Response
	if r.err = json.Unmarshal(data, &answer); r.err == nil && len(answer.Choices) == 1 {
		r.text = answer.Choices[0].Message.Content.Text
		r.readToEnd = true
	}
}

func (r *reply) readEvents(body io.Reader) {
	var text strings.Builder
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		event, ok := strings.CutPrefix(lines.Text(), chat.EventPrefix)
		if !ok {
			continue
		}
		if event == "[DONE]" {
			r.readToEnd = true
			continue
		}
		var chunk struct {
			chat.Chunk
			Error json.RawMessage
		}
		if err := json.Unmarshal([]byte(event), &chunk); err != nil {
			r.err = err
			break
		}
		r.errorEvent = r.errorEvent || len(chunk.Error) > 0
		for _, choice := range chunk.Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
	r.text = text.String()
	r.err = errors.Join(r.err, lines.Err())
}

// checkAnswer returns an error if the answer to a chat belongs to another request,
// contradicts its outcome, or is truncated without a visible error. An answer that
// ends in a visible error is accepted.
func (r *reply) checkAnswer(request *chat.Request) error {
	want := engine.Answer(request, request.MaxTokens)
	switch {
	case r.status != http.StatusOK && r.err == nil && r.outcome == outcomeRan:
		return fmt.Errorf("status %d with outcome ran: %s", r.status, r.text)
	case r.status != http.StatusOK:
		return nil
	case r.readToEnd && r.text != want:
		return fmt.Errorf("complete answer %.60q, want %.60q", r.text, want)
	case r.readToEnd && r.err == nil && r.outcome != outcomeRan:
		return fmt.Errorf("complete answer with outcome %q", r.outcome)
	case !strings.HasPrefix(want, r.text) && r.err == nil:
		return fmt.Errorf("answer %.60q is not a prefix of %.60q", r.text, want)
	case !r.readToEnd && r.err == nil && !r.errorEvent:
		return fmt.Errorf("answer truncated to %d of %d bytes without an error", len(r.text), len(want))
	}
	return nil
}

// complete reports whether the chat was answered correctly and in full.
func (r *reply) complete(request *chat.Request) bool {
	return r.status == http.StatusOK && r.readToEnd && r.err == nil && r.outcome == outcomeRan &&
		r.text == engine.Answer(request, request.MaxTokens)
}

// retryAfter returns how long the router asks the caller to wait before a retry.
func (r *reply) retryAfter() time.Duration {
	var refused struct {
		Error struct{ RetryAfter float64 }
	}
	_ = json.Unmarshal([]byte(r.text), &refused)
	return time.Duration(refused.Error.RetryAfter * float64(time.Second))
}

// String formats the reply for test logs.
func (r *reply) String() string {
	return fmt.Sprintf("status %d outcome %q done %v error %v after %v: %.200s", r.status, r.outcome, r.readToEnd, r.err, r.took, r.text)
}
