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

// eventInterval is how often the engine's cache events are read.
const eventInterval = time.Second

// cachedTokens returns how much of the prompt the engine says it found in its
// cache; false if it does not say.
func cachedTokens(resp *http.Response) (ident.Tokens, bool) {
	tokens, err := strconv.ParseUint(resp.Header.Get(engine.CachedTokensHeader), 10, 32)
	return ident.Tokens(tokens), err == nil
}

// believe takes what a run that ended says of its chat's prefix.
func (s *Sidecar) believe(submit *wire.Submit, r *run) {
	prefix := warm.Prefix{
		Chat:     ident.ChatKey(submit.GetChat()),
		Tokens:   ident.Tokens(submit.GetPromptTokens()) + ident.Tokens(submit.GetOutputTokens()),
		Customer: ident.CustomerName(submit.GetCustomer()),
		Model:    ident.ModelName(submit.GetModel()),
	}
	if request, err := chat.Parse(submit.GetBody()); err == nil {
		prefix.Blocks = chat.BlockHashes(request.Model, request.Messages)
	}
	if r.counted {
		s.warm.ObserveCached(prefix.Chat, ident.Tokens(submit.GetPrefixTokens()), r.cached)
	}
	s.warm.Put(prefix)
}

// cacheReader is how far the engine's cache events have been read.
type cacheReader struct {
	after uint64
	start ident.Incarnation
}

// followCache lowers the belief in the engine's cache by its events until ctx
// ends.
func (s *Sidecar) followCache(ctx context.Context) {
	var reader cacheReader
	for s.cfg.Clock.Sleep(ctx, eventInterval) == nil {
		if s.down.Load() || !s.hasEngine() {
			continue
		}
		if err := s.readCache(ctx, &reader); err != nil {
			_ = level.Debug(s.cfg.Logger).Log("msg", "cache events not read", "target", s.cfg.TargetName, "err", err)
		}
	}
}

// hasEngine reports whether the target is a model engine.
func (s *Sidecar) hasEngine() bool {
	f := s.follower.Load()
	if f == nil {
		return false
	}
	target, ok := f.Set().Target(s.cfg.TargetName)
	return ok && len(target.Models) > 0
}

// readCache takes the events that have come out since the last call.
func (s *Sidecar) readCache(ctx context.Context, reader *cacheReader) error {
	ctx, cancel := context.WithTimeout(ctx, engineAskTimeout)
	defer cancel()
	var load engine.Load
	if err := s.target.exchange(ctx, http.MethodGet, "/load", nil, &load); err != nil {
		return err
	}
	if load.Incarnation != reader.start {
		if reader.start != 0 {
			s.warm.Reset()
		}
		*reader = cacheReader{start: load.Incarnation}
	}
	var lost uint64
	err := s.target.events(ctx, reader.after, func(e engine.Event) {
		if e.Number <= reader.after {
			return
		}
		lost += e.Number - reader.after - 1
		reader.after = e.Number
		s.takeEvent(e)
	})
	s.warm.EventsLost(lost)
	return err
}

// takeEvent lowers the belief by one event.
func (s *Sidecar) takeEvent(e engine.Event) {
	switch e.Kind {
	case engine.EventRemoved:
		s.warm.BlockEvicted(e.Block)
	case engine.EventCleared:
		s.warm.Reset()
	}
}

// CachedTokens returns how many tokens of a chat's prefix the target's cache is
// believed to hold.
func (s *Sidecar) CachedTokens(chat ident.ChatKey) ident.Tokens { return s.warm.CachedTokens(chat) }
