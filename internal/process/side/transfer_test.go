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

// enginePool is a fleet with engines in one pool, and a caller that ranks them as
// routers do.
type enginePool struct {
	*fleet
	*caller
	sidecars map[ident.TargetName]*runningSidecar
	engines  map[ident.TargetName]*engine.Engine
	records  map[ident.TargetName]*record.Target
	ranking  *rank.Pool
}

func startPool(t *testing.T, rate ident.Bytes, cfg engine.Config, adjust ...func(*fleet)) *enginePool {
	cfg.Models = []ident.ModelName{"m"}
	p := &enginePool{
		fleet: newFleet(t, permit.Limit{}), sidecars: make(map[ident.TargetName]*runningSidecar),
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
		p.sidecars[name] = p.startSidecar(name, p.startEngine(p.engines[name], nil), listen(t))
		p.records[name] = targetRecord(name, p.sidecars[name].address, record.TargetModel{Name: "m"})
		values = append(values, p.records[name])
	}
	p.applyRecords(values...)
	p.updateRanking("")
	return p
}

// updateRanking sets the caller's ranking to all targets except a leaving one.
func (p *enginePool) updateRanking(leaving ident.TargetName) {
	var targets []rank.Target
	for name := range p.sidecars {
		if name != leaving {
			targets = append(targets, rank.Target{Name: name})
		}
	}
	p.ranking.Update(targets)
}

func (p *enginePool) homeOf(key ident.ChatKey) ident.TargetName {
	home, _ := p.ranking.Home(rank.Query{Now: time.Now(), Chat: key, PrefixTokens: 1})
	return home.Target
}

func (p *enginePool) continueChat(request *chat.Request, text string) (cached, cacheable ident.Tokens) {
	request.Messages = append(request.Messages, chat.Message{Role: chat.RoleUser, Content: chat.TextContent(text)})
	return p.sendTurn(p.sidecars[p.homeOf(request.Key(customer, ""))], request)
}

// measureReuse runs two turns of each chat and then makes one target leave. It
// returns the share of the prefix tokens of that target's chats that their next
// turns find cached at other targets.
func (p *enginePool) measureReuse() float64 {
	const leaving = ident.TargetName("engine-0")
	var displaced []*chat.Request
	for i := range poolChats {
		request := p.newChat(i, chatTokens)
		p.sendTurn(p.sidecars[p.homeOf(request.Key(customer, ""))], request)
		p.continueChat(request, "and the second thing?")
		if p.homeOf(request.Key(customer, "")) == leaving {
			displaced = append(displaced, request)
		}
	}
	p.records[leaving].Leaving = true
	p.applyRecords(p.records[leaving])
	p.updateRanking(leaving)
	time.Sleep(2 * time.Second)
	var totalCached, totalCacheable ident.Tokens
	for _, request := range displaced {
		cached, cacheable := p.continueChat(request, "and the third?")
		totalCached += cached
		totalCacheable += cacheable
	}
	assert.Assert(p.t, len(displaced) > poolChats/10)
	return float64(totalCached) / float64(totalCacheable)
}

// TestDepartureTransfersPrefixes guards against the loss of cached prefixes when
// a target leaves. It compares their reuse with and without the transfer.
func TestDepartureTransfersPrefixes(t *testing.T) {
	t.Parallel()
	with := startPool(t, 0, engine.Config{}).measureReuse()
	without := startPool(t, -1, engine.Config{}).measureReuse()
	t.Logf("reuse after a departure: %.3f with transfer, %.3f without", with, without)
	assert.Assert(t, with > 0.9 && without < 0.05, "%.3f with transfer, %.3f without", with, without)
}

// TestTransferStopsAtTimeout guards against a transfer that goes on after its
// timeout. The timeout ends before the first batch, so no batch may be tried.
func TestTransferStopsAtTimeout(t *testing.T) {
	t.Parallel()
	var failedBatches, finishedTransfers atomic.Int32
	p := startPool(t, 0, engine.Config{}, func(f *fleet) {
		f.transferTimeout = time.Nanosecond
		f.logger = log.LoggerFunc(func(pairs ...any) error {
			if slices.Contains(pairs, any("prefix transfer failed")) {
				failedBatches.Add(1)
			}
			if slices.Contains(pairs, any("prefix transfer finished")) {
				finishedTransfers.Add(1)
			}
			return nil
		})
	})
	const leaving = ident.TargetName("engine-0")
	for i := range poolChats / 4 {
		p.sendTurn(p.sidecars[leaving], p.newChat(i, chatTokens))
	}
	p.records[leaving].Leaving = true
	p.applyRecords(p.records[leaving])
	waitFor(t, waitTimeout, "the transfer ends", func() bool { return finishedTransfers.Load() == 1 })
	assert.Equal(t, failedBatches.Load(), int32(0))
}

// singleTransfer is a Transfer call with the prefix of a single chat.
type singleTransfer struct {
	*enginePool
	receiver ident.TargetName
	data     []byte
}

const transferredChat = ident.ChatKey(7)

func newSingleTransfer(t *testing.T) *singleTransfer {
	s := &singleTransfer{enginePool: startPool(t, 0, engine.Config{StepTime: time.Millisecond}), receiver: "engine-1"}
	waitFor(t, waitTimeout, "the sidecar has the records", func() bool { return s.sidecars[s.receiver].follower.Set().Revision() > 0 })
	data, err := json.Marshal([]any{map[string]any{
		"Chat": transferredChat, "Tokens": 32, "Model": "m", "Export": engine.Export{Blocks: []chat.BlockHash{1, 2}},
	}})
	assert.NilError(t, err)
	s.data = data
	return s
}

func (s *singleTransfer) announcement() *wire.Transfer {
	return &wire.Transfer{From: "x", Length: uint64(len(s.data)), Checksum: bulk.Checksum(s.data)}
}

// send announces a transfer, sends data and returns the reply. It returns nil if
// data is shorter than announced.
func (s *singleTransfer) send(announced *wire.Transfer, data []byte) *wire.TransferReply {
	stream, err := s.links.Open(context.Background(), s.sidecars[s.receiver].address, &wire.Call{
		Body: &wire.Call_Transfer{Transfer: announced},
	})
	assert.NilError(s.t, err)
	defer stream.Abort()
	assert.NilError(s.t, stream.Send(&wire.TransferChunk{Data: data}))
	if len(data) < int(announced.GetLength()) {
		return nil
	}
	reply := new(wire.TransferReply)
	assert.NilError(s.t, stream.Receive(reply))
	return reply
}

// assertCachedTokens checks the number of cached tokens of the chat, as estimated
// by the sidecar and as held by the engine.
func (s *singleTransfer) assertCachedTokens(tokens ident.Tokens) {
	s.t.Helper()
	assert.Equal(s.t, s.sidecars[s.receiver].EstimatedCachedTokens(transferredChat), tokens)
	assert.Equal(s.t, s.engines[s.receiver].Load().CachedTokens, tokens)
}

// TestInvalidTransferImportsNothing guards against the import of data that is cut
// off, changed or longer than announced.
func TestInvalidTransferImportsNothing(t *testing.T) {
	t.Parallel()
	s := newSingleTransfer(t)
	s.send(s.announcement(), s.data[:len(s.data)-1])
	changed := bytes.Replace(s.data, []byte(`"Tokens":32`), []byte(`"Tokens":16`), 1)
	assert.Equal(t, len(changed), len(s.data))
	longer := append(bytes.Clone(s.data), ' ')
	for _, wrong := range [][]byte{changed, longer} {
		assert.Assert(t, s.send(s.announcement(), wrong).GetError() != "")
	}
	s.assertCachedTokens(0)
	reply := s.send(s.announcement(), s.data)
	assert.Equal(t, reply.GetChats(), uint32(1), reply.GetError())
	s.assertCachedTokens(32)
}

// TestTransferWaitsForEmptyQueue guards against an import that delays requests. A
// transfer arrives at a target at which work is queued.
func TestTransferWaitsForEmptyQueue(t *testing.T) {
	t.Parallel()
	s := newSingleTransfer(t)
	sidecar := s.sidecars[s.receiver]
	s.records[s.receiver].Capacity.Requests = 1
	s.applyRecords(s.records[s.receiver])
	var work sync.WaitGroup
	for i := range 3 {
		c := s.newCaller()
		request := c.newChat(i, 100)
		request.MaxTokens = 300
		work.Go(func() { c.submitAttempt(sidecar, request) })
	}
	waitFor(t, waitTimeout, "work is queued", func() bool { return sidecar.Load().GetQueued() == 2 })
	replied := make(chan *wire.TransferReply, 1)
	go func() { replied <- s.send(s.announcement(), s.data) }()
	queuedChecks := 0
	for len(replied) == 0 {
		cached := sidecar.EstimatedCachedTokens(transferredChat)
		if load := sidecar.Load(); load.GetQueued() > 0 {
			queuedChecks++
			assert.Assert(t, cached == 0, "imported while %d attempts are queued", load.GetQueued())
		}
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, queuedChecks > 10, "only %d checks while work was queued", queuedChecks)
	assert.Equal(t, (<-replied).GetChats(), uint32(1))
	work.Wait()
}
