package side

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/go-kit/log/level"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/engine"
	"cactusline.dev/cactusline/internal/request/chat"
	"cactusline.dev/cactusline/internal/request/warm"
	"cactusline.dev/cactusline/internal/version/ident"
)

// cacheEventInterval is how often the engine's cache events are read.
const cacheEventInterval = time.Second

// parseCachedTokens returns how many prompt tokens the engine found in its cache,
// as the response header reports. It returns false if the header is missing or
// invalid.
func parseCachedTokens(resp *http.Response) (ident.Tokens, bool) {
	tokens, err := strconv.ParseUint(resp.Header.Get(engine.CachedTokensHeader), 10, 32)
	return ident.Tokens(tokens), err == nil
}

// recordCachedPrefix updates what is known of the cached prefix of a chat after
// one of its runs has ended.
func (s *Sidecar) recordCachedPrefix(submit *wire.Submit, r *run) {
	prefix := warm.Prefix{
		Chat:     ident.ChatKey(submit.GetChat()),
		Tokens:   ident.Tokens(submit.GetPromptTokens()) + ident.Tokens(submit.GetOutputTokens()),
		Customer: ident.CustomerName(submit.GetCustomer()),
		Model:    ident.ModelName(submit.GetModel()),
	}
	if request, err := chat.Parse(submit.GetBody()); err == nil {
		prefix.Blocks = chat.BlockHashes(request.Model, request.Messages)
	}
	if r.cachedTokensKnown {
		s.cachedPrefixes.ObserveCached(prefix.Chat, ident.Tokens(submit.GetPrefixTokens()), r.cachedTokens)
	}
	s.cachedPrefixes.Put(prefix)
}

// cacheEventCursor is the position up to which the cache events of an engine's
// incarnation have been read.
type cacheEventCursor struct {
	lastNumber  uint64
	incarnation ident.Incarnation
}

// pollCacheEvents polls the engine for cache events until ctx ends, and removes
// what the engine has evicted from the index of cached prefixes.
func (s *Sidecar) pollCacheEvents(ctx context.Context) {
	var cursor cacheEventCursor
	for s.cfg.Clock.Sleep(ctx, cacheEventInterval) == nil {
		if s.down.Load() || !s.isEngineTarget() {
			continue
		}
		if err := s.readCacheEvents(ctx, &cursor); err != nil {
			_ = level.Debug(s.cfg.Logger).Log("msg", "reading cache events failed", "target", s.cfg.TargetName, "err", err)
		}
	}
}

// isEngineTarget reports whether the target is a model engine rather than a plain
// service. It returns false until the target's record is known.
func (s *Sidecar) isEngineTarget() bool {
	f := s.follower.Load()
	if f == nil {
		return false
	}
	target, ok := f.Set().Target(s.cfg.TargetName)
	return ok && len(target.Models) > 0
}

// readCacheEvents reads and applies the events after the cursor. If the engine's
// load shows a new incarnation, the engine has restarted, and readCacheEvents
// first resets the index. A gap in the numbers of events means that some were
// lost.
func (s *Sidecar) readCacheEvents(ctx context.Context, cursor *cacheEventCursor) error {
	ctx, cancel := context.WithTimeout(ctx, engineRequestTimeout)
	defer cancel()
	var load engine.Load
	if err := s.target.exchangeJSON(ctx, http.MethodGet, "/load", nil, &load); err != nil {
		return err
	}
	if load.Incarnation != cursor.incarnation {
		if cursor.incarnation != 0 {
			s.cachedPrefixes.Reset()
		}
		*cursor = cacheEventCursor{incarnation: load.Incarnation}
	}
	var lost uint64
	err := s.target.cacheEvents(ctx, cursor.lastNumber, func(e engine.Event) {
		if e.Number <= cursor.lastNumber {
			return
		}
		lost += e.Number - cursor.lastNumber - 1
		cursor.lastNumber = e.Number
		s.applyCacheEvent(e)
	})
	s.cachedPrefixes.EventsLost(lost)
	return err
}

// applyCacheEvent applies one event to the index of cached prefixes.
func (s *Sidecar) applyCacheEvent(e engine.Event) {
	switch e.Kind {
	case engine.EventRemoved:
		s.cachedPrefixes.BlockEvicted(e.Block)
	case engine.EventCleared:
		s.cachedPrefixes.Reset()
	}
}

// EstimatedCachedTokens returns the estimated number of tokens of a chat's prefix
// in the target's cache.
func (s *Sidecar) EstimatedCachedTokens(chat ident.ChatKey) ident.Tokens {
	return s.cachedPrefixes.CachedTokens(chat)
}
