package engine

import (
	"time"

	"cactusline.dev/cactusline/internal/version/ident"
)

// lifecycle tracks the starts and crashes of an engine. The engine's lock
// guards it.
type lifecycle struct {
	incarnation ident.Incarnation
	// crashSignal is closed when the engine crashes, and then replaced.
	crashSignal chan struct{}
	// downUntil is when a crashed engine restarts.
	downUntil time.Time
}

func newLifecycle() lifecycle {
	return lifecycle{incarnation: 1, crashSignal: make(chan struct{})}
}

// Down reports whether the engine has crashed and not yet restarted.
func (e *Engine) Down() bool {
	now := e.cfg.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	return now.Before(e.lifecycle.downUntil)
}

// Crash aborts all requests and clears the cache. Until RestartDelay has
// passed, Serve refuses connections and ServeHTTP aborts them.
func (e *Engine) Crash() {
	now := e.cfg.Clock.Now()
	e.mu.Lock()
	e.lifecycle.downUntil = now.Add(e.cfg.RestartDelay)
	e.lifecycle.incarnation++
	close(e.lifecycle.crashSignal)
	e.lifecycle.crashSignal = make(chan struct{})
	e.running = nil
	e.waiting = nil
	e.cache.clear()
	e.mu.Unlock()
	if e.cfg.OnCrash != nil {
		e.cfg.OnCrash()
	}
}

// crashSignal returns a channel that is closed at the next crash.
func (e *Engine) crashSignal() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lifecycle.crashSignal
}
