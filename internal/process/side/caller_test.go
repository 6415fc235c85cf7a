package side_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/conn/link"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/clock"
	"cactusline.dev/cactusline/internal/request/chat"
	"cactusline.dev/cactusline/internal/version/ident"
)

// caller submits turns of chats to sidecars as a router does.
type caller struct {
	f            *fleet
	links        *link.Client
	attemptCount int
	// seenTokens is the number of tokens of each chat that engines have
	// processed.
	seenTokens map[ident.ChatKey]ident.Tokens
}

func (f *fleet) newCaller() *caller {
	links := link.NewClient(link.Config{Clock: clock.System{}, Caller: "caller"})
	f.t.Cleanup(func() { _ = links.Close() })
	return &caller{f: f, links: links, seenTokens: make(map[ident.ChatKey]ident.Tokens)}
}

// chatKey returns the key of the chat that newChat(i, 100) begins.
func (c *caller) chatKey(i int) ident.ChatKey { return c.newChat(i, 100).Key(customer, "") }

const customer = ident.CustomerName("customer-1")

// sendTurn runs one turn of a chat at a sidecar and adds the answer to the chat.
// It returns how many tokens the engine found in its cache, and how many would
// have been there had it run all earlier turns.
func (c *caller) sendTurn(sidecar *runningSidecar, request *chat.Request) (cached, cacheable ident.Tokens) {
	t := c.f.t
	t.Helper()
	key := request.Key(customer, "")
	cacheable = c.seenTokens[key]
	result := c.submitAttempt(sidecar, request)
	assert.Assert(t, result.refusal == nil, "%v", result.refusal)
	assert.Equal(t, result.end.GetOutcome(), wire.Outcome_OUTCOME_RAN)
	var response chat.Response
	assert.NilError(t, json.Unmarshal(result.body, &response), "%s", result.body)
	request.Messages = append(request.Messages, response.Choices[0].Message)
	c.seenTokens[key] = request.PromptTokens()
	return result.cachedTokens, cacheable
}

// attemptResult is a sidecar's answer to an attempt.
type attemptResult struct {
	refusal      *wire.Refusal
	body         []byte
	cachedTokens ident.Tokens
	end          *wire.End
}

// submitAttempt submits an attempt to a sidecar and reads the whole answer.
func (c *caller) submitAttempt(sidecar *runningSidecar, request *chat.Request) (result attemptResult) {
	t := c.f.t
	t.Helper()
	waitFor(t, waitTimeout, "the sidecar has the records", func() bool {
		return sidecar.follower.Confirmed() && sidecar.follower.Set().Revision() == c.f.state.Set().Revision()
	})
	body, err := json.Marshal(request)
	assert.NilError(t, err)
	c.attemptCount++
	key := request.Key(customer, "")
	stream, err := c.links.Open(context.Background(), sidecar.address, &wire.Call{
		Revision: uint64(c.f.state.Set().Revision()),
		Body: &wire.Call_Submit{Submit: &wire.Submit{
			Request: "r", Attempt: fmt.Sprintf("attempt-%p-%d", c, c.attemptCount), Customer: string(customer),
			Model: string(request.Model), Chat: uint64(key), Method: http.MethodPost, Path: "/v1/chat/completions",
			Body: body, PromptTokens: uint32(request.PromptTokens()), OutputTokens: uint32(request.OutputLimit()),
			PrefixTokens: uint32(c.seenTokens[key]), Final: true, TimeoutMs: 5000,
		}},
	})
	assert.NilError(t, err)
	defer func() { _ = stream.Close() }()
	for result.refusal == nil && result.end == nil {
		reply := new(wire.Reply)
		assert.NilError(t, stream.Receive(reply))
		result.refusal = reply.GetRefusal()
		result.body = append(result.body, reply.GetData()...)
		result.cachedTokens = max(result.cachedTokens, ident.Tokens(reply.GetHead().GetWarmTokens()))
		result.end = reply.GetEnd()
	}
	return result
}
