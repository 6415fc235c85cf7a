package engine

import (
	"net/http"
	"time"

	"cactusline.dev/cactusline/internal/version/ident"
)

// Load answers GET /load: the outstanding work as of a while ago.
type Load struct {
	// At is when the figures were taken.
	At time.Time
	// Running and Waiting count requests.
	Running int
	Waiting int
	// Tokens are those still to read and to make.
	Tokens ident.Tokens
	// CachedTokens are those held in the cache.
	CachedTokens ident.Tokens
	// Incarnation counts the starts of the engine.
	Incarnation ident.Incarnation
	Role        Role
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	now := e.cfg.Clock.Now()
	e.mu.Lock()
	if now.Sub(e.report.At) >= e.cfg.LoadReportInterval {
		e.report = e.measure(now)
	}
	report := e.report
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, report)
}

// Load returns the load as it is now, without the lag of GET /load.
func (e *Engine) Load() Load {
	now := e.cfg.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.measure(now)
}

func (e *Engine) measure(now time.Time) Load {
	load := Load{
		At: now, CachedTokens: e.cache.tokens(),
		Incarnation: e.life.start, Role: e.deploy.role,
	}
	for _, s := range e.running {
		if !s.gone {
			load.Running++
			load.Tokens += s.prefill + s.total - s.made
		}
	}
	for _, s := range e.waiting {
		if !s.gone {
			load.Waiting++
			load.Tokens += s.prompt + s.total - s.made
		}
	}
	return load
}
