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

// aimedShare is the part of an answer's gaps that must be in aim.
const aimedShare = 0.95

// turn is one request of a chat.
type turn struct {
	cfg    *Config
	chat   int
	number int
}

// answer is what came of a turn.
type answer struct {
	outcome Outcome
	// cause is what a turn that was not served was told.
	cause string
	first time.Duration
	gaps  []time.Duration
	total time.Duration
}

// request returns the chat so far: a turn holds all that came before it.
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

// run sends the turn and reads its answer.
func (t *turn) run(ctx context.Context) answer {
	ctx, cancel := context.WithTimeout(ctx, t.cfg.Timeout)
	defer cancel()
	body, err := json.Marshal(t.request())
	if err != nil {
		return answer{outcome: Failed, cause: err.Error()}
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, t.cfg.URL+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return answer{outcome: Failed, cause: err.Error()}
	}
	request.Header.Set("Authorization", "Bearer "+t.cfg.Key)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(chat.KeyHeader, fmt.Sprintf("load-%d-%d", t.cfg.Seed, t.chat))
	began := t.cfg.Clock.Now()
	response, err := t.cfg.Client.Do(request)
	if err != nil {
		return answer{outcome: Failed, cause: "no answer"}
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return refusal(response)
	}
	return t.read(response, began)
}

// refusal tells a request that did not run from one that failed.
func refusal(response *http.Response) answer {
	outcome := response.Header.Get("Cactusline-Outcome")
	cause := fmt.Sprintf("status %d, %s", response.StatusCode, outcome)
	busy := response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests
	if busy && outcome == "not-run" {
		return answer{outcome: Refused, cause: cause}
	}
	return answer{outcome: Failed, cause: cause}
}

// read takes the events of an answer.
func (t *turn) read(response *http.Response, began time.Time) answer {
	a := answer{outcome: Failed, cause: "stream not ended"}
	last := began
	done := strings.TrimSpace(chat.DoneEvent)
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		line := lines.Text()
		if !strings.HasPrefix(line, chat.EventPrefix) {
			continue
		}
		now := t.cfg.Clock.Now()
		if line == done {
			a.total = now.Sub(began)
			a.outcome, a.cause = t.judge(a), ""
			return a
		}
		if a.first == 0 {
			a.first = now.Sub(began)
		} else {
			a.gaps = append(a.gaps, now.Sub(last))
		}
		last = now
	}
	return a
}

// judge reports whether a whole answer came in aim.
func (t *turn) judge(a answer) Outcome {
	if a.first > t.cfg.FirstTokenObjective {
		return Late
	}
	if len(a.gaps) == 0 {
		return Served
	}
	gaps := slices.Sorted(slices.Values(a.gaps))
	if gaps[int(aimedShare*float64(len(gaps)-1))] > t.cfg.TokenGapObjective {
		return Late
	}
	return Served
}
