package gate

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"cactusline.dev/cactusline/internal/request/poison"
	"cactusline.dev/cactusline/internal/version/cmdpb"
	"cactusline.dev/cactusline/internal/version/ident"
)

const (
	// reportTimeout bounds one proposal of a report to control.
	reportTimeout = time.Second
	// reportRetryDelay is the pause after a proposal that failed.
	reportRetryDelay = 100 * time.Millisecond
	// reportRetention is how long a crash is reported again while control does not
	// accept it.
	reportRetention = 10 * time.Second
	// reportDelay is how long reports are collected before they are proposed.
	reportDelay = 20 * time.Millisecond
	// maxPendingCrashes bounds the crashes that wait to be reported,
	// maxPendingCompletions the completed requests, and maxPendingSurvivals the parts.
	maxPendingCrashes     = 256
	maxPendingCompletions = 4096
	maxPendingSurvivals   = 4096
	// maxLocalFingerprints bounds the requests of which this process keeps the crashes
	// that it saw itself.
	maxLocalFingerprints = 4096
)

// Control commits the reports of crashes.
type Control interface {
	Propose(ctx context.Context, command *cmdpb.Command) (*cmdpb.Result, error)
}

// unreported is what control does not have yet.
type unreported struct {
	crashes   []poison.DirectCrash
	completed map[ident.Fingerprint]struct{}
	// survivals are the times at which targets last survived parts of prompts.
	survivals map[ident.Fingerprint]time.Time
}

// crashReporter keeps what this gate saw of crashes until control has it. Control
// derives the verdicts on requests from the reports of all gates.
type crashReporter struct {
	logger log.Logger

	mu      sync.Mutex
	pending unreported
	// added receives a value when there is something to report.
	added chan struct{}
}

func newCrashReporter(logger log.Logger) *crashReporter {
	return &crashReporter{logger: logger, pending: newUnreported(), added: make(chan struct{}, 1)}
}

func newUnreported() unreported {
	return unreported{completed: make(map[ident.Fingerprint]struct{}), survivals: make(map[ident.Fingerprint]time.Time)}
}

// addCrashes adds crashes. Above maxPendingCrashes the oldest are dropped.
func (r *crashReporter) addCrashes(crashes ...poison.DirectCrash) {
	r.mu.Lock()
	r.pending.crashes = append(r.pending.crashes, crashes...)
	dropped := max(0, len(r.pending.crashes)-maxPendingCrashes)
	r.pending.crashes = r.pending.crashes[dropped:]
	r.mu.Unlock()
	if dropped > 0 {
		_ = level.Warn(r.logger).Log("msg", "too many crashes wait to be reported", "dropped", dropped)
	}
	r.signal()
}

// addCompleted adds a request that completed. Above maxPendingCompletions it is not
// added: it stays suspect until it completes again.
func (r *crashReporter) addCompleted(fingerprint ident.Fingerprint) {
	r.mu.Lock()
	if len(r.pending.completed) < maxPendingCompletions {
		r.pending.completed[fingerprint] = struct{}{}
	}
	r.mu.Unlock()
	r.signal()
}

// addSurvival adds the last survival of a part. Above maxPendingSurvivals it is not
// added: a later one will be.
func (r *crashReporter) addSurvival(part ident.Fingerprint, at time.Time) {
	r.mu.Lock()
	known, found := r.pending.survivals[part]
	if at.After(known) && (found || len(r.pending.survivals) < maxPendingSurvivals) {
		r.pending.survivals[part] = at
	}
	r.mu.Unlock()
	r.signal()
}

func (r *crashReporter) signal() {
	select {
	case r.added <- struct{}{}:
	default:
	}
}

// take removes and returns all that is to be reported.
func (r *crashReporter) take() unreported {
	r.mu.Lock()
	defer r.mu.Unlock()
	taken := r.pending
	r.pending = newUnreported()
	return taken
}

// reportCrashes sends reports to control until ctx ends.
func (g *Gate) reportCrashes(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.reporter.added:
		}
		_ = g.cfg.Clock.Sleep(ctx, reportDelay)
		report := g.reporter.take()
		err := g.proposeReport(ctx, report)
		if err == nil {
			continue
		}
		g.keepUnreported(report, err)
		_ = g.cfg.Clock.Sleep(ctx, reportRetryDelay)
	}
}

// keepUnreported adds what control did not accept again, but for old crashes.
func (g *Gate) keepUnreported(report unreported, err error) {
	now := g.cfg.Clock.Now()
	kept := make([]poison.DirectCrash, 0, len(report.crashes))
	for _, crash := range report.crashes {
		if now.Sub(crash.At) < reportRetention {
			kept = append(kept, crash)
		}
	}
	_ = level.Warn(g.cfg.Logger).Log(
		"msg", "report of crashes failed", "crashes", len(report.crashes), "completed", len(report.completed),
		"survivals", len(report.survivals), "dropped", len(report.crashes)-len(kept), "err", err,
	)
	if len(kept) > 0 {
		g.reporter.addCrashes(kept...)
	}
	for fingerprint := range report.completed {
		g.reporter.addCompleted(fingerprint)
	}
	for part, at := range report.survivals {
		g.reporter.addSurvival(part, at)
	}
}

// proposeReport proposes one report.
func (g *Gate) proposeReport(ctx context.Context, report unreported) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	message := report.encode(g.cfg.Clock.Now())
	if _, err := g.cfg.Control.Propose(ctx, &cmdpb.Command{Body: &cmdpb.Command_GateReport{GateReport: message}}); err != nil {
		return fmt.Errorf("propose report: %w", err)
	}
	return nil
}

// encode returns the message that carries a report. Its times are ages, since the clocks
// of VMs differ.
func (u *unreported) encode(now time.Time) *cmdpb.GateReport {
	age := func(at time.Time) int64 { return int64(max(0, now.Sub(at))) }
	message := new(cmdpb.GateReport)
	for _, crash := range u.crashes {
		out := &cmdpb.TargetCrash{Target: string(crash.Target), Age: age(crash.At)}
		for _, fingerprint := range crash.InFlight {
			out.Fingerprints = append(out.Fingerprints, uint64(fingerprint))
		}
		for _, part := range crash.Parts {
			inFlight := &cmdpb.PartInFlight{
				Fingerprint: uint64(part.Fingerprint), Part: uint64(part.ID), Depth: uint32(part.Depth), SentAge: age(part.Sent),
			}
			if !part.Survived.IsZero() {
				inFlight.SurvivedAge = max(1, age(part.Survived))
			}
			out.Parts = append(out.Parts, inFlight)
		}
		message.Crashes = append(message.Crashes, out)
	}
	for fingerprint := range u.completed {
		message.Completed = append(message.Completed, uint64(fingerprint))
	}
	for part, at := range u.survivals {
		message.Survivals = append(message.Survivals, &cmdpb.PartSurvival{Fingerprint: uint64(part), Age: age(at)})
	}
	return message
}
