package side_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/conn/bulk"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/engine"
	"cactusline.dev/cactusline/internal/process/permit"
	"cactusline.dev/cactusline/internal/request/chat"
	"cactusline.dev/cactusline/internal/request/rank"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/record"
)

const (
	poolEngines = 4
	poolChats   = 120
	chatTokens  = 600
)

// pool is a fleet of engines and a caller that ranks them as routers do.
type pool struct {
	*fleet
	*caller
	nodes   map[ident.TargetName]*node
	engines map[ident.TargetName]*engine.Engine
	records map[ident.TargetName]*record.Target
	ranking *rank.Pool
}

func startPool(t *testing.T, rate ident.Bytes, cfg engine.Config, adjust ...func(*fleet)) *pool {
	cfg.Models = []ident.ModelName{"m"}
	p := &pool{
		fleet: newFleet(t, permit.Limit{}), nodes: make(map[ident.TargetName]*node),
		engines: make(map[ident.TargetName]*engine.Engine), records: make(map[ident.TargetName]*record.Target),
		ranking: rank.New(rank.Config{}),
	}
	p.transferRate = rate
	for _, change := range adjust {
		change(p.fleet)
	}
	p.caller = p.newCaller()
	values := []any{modelRecord("1"), &record.Route{Name: "chats", Model: "m"}}
	for i := range poolEngines {
		name := ident.TargetName(fmt.Sprintf("engine-%d", i))
		p.engines[name] = engine.New(cfg)
		p.nodes[name] = p.startSidecar(name, p.startEngine(p.engines[name], nil), listen(t))
		p.records[name] = targetOf(name, p.nodes[name].address, record.TargetModel{Name: "m"})
		values = append(values, p.records[name])
	}
	p.submit(values...)
	p.rerank("")
	return p
}

// rerank takes a leaving target out of the caller's ranking.
func (p *pool) rerank(leaving ident.TargetName) {
	var targets []rank.Target
	for name := range p.nodes {
		if name != leaving {
			targets = append(targets, rank.Target{Name: name})
		}
	}
	p.ranking.Update(targets)
}

func (p *pool) home(key ident.ChatKey) ident.TargetName {
	home, _ := p.ranking.Home(rank.Query{Now: time.Now(), Chat: key, PrefixTokens: 1})
	return home.Target
}

func (p *pool) say(request *chat.Request, text string) (warm, prefix ident.Tokens) {
	request.Messages = append(request.Messages, chat.Message{Role: chat.RoleUser, Content: chat.TextContent(text)})
	return p.turn(p.nodes[p.home(request.Key(customer, ""))], request)
}

// reuse plays two turns of each chat, has an engine depart as planned and
// returns the share of the prefixes of its chats that their next turns find
// warm elsewhere.
func (p *pool) reuse() float64 {
	const leaving = ident.TargetName("engine-0")
	var orphans []*chat.Request
	for i := range poolChats {
		request := p.newChat(i, chatTokens)
		p.turn(p.nodes[p.home(request.Key(customer, ""))], request)
		p.say(request, "and the second thing?")
		if p.home(request.Key(customer, "")) == leaving {
			orphans = append(orphans, request)
		}
	}
	p.records[leaving].Leaving = true
	p.submit(p.records[leaving])
	p.rerank(leaving)
	time.Sleep(2 * time.Second)
	var warm, prefix ident.Tokens
	for _, request := range orphans {
		w, all := p.say(request, "and the third?")
		warm += w
		prefix += all
	}
	assert.Assert(p.t, len(orphans) > poolChats/10)
	return float64(warm) / float64(prefix)
}

// TestDepartureKeepsPrefixesWarm measures the reuse after a planned departure
// with and without the transfer of prefixes.
func TestDepartureKeepsPrefixesWarm(t *testing.T) {
	t.Parallel()
	with := startPool(t, 0, engine.Config{}).reuse()
	without := startPool(t, -1, engine.Config{}).reuse()
	t.Logf("reuse after a departure: %.3f with transfer, %.3f without", with, without)
	assert.Assert(t, with > 0.9 && without < 0.05, "%.3f with transfer, %.3f without", with, without)
}

// TestHandOverEndsWithItsTime has a target leave whose time for the handing
// over has ended before the first batch.
func TestHandOverEndsWithItsTime(t *testing.T) {
	t.Parallel()
	var tried, ended atomic.Int32
	p := startPool(t, 0, engine.Config{}, func(f *fleet) {
		f.transferTimeout = time.Nanosecond
		f.logger = log.LoggerFunc(func(pairs ...any) error {
			if slices.Contains(pairs, any("prefixes not handed over")) {
				tried.Add(1)
			}
			if slices.Contains(pairs, any("prefixes handed over")) {
				ended.Add(1)
			}
			return nil
		})
	})
	const leaving = ident.TargetName("engine-0")
	for i := range poolChats / 4 {
		p.turn(p.nodes[leaving], p.newChat(i, chatTokens))
	}
	p.records[leaving].Leaving = true
	p.submit(p.records[leaving])
	await(t, orderWait, "the handing over ends", func() bool { return ended.Load() == 1 })
	assert.Equal(t, tried.Load(), int32(0))
}

// handOff is one transfer of a single chat.
type handOff struct {
	*pool
	to   ident.TargetName
	data []byte
}

const handOffChat = ident.ChatKey(7)

func newHandOff(t *testing.T) *handOff {
	h := &handOff{pool: startPool(t, 0, engine.Config{StepTime: time.Millisecond}), to: "engine-1"}
	await(t, orderWait, "the sidecar has the records", func() bool { return h.nodes[h.to].follower.Set().Revision() > 0 })
	data, err := json.Marshal([]any{map[string]any{
		"Chat": handOffChat, "Tokens": 32, "Model": "m", "Export": engine.Export{Blocks: []chat.BlockHash{1, 2}},
	}})
	assert.NilError(t, err)
	h.data = data
	return h
}

func (h *handOff) whole() *wire.Transfer {
	return &wire.Transfer{From: "x", Length: uint64(len(h.data)), Checksum: bulk.Checksum(h.data)}
}

// send announces a transfer, sends data and returns the reply, if there is to
// be one.
func (h *handOff) send(announced *wire.Transfer, data []byte) *wire.TransferReply {
	stream, err := h.link.Open(context.Background(), h.nodes[h.to].address, &wire.Call{
		Body: &wire.Call_Transfer{Transfer: announced},
	})
	assert.NilError(h.t, err)
	defer stream.Abort()
	assert.NilError(h.t, stream.Send(&wire.TransferChunk{Data: data}))
	if len(data) < int(announced.GetLength()) {
		return nil
	}
	reply := new(wire.TransferReply)
	assert.NilError(h.t, stream.Receive(reply))
	return reply
}

// wantHeld wants the tokens of the chat at the engine and in its sidecar's
// belief.
func (h *handOff) wantHeld(tokens ident.Tokens) {
	h.t.Helper()
	assert.Equal(h.t, h.nodes[h.to].CachedTokens(handOffChat), tokens)
	assert.Equal(h.t, h.engines[h.to].Load().CachedTokens, tokens)
}

// TestCutTransferChangesNothing sends transfers that end early or are not what
// they were announced to be.
func TestCutTransferChangesNothing(t *testing.T) {
	t.Parallel()
	h := newHandOff(t)
	h.send(h.whole(), h.data[:len(h.data)-1])
	changed := bytes.Replace(h.data, []byte(`"Tokens":32`), []byte(`"Tokens":16`), 1)
	assert.Equal(t, len(changed), len(h.data))
	longer := append(bytes.Clone(h.data), ' ')
	for _, wrong := range [][]byte{changed, longer} {
		assert.Assert(t, h.send(h.whole(), wrong).GetError() != "")
	}
	h.wantHeld(0)
	reply := h.send(h.whole(), h.data)
	assert.Equal(t, reply.GetChats(), uint32(1), reply.GetError())
	h.wantHeld(32)
}

// TestTransferWaitsForQueuedWork has a transfer come to a target at which work
// is queued.
func TestTransferWaitsForQueuedWork(t *testing.T) {
	t.Parallel()
	h := newHandOff(t)
	n := h.nodes[h.to]
	h.records[h.to].Capacity.Requests = 1
	h.submit(h.records[h.to])
	var work sync.WaitGroup
	for i := range 3 {
		c := h.newCaller()
		request := c.newChat(i, 100)
		request.MaxTokens = 300
		work.Go(func() { c.attempt(n, request) })
	}
	await(t, orderWait, "work is queued", func() bool { return n.Load().GetQueued() == 2 })
	replied := make(chan *wire.TransferReply, 1)
	go func() { replied <- h.send(h.whole(), h.data) }()
	queued := 0
	for len(replied) == 0 {
		held := n.CachedTokens(handOffChat)
		if load := n.Load(); load.GetQueued() > 0 {
			queued++
			assert.Assert(t, held == 0, "imported while %d are queued", load.GetQueued())
		}
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, queued > 10, "%d looks at a queue", queued)
	assert.Equal(t, (<-replied).GetChats(), uint32(1))
	work.Wait()
}
