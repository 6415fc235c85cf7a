package side

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"cactusline.dev/cactusline/internal/conn/bulk"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/engine"
	"cactusline.dev/cactusline/internal/request/admit"
	"cactusline.dev/cactusline/internal/request/chat"
	"cactusline.dev/cactusline/internal/request/rank"
	"cactusline.dev/cactusline/internal/request/warm"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/record"
)

// Defaults of the transfer of prefixes.
const (
	DefaultTransferRate    ident.Bytes = 50_000_000
	DefaultTransferTimeout             = 30 * time.Second
)

const (
	// transferChats bounds the chats that a leaving target hands over.
	transferChats = 8192
	// batchChats bounds the chats of one transfer.
	batchChats = 32
	// queuePause is how long a transfer stands still while work is queued.
	queuePause = 20 * time.Millisecond
)

// movedPrefix is one chat's prefix in a transfer. The blocks of the prefix are
// those of the export.
type movedPrefix struct {
	warm.Prefix
	Export engine.Export
}

// batch is what one transfer hands to one target.
type batch struct {
	to       *record.Target
	prefixes []warm.Prefix
}

// departure is the handing over of prefixes while the target leaves. Its zero
// value is idle.
type departure struct {
	mu     sync.Mutex
	cancel context.CancelFunc
}

// stop ends the handing over.
func (d *departure) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cancel != nil {
		d.cancel()
		d.cancel = nil
	}
}

// begin returns the context of a new handing over.
func (d *departure) begin(ctx context.Context, timeout time.Duration) context.Context {
	d.stop()
	d.mu.Lock()
	defer d.mu.Unlock()
	ctx, d.cancel = context.WithTimeout(ctx, timeout)
	return ctx
}

// depart starts or ends the handing over when the target starts or ends to
// leave. A sidecar that stops hands over nothing: its target stays.
func (s *Sidecar) depart(was, leaving bool) {
	switch {
	case !leaving:
		s.departing.stop()
	case !was && !s.stopping.Load() && s.cfg.TransferRate > 0:
		go s.handOver(s.departing.begin(s.life, s.cfg.TransferTimeout))
	}
}

// handOver sends the prefixes of the chats, the hottest first, to the targets
// to which routers will send the chats.
func (s *Sidecar) handOver(ctx context.Context) {
	pace := &bulk.Limiter{Clock: s.cfg.Clock, Rate: s.cfg.TransferRate}
	sent, failed := 0, 0
	for _, b := range s.batches() {
		if ctx.Err() != nil {
			failed += len(b.prefixes)
			continue
		}
		count, err := s.sendBatch(ctx, pace, b)
		sent += count
		if err != nil {
			failed += len(b.prefixes) - count
			_ = level.Warn(s.cfg.Logger).Log("msg", "prefixes not handed over", "target", s.cfg.TargetName, "to", b.to.Name, "err", err)
		}
	}
	_ = level.Info(s.cfg.Logger).Log("msg", "prefixes handed over", "target", s.cfg.TargetName, "chats", sent, "failed", failed)
}

// batches groups the hottest chats by the target that is next in rank.
func (s *Sidecar) batches() []*batch {
	f := s.follower.Load()
	if f == nil {
		return nil
	}
	next := &successors{set: f.Set(), self: s.cfg.TargetName, now: s.cfg.Clock.Now(), pools: make(map[string]*rank.Pool)}
	filling := make(map[ident.TargetName]*batch)
	var batches []*batch
	for _, prefix := range s.warm.MostRecent(transferChats) {
		to := next.of(prefix)
		if to == nil || len(prefix.Blocks) == 0 {
			continue
		}
		b := filling[to.Name]
		if b == nil || len(b.prefixes) == batchChats {
			b = &batch{to: to}
			filling[to.Name] = b
			batches = append(batches, b)
		}
		b.prefixes = append(b.prefixes, prefix)
	}
	return batches
}

// successors finds the target to which routers send a chat once this one has
// left.
type successors struct {
	set   *record.Set
	self  ident.TargetName
	now   time.Time
	pools map[string]*rank.Pool
}

// of returns the target next in rank for a chat, nil if there is none.
func (n *successors) of(prefix warm.Prefix) *record.Target {
	route, ok := n.set.ModelRoute(prefix.Customer, prefix.Model)
	if !ok {
		return nil
	}
	pool := n.pools[route.Name]
	if pool == nil {
		pool = rank.New(rank.Config{})
		pool.Update(n.rest(route))
		n.pools[route.Name] = pool
	}
	home, ok := pool.Home(rank.Query{Now: n.now, Chat: prefix.Chat, PrefixTokens: prefix.Tokens})
	if !ok {
		return nil
	}
	target, _ := n.set.Target(home.Target)
	return target
}

// rest returns the targets of a route without the leaving one.
func (n *successors) rest(route *record.Route) []rank.Target {
	var targets []rank.Target
	for _, target := range n.set.Candidates(route) {
		if target.Name != n.self {
			targets = append(targets, rank.Target{Name: target.Name, Domain: target.Domain})
		}
	}
	return targets
}

// sendBatch exports the prefixes of a batch and hands them over. It returns
// how many the other target has taken.
func (s *Sidecar) sendBatch(ctx context.Context, pace *bulk.Limiter, b *batch) (int, error) {
	moved, err := s.export(ctx, b.prefixes)
	if err != nil || len(moved) == 0 {
		return 0, err
	}
	data, err := json.Marshal(moved)
	if err != nil {
		return 0, fmt.Errorf("encode prefixes: %w", err)
	}
	stream, err := s.cfg.Link.Open(ctx, b.to.Address, &wire.Call{
		Revision: uint64(s.revision()),
		Body: &wire.Call_Transfer{Transfer: &wire.Transfer{
			From: string(s.cfg.TargetName), Length: uint64(len(data)), Checksum: bulk.Checksum(data),
		}},
	})
	if err != nil {
		return 0, fmt.Errorf("open transfer: %w", err)
	}
	defer func() { _ = stream.Close() }()
	stop := s.cfg.Link.Guard(ctx, stream)
	defer stop()
	if err := bulk.Send(ctx, stream, pace, data); err != nil {
		return 0, err
	}
	reply := new(wire.TransferReply)
	if err := stream.Receive(reply); err != nil {
		return 0, fmt.Errorf("await transfer: %w", err)
	}
	taken := moved[:min(len(moved), int(reply.GetChats()))]
	for _, m := range taken {
		s.admitted.RecordChatLocation(s.cfg.Clock.Now(), m.Chat, admit.ChatLocation{Target: b.to.Name, Tokens: m.Tokens})
	}
	if reply.GetError() != "" {
		return len(taken), errors.New(reply.GetError())
	}
	return len(taken), nil
}

// export asks the engine for what it still holds of the prefixes, between
// requests: it pauses while work is queued.
func (s *Sidecar) export(ctx context.Context, prefixes []warm.Prefix) ([]movedPrefix, error) {
	moved := make([]movedPrefix, 0, len(prefixes))
	for _, prefix := range prefixes {
		if err := s.awaitQuiet(ctx); err != nil {
			return nil, err
		}
		var export engine.Export
		ask := engine.ExportRequest{Blocks: prefix.Blocks}
		if err := s.target.exchange(ctx, http.MethodPost, "/cache/export", ask, &export); err != nil {
			return nil, fmt.Errorf("export prefix: %w", err)
		}
		export.Blocks = commonPrefix(prefix.Blocks, export.Blocks)
		if len(export.Blocks) == 0 {
			continue
		}
		prefix.Tokens = ident.Tokens(len(export.Blocks)) * chat.BlockTokens
		prefix.Blocks = nil
		moved = append(moved, movedPrefix{Prefix: prefix, Export: export})
	}
	return moved, nil
}

// commonPrefix returns the blocks with which both lists begin.
func commonPrefix(a, b []chat.BlockHash) []chat.BlockHash {
	n := 0
	for n < min(len(a), len(b)) && a[n] == b[n] {
		n++
	}
	return b[:n]
}

// awaitQuiet returns once no work is queued.
func (s *Sidecar) awaitQuiet(ctx context.Context) error {
	for s.admitted.Load().Queued > 0 {
		if err := s.cfg.Clock.Sleep(ctx, queuePause); err != nil {
			return fmt.Errorf("wait for the queue: %w", err)
		}
	}
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("transfer: %w", err)
	}
	return nil
}

// maxTransferBytes bounds one transfer.
const maxTransferBytes = 256 << 20

// takeTransfer imports what a leaving target hands over. Nothing is imported
// unless all of it has come as it was announced.
func (s *Sidecar) takeTransfer(ctx context.Context, transfer *wire.Transfer, stream bulkStream) {
	count, err := s.receive(ctx, transfer, stream)
	reply := &wire.TransferReply{Chats: uint32(count)}
	if err != nil {
		reply.Error = err.Error()
		_ = level.Warn(s.cfg.Logger).Log("msg", "prefixes not taken", "target", s.cfg.TargetName, "from", transfer.GetFrom(), "err", err)
	}
	_ = stream.Send(reply)
}

// bulkStream is the stream of a transfer.
type bulkStream interface {
	bulk.Sender
	bulk.Receiver
}

// receive returns how many of the prefixes were imported, in their order.
func (s *Sidecar) receive(ctx context.Context, transfer *wire.Transfer, stream bulkStream) (int, error) {
	if s.leaving.Load() || s.down.Load() || transfer.GetLength() > maxTransferBytes {
		return 0, errors.New("the target takes no transfer")
	}
	data, err := bulk.Receive(stream, transfer.GetLength(), transfer.GetChecksum())
	if err != nil {
		return 0, err
	}
	var moved []movedPrefix
	if err := json.Unmarshal(data, &moved); err != nil {
		return 0, fmt.Errorf("decode prefixes: %w", err)
	}
	for i, m := range moved {
		if err := s.take(ctx, m); err != nil {
			return i, err
		}
	}
	return len(moved), nil
}

// take imports one prefix, unless as much of it is here already.
func (s *Sidecar) take(ctx context.Context, m movedPrefix) error {
	if s.warm.CachedTokens(m.Chat) >= m.Tokens {
		return nil
	}
	if err := s.awaitQuiet(ctx); err != nil {
		return err
	}
	var result engine.ImportResult
	if err := s.target.exchange(ctx, http.MethodPost, "/cache/import", m.Export, &result); err != nil {
		return fmt.Errorf("import prefix: %w", err)
	}
	m.Blocks = slices.Clone(m.Export.Blocks)
	s.warm.Put(m.Prefix)
	s.admitted.RecordChatLocation(s.cfg.Clock.Now(), m.Chat, admit.ChatLocation{Target: s.cfg.TargetName, Tokens: m.Tokens})
	return nil
}
