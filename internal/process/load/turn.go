package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"cactusline.dev/cactusline/internal/request/chat"
)

// gapQuantile is the share of an answer's gaps between tokens that must meet the
// objective.
const gapQuantile = 0.95

// turn is one request of a chat. The first turn of a chat has number 1.
type turn struct {
	cfg    *Config
	chat   int
	number int
}

// result is the outcome of one turn and its latencies.
type result struct {
	outcome Outcome
	// cause says why a turn was refused or failed; it is empty for others.
	cause      string
	firstToken time.Duration
	tokenGaps  []time.Duration
	total      time.Duration
}

// request returns the request of the turn, which repeats the user messages
// of all earlier turns of the chat, without the answers.
func (t *turn) request() *chat.Request {
	request := &chat.Request{Model: t.cfg.Model, Stream: true, MaxTokens: t.cfg.MaxTokens}
	for number := 1; number <= t.number; number++ {
		request.Messages = append(request.Messages, chat.Message{
			Role:    chat.RoleUser,
			Content: chat.TextContent(fmt.Sprintf("chat %d-%d, turn %d", t.cfg.Seed, t.chat, number)),
		})
	}
	return request
}

// run sends the request of the turn and reads its answer.
func (t *turn) run(ctx context.Context) result {
	ctx, cancel := context.WithTimeout(ctx, t.cfg.Timeout)
	defer cancel()
	body, err := json.Marshal(t.request())
	if err != nil {
		return result{outcome: Failed, cause: err.Error()}
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, t.cfg.URL+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return result{outcome: Failed, cause: err.Error()}
	}
	request.Header.Set("Authorization", "Bearer "+t.cfg.Key)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(chat.KeyHeader, fmt.Sprintf("load-%d-%d", t.cfg.Seed, t.chat))
	start := t.cfg.Clock.Now()
	response, err := t.cfg.Client.Do(request)
	if err != nil {
		return result{outcome: Failed, cause: "no answer"}
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return classifyError(response)
	}
	return t.readStream(response, start)
}

// classifyError returns the result of an answer with an error status: Refused if
// the request did not run because of overload or a limit, and Failed otherwise.
func classifyError(response *http.Response) result {
	outcome := response.Header.Get("Cactusline-Outcome")
	cause := fmt.Sprintf("status %d, %s", response.StatusCode, outcome)
	busy := response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests
	if busy && outcome == "not-run" {
		return result{outcome: Refused, cause: cause}
	}
	return result{outcome: Failed, cause: cause}
}

// readStream reads the event stream of an answer and records the latencies of its
// tokens.
func (t *turn) readStream(response *http.Response, start time.Time) result {
	res := result{outcome: Failed, cause: "stream not ended"}
	lastToken := start
	doneLine := strings.TrimSpace(chat.DoneEvent)
	done := false
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		line := scanner.Text()
		if !strings.HasPrefix(line, chat.EventPrefix) || done {
			continue
		}
		now := t.cfg.Clock.Now()
		if line == doneLine {
			done = true
			res.total = now.Sub(start)
			continue
		}
		if res.firstToken == 0 {
			res.firstToken = now.Sub(start)
		} else {
			res.tokenGaps = append(res.tokenGaps, now.Sub(lastToken))
		}
		lastToken = now
	}
	if scanner.Err() != nil {
		res.cause = "stream broken"
	} else if done {
		res.outcome, res.cause = t.classify(res), ""
	}
	return res
}

// classify returns whether a complete answer met the objectives.
func (t *turn) classify(res result) Outcome {
	if res.firstToken > t.cfg.FirstTokenObjective {
		return Late
	}
	if len(res.tokenGaps) == 0 {
		return Served
	}
	gaps := slices.Sorted(slices.Values(res.tokenGaps))
	if gaps[int(gapQuantile*float64(len(gaps)-1))] > t.cfg.TokenGapObjective {
		return Late
	}
	return Served
}
