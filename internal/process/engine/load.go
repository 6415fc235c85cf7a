package engine

import (
	"net/http"
	"time"

	"cactusline.dev/cactusline/internal/version/ident"
)

// Load is the response to GET /load: the outstanding work at a recent time.
type Load struct {
	// At is when the load was measured.
	At time.Time
	// Running and Waiting count requests.
	Running int
	Waiting int
	// Tokens counts the prompt tokens still to process and the answer tokens
	// still to generate.
	Tokens ident.Tokens
	// CachedTokens is the number of cached tokens.
	CachedTokens ident.Tokens
	// Incarnation counts the starts of the engine.
	Incarnation ident.Incarnation
	Role        Role
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	now := e.cfg.Clock.Now()
	e.mu.Lock()
	if now.Sub(e.lastReport.At) >= e.cfg.LoadReportInterval {
		e.lastReport = e.measure(now)
	}
	report := e.lastReport
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, report)
}

// Load returns the current load, without the lag of GET /load.
func (e *Engine) Load() Load {
	now := e.cfg.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.measure(now)
}

func (e *Engine) measure(now time.Time) Load {
	load := Load{
		At: now, CachedTokens: e.cache.tokens(),
		Incarnation: e.lifecycle.incarnation, Role: e.deployed.role,
	}
	for _, s := range e.running {
		if !s.canceled {
			load.Running++
			load.Tokens += s.remainingPrefill + s.totalTokens - s.generated
		}
	}
	for _, s := range e.waiting {
		if !s.canceled {
			load.Waiting++
			load.Tokens += s.promptTokens + s.totalTokens - s.generated
		}
	}
	return load
}
