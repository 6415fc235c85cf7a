package engine

import (
	"time"

	"cactusline.dev/cactusline/internal/version/ident"
)

// lifetime tells the starts of an engine apart. The engine's lock guards it.
type lifetime struct {
	start ident.Incarnation
	// over is closed when the engine crashes.
	over chan struct{}
	// downUntil is when a crashed engine is back.
	downUntil time.Time
}

func newLifetime() lifetime {
	return lifetime{start: 1, over: make(chan struct{})}
}

// Down reports whether the engine has crashed and is not yet back.
func (e *Engine) Down() bool {
	now := e.cfg.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	return now.Before(e.life.downUntil)
}

// Crash breaks all requests and empties the cache. The engine refuses
// connections for the configured time.
func (e *Engine) Crash() {
	now := e.cfg.Clock.Now()
	e.mu.Lock()
	e.life.downUntil = now.Add(e.cfg.RestartDelay)
	e.life.start++
	close(e.life.over)
	e.life.over = make(chan struct{})
	e.running = nil
	e.waiting = nil
	e.cache.clear()
	e.mu.Unlock()
	if e.cfg.OnCrash != nil {
		e.cfg.OnCrash()
	}
}

// ended returns a channel that is closed when the engine next crashes.
func (e *Engine) ended() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.life.over
}
