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

// Defaults of Config for the transfer of cached prefixes. The rate is in bytes
// per second.
const (
	DefaultTransferRate    ident.Bytes = 50_000_000
	DefaultTransferTimeout             = 30 * time.Second
)

const (
	// maxTransferChats limits the chats whose prefixes a leaving target
	// transfers.
	maxTransferChats = 8192
	// maxBatchChats limits the chats in one Transfer call.
	maxBatchChats = 32
	// queuePollInterval is how often a paused transfer checks whether work is
	// still queued.
	queuePollInterval = 20 * time.Millisecond
)

// exportedPrefix is the cached prefix of one chat, as transferred to another
// sidecar in JSON. Prefix.Blocks is empty, since Export holds the blocks.
type exportedPrefix struct {
	warm.Prefix
	Export engine.Export
}

// transferBatch holds the prefixes that one Transfer call sends, and the target
// that receives them.
type transferBatch struct {
	receiver *record.Target
	prefixes []warm.Prefix
}

// outgoingTransfer controls the transfer of prefixes to other targets while this
// target leaves. In its zero value no transfer runs.
type outgoingTransfer struct {
	mu     sync.Mutex
	cancel context.CancelFunc
}

// stop cancels the transfer, if one runs.
func (t *outgoingTransfer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cancel != nil {
		t.cancel()
		t.cancel = nil
	}
}

// newContext returns the context of a new transfer. It cancels the previous one.
func (t *outgoingTransfer) newContext(ctx context.Context, timeout time.Duration) context.Context {
	t.stop()
	t.mu.Lock()
	defer t.mu.Unlock()
	ctx, t.cancel = context.WithTimeout(ctx, timeout)
	return ctx
}

// updateTransfer starts the transfer of prefixes when the target begins to leave,
// and stops it when the target no longer leaves. A sidecar that only stops
// starts no transfer, because its target keeps running.
func (s *Sidecar) updateTransfer(wasLeaving, leaving bool) {
	switch {
	case !leaving:
		s.transfer.stop()
	case !wasLeaving && !s.stopping.Load() && s.cfg.TransferRate > 0:
		go s.transferPrefixes(s.transfer.newContext(s.ctx, s.cfg.TransferTimeout))
	}
}

// transferPrefixes sends cached prefixes, those of the most recently used chats
// first, to the targets to which routers will send these chats from now on.
func (s *Sidecar) transferPrefixes(ctx context.Context) {
	limiter := &bulk.Limiter{Clock: s.cfg.Clock, Rate: s.cfg.TransferRate}
	sent, failed := 0, 0
	for _, batch := range s.transferBatches() {
		if ctx.Err() != nil {
			failed += len(batch.prefixes)
			continue
		}
		imported, err := s.sendBatch(ctx, limiter, batch)
		sent += imported
		if err != nil {
			failed += len(batch.prefixes) - imported
			_ = level.Warn(s.cfg.Logger).Log("msg", "prefix transfer failed", "target", s.cfg.TargetName, "to", batch.receiver.Name, "err", err)
		}
	}
	_ = level.Info(s.cfg.Logger).Log("msg", "prefix transfer finished", "target", s.cfg.TargetName, "chats", sent, "failed", failed)
}

// transferBatches groups the prefixes of the most recently used chats by their
// successors, the targets that will be the homes of the chats once this target
// has left.
func (s *Sidecar) transferBatches() []*transferBatch {
	f := s.follower.Load()
	if f == nil {
		return nil
	}
	successors := &successorFinder{set: f.Set(), self: s.cfg.TargetName, now: s.cfg.Clock.Now(), pools: make(map[string]*rank.Pool)}
	openBatches := make(map[ident.TargetName]*transferBatch)
	var batches []*transferBatch
	for _, prefix := range s.cachedPrefixes.MostRecent(maxTransferChats) {
		successor := successors.find(prefix)
		if successor == nil || len(prefix.Blocks) == 0 {
			continue
		}
		batch := openBatches[successor.Name]
		if batch == nil || len(batch.prefixes) == maxBatchChats {
			batch = &transferBatch{receiver: successor}
			openBatches[successor.Name] = batch
			batches = append(batches, batch)
		}
		batch.prefixes = append(batch.prefixes, prefix)
	}
	return batches
}

// successorFinder finds the successors of a leaving target.
type successorFinder struct {
	set   *record.Set
	self  ident.TargetName
	now   time.Time
	pools map[string]*rank.Pool
}

// find returns the target that will be the home of a chat once self has left, or
// nil if there is none.
func (f *successorFinder) find(prefix warm.Prefix) *record.Target {
	route, ok := f.set.ModelRoute(prefix.Customer, prefix.Model)
	if !ok {
		return nil
	}
	pool := f.pools[route.Name]
	if pool == nil {
		pool = rank.New(rank.Config{})
		pool.Update(f.remainingTargets(route))
		f.pools[route.Name] = pool
	}
	home, ok := pool.Home(rank.Query{Now: f.now, Chat: prefix.Chat, PrefixTokens: prefix.Tokens})
	if !ok {
		return nil
	}
	target, _ := f.set.Target(home.Target)
	return target
}

// remainingTargets returns the targets of a route except the leaving one.
func (f *successorFinder) remainingTargets(route *record.Route) []rank.Target {
	var targets []rank.Target
	for _, target := range f.set.Candidates(route) {
		if target.Name != f.self {
			targets = append(targets, rank.Target{Name: target.Name, Domain: target.Domain})
		}
	}
	return targets
}

// sendBatch exports the prefixes of a batch and sends them to its receiver. It
// returns how many of them the receiver imported.
func (s *Sidecar) sendBatch(ctx context.Context, limiter *bulk.Limiter, batch *transferBatch) (int, error) {
	exported, err := s.exportPrefixes(ctx, batch.prefixes)
	if err != nil || len(exported) == 0 {
		return 0, err
	}
	data, err := json.Marshal(exported)
	if err != nil {
		return 0, fmt.Errorf("encode prefixes: %w", err)
	}
	stream, err := s.cfg.Link.Open(ctx, batch.receiver.Address, &wire.Call{
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
	if err := bulk.Send(ctx, stream, limiter, data); err != nil {
		return 0, err
	}
	reply := new(wire.TransferReply)
	if err := stream.Receive(reply); err != nil {
		return 0, fmt.Errorf("receive transfer reply: %w", err)
	}
	imported := exported[:min(len(exported), int(reply.GetChats()))]
	for _, prefix := range imported {
		s.admission.RecordChatLocation(s.cfg.Clock.Now(), prefix.Chat, admit.ChatLocation{Target: batch.receiver.Name, Tokens: prefix.Tokens})
	}
	if reply.GetError() != "" {
		return len(imported), errors.New(reply.GetError())
	}
	return len(imported), nil
}

// exportPrefixes exports from the engine the parts of the prefixes that are still
// cached. It pauses while work is queued, so as not to delay requests.
func (s *Sidecar) exportPrefixes(ctx context.Context, prefixes []warm.Prefix) ([]exportedPrefix, error) {
	exported := make([]exportedPrefix, 0, len(prefixes))
	for _, prefix := range prefixes {
		if err := s.waitForEmptyQueue(ctx); err != nil {
			return nil, err
		}
		var export engine.Export
		request := engine.ExportRequest{Blocks: prefix.Blocks}
		if err := s.target.exchangeJSON(ctx, http.MethodPost, "/cache/export", request, &export); err != nil {
			return nil, fmt.Errorf("export prefix: %w", err)
		}
		export.Blocks = commonPrefix(prefix.Blocks, export.Blocks)
		if len(export.Blocks) == 0 {
			continue
		}
		prefix.Tokens = ident.Tokens(len(export.Blocks)) * chat.BlockTokens
		prefix.Blocks = nil
		exported = append(exported, exportedPrefix{Prefix: prefix, Export: export})
	}
	return exported, nil
}

// commonPrefix returns the longest list of blocks with which both a and b begin.
func commonPrefix(a, b []chat.BlockHash) []chat.BlockHash {
	n := 0
	for n < min(len(a), len(b)) && a[n] == b[n] {
		n++
	}
	return b[:n]
}

// waitForEmptyQueue waits until no work is queued. It returns an error if ctx
// ends.
func (s *Sidecar) waitForEmptyQueue(ctx context.Context) error {
	for s.admission.Load().Queued > 0 {
		if err := s.cfg.Clock.Sleep(ctx, queuePollInterval); err != nil {
			return fmt.Errorf("wait for an empty queue: %w", err)
		}
	}
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("wait for an empty queue: %w", err)
	}
	return nil
}

// maxTransferBytes limits the data of one Transfer call.
const maxTransferBytes = 256 << 20

// serveTransfer imports the prefixes that a leaving target sends, and replies how
// many were imported. Nothing is imported unless all data has arrived with the
// announced length and checksum.
func (s *Sidecar) serveTransfer(ctx context.Context, transfer *wire.Transfer, stream transferStream) {
	count, err := s.importTransfer(ctx, transfer, stream)
	reply := &wire.TransferReply{Chats: uint32(count)}
	if err != nil {
		reply.Error = err.Error()
		_ = level.Warn(s.cfg.Logger).Log("msg", "prefix import failed", "target", s.cfg.TargetName, "from", transfer.GetFrom(), "err", err)
	}
	_ = stream.Send(reply)
}

// transferStream is the stream of a Transfer call.
type transferStream interface {
	bulk.Sender
	bulk.Receiver
}

// importTransfer receives and imports prefixes in the order in which they were
// sent. It returns how many were imported.
func (s *Sidecar) importTransfer(ctx context.Context, transfer *wire.Transfer, stream transferStream) (int, error) {
	if s.leaving.Load() || s.down.Load() || transfer.GetLength() > maxTransferBytes {
		return 0, errors.New("target is leaving or down, or the transfer is too large")
	}
	data, err := bulk.Receive(stream, transfer.GetLength(), transfer.GetChecksum())
	if err != nil {
		return 0, err
	}
	var prefixes []exportedPrefix
	if err := json.Unmarshal(data, &prefixes); err != nil {
		return 0, fmt.Errorf("decode prefixes: %w", err)
	}
	for i, prefix := range prefixes {
		if err := s.importPrefix(ctx, prefix); err != nil {
			return i, err
		}
	}
	return len(prefixes), nil
}

// importPrefix imports one prefix into the engine's cache, unless at least as
// many of its tokens are estimated to be there already.
func (s *Sidecar) importPrefix(ctx context.Context, prefix exportedPrefix) error {
	if s.cachedPrefixes.CachedTokens(prefix.Chat) >= prefix.Tokens {
		return nil
	}
	if err := s.waitForEmptyQueue(ctx); err != nil {
		return err
	}
	var result engine.ImportResult
	if err := s.target.exchangeJSON(ctx, http.MethodPost, "/cache/import", prefix.Export, &result); err != nil {
		return fmt.Errorf("import prefix: %w", err)
	}
	prefix.Blocks = slices.Clone(prefix.Export.Blocks)
	s.cachedPrefixes.Put(prefix.Prefix)
	s.admission.RecordChatLocation(s.cfg.Clock.Now(), prefix.Chat, admit.ChatLocation{Target: s.cfg.TargetName, Tokens: prefix.Tokens})
	return nil
}
