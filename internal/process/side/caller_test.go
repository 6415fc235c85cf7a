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

// caller submits chats to sidecars as a router does.
type caller struct {
	f        *fleet
	link     *link.Client
	attempts int
	// read is how much of each chat the engines have read.
	read map[ident.ChatKey]ident.Tokens
}

func (f *fleet) newCaller() *caller {
	links := link.NewClient(link.Config{Clock: clock.System{}, Caller: "caller"})
	f.t.Cleanup(func() { _ = links.Close() })
	return &caller{f: f, link: links, read: make(map[ident.ChatKey]ident.Tokens)}
}

// key names chat i.
func (c *caller) key(i int) ident.ChatKey { return c.newChat(i, 100).Key(customer, "") }

const customer = ident.CustomerName("customer-1")

// turn runs one turn at a sidecar, adds the answer to the chat and returns
// the tokens that the engine had in cache and those that it could have had.
func (c *caller) turn(n *node, request *chat.Request) (warm, prefix ident.Tokens) {
	t := c.f.t
	t.Helper()
	key := request.Key(customer, "")
	prefix = c.read[key]
	a := c.attempt(n, request)
	assert.Assert(t, a.refusal == nil, "%v", a.refusal)
	assert.Equal(t, a.end.GetOutcome(), wire.Outcome_OUTCOME_RAN)
	var response chat.Response
	assert.NilError(t, json.Unmarshal(a.body, &response), "%s", a.body)
	request.Messages = append(request.Messages, response.Choices[0].Message)
	c.read[key] = request.PromptTokens()
	return a.warm, prefix
}

// outcome is what a sidecar answered.
type outcome struct {
	refusal *wire.Refusal
	body    []byte
	warm    ident.Tokens
	end     *wire.End
}

// attempt sends one attempt to a sidecar and reads its answer.
func (c *caller) attempt(n *node, request *chat.Request) (a outcome) {
	t := c.f.t
	t.Helper()
	await(t, orderWait, "the sidecar has the records", func() bool {
		return n.follower.Confirmed() && n.follower.Set().Revision() == c.f.state.Set().Revision()
	})
	body, err := json.Marshal(request)
	assert.NilError(t, err)
	c.attempts++
	key := request.Key(customer, "")
	stream, err := c.link.Open(context.Background(), n.address, &wire.Call{
		Revision: uint64(c.f.state.Set().Revision()),
		Body: &wire.Call_Submit{Submit: &wire.Submit{
			Request: "r", Attempt: fmt.Sprintf("attempt-%p-%d", c, c.attempts), Customer: string(customer),
			Model: string(request.Model), Chat: uint64(key), Method: http.MethodPost, Path: "/v1/chat/completions",
			Body: body, PromptTokens: uint32(request.PromptTokens()), OutputTokens: uint32(request.OutputLimit()),
			PrefixTokens: uint32(c.read[key]), Final: true, TimeoutMs: 5000,
		}},
	})
	assert.NilError(t, err)
	defer func() { _ = stream.Close() }()
	for a.refusal == nil && a.end == nil {
		reply := new(wire.Reply)
		assert.NilError(t, stream.Receive(reply))
		a.refusal = reply.GetRefusal()
		a.body = append(a.body, reply.GetData()...)
		a.warm = max(a.warm, ident.Tokens(reply.GetHead().GetWarmTokens()))
		a.end = reply.GetEnd()
	}
	return a
}
