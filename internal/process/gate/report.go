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
	// maxPendingCrashes bounds the crashes that wait to be reported, and
	// maxPendingCompletions the completed requests.
	maxPendingCrashes     = 256
	maxPendingCompletions = 4096
	// maxLocalFingerprints bounds the requests of which this process keeps the crashes
	// that it saw itself.
	maxLocalFingerprints = 4096
)

// Control commits the reports of crashes.
type Control interface {
	Propose(ctx context.Context, command *cmdpb.Command) (*cmdpb.Result, error)
}

// crashReporter keeps what this gate saw of crashes until control has it. Control
// derives the verdicts on requests from the reports of all gates.
type crashReporter struct {
	logger log.Logger

	mu        sync.Mutex
	crashes   []poison.DirectCrash
	completed map[ident.Fingerprint]struct{}
	// added receives a value when there is something to report.
	added chan struct{}
}

func newCrashReporter(logger log.Logger) *crashReporter {
	return &crashReporter{logger: logger, completed: make(map[ident.Fingerprint]struct{}), added: make(chan struct{}, 1)}
}

// addCrashes adds crashes. Above maxPendingCrashes the oldest are dropped.
func (r *crashReporter) addCrashes(crashes ...poison.DirectCrash) {
	r.mu.Lock()
	r.crashes = append(r.crashes, crashes...)
	dropped := max(0, len(r.crashes)-maxPendingCrashes)
	r.crashes = r.crashes[dropped:]
	r.mu.Unlock()
	if dropped > 0 {
		_ = level.Warn(r.logger).Log("msg", "too many crashes wait to be reported", "dropped", dropped)
	}
	r.signal()
}

// addCompleted adds requests that completed. Above maxPendingCompletions they are not
// added: they stay suspect until they complete again.
func (r *crashReporter) addCompleted(fingerprints ...ident.Fingerprint) {
	r.mu.Lock()
	for _, fingerprint := range fingerprints {
		if len(r.completed) < maxPendingCompletions {
			r.completed[fingerprint] = struct{}{}
		}
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
func (r *crashReporter) take() (crashes []poison.DirectCrash, completed []ident.Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	crashes, r.crashes = r.crashes, nil
	for fingerprint := range r.completed {
		completed = append(completed, fingerprint)
	}
	clear(r.completed)
	return crashes, completed
}

// reportCrashes sends reports to control until ctx ends.
func (g *Gate) reportCrashes(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.reporter.added:
		}
		crashes, completed := g.reporter.take()
		err := g.proposeReport(ctx, crashes, completed)
		if err == nil {
			continue
		}
		g.keepUnreported(crashes, completed, err)
		_ = g.cfg.Clock.Sleep(ctx, reportRetryDelay)
	}
}

// keepUnreported adds what control did not accept again, but for old crashes.
func (g *Gate) keepUnreported(crashes []poison.DirectCrash, completed []ident.Fingerprint, err error) {
	now := g.cfg.Clock.Now()
	kept := make([]poison.DirectCrash, 0, len(crashes))
	for _, crash := range crashes {
		if now.Sub(crash.At) < reportRetention {
			kept = append(kept, crash)
		}
	}
	_ = level.Warn(g.cfg.Logger).Log(
		"msg", "report of crashes failed", "crashes", len(crashes), "completed", len(completed), "dropped", len(crashes)-len(kept), "err", err,
	)
	if len(kept) > 0 {
		g.reporter.addCrashes(kept...)
	}
	if len(completed) > 0 {
		g.reporter.addCompleted(completed...)
	}
}

// proposeReport proposes one report. The ages of the crashes are relative, since the
// clocks of VMs differ.
func (g *Gate) proposeReport(ctx context.Context, crashes []poison.DirectCrash, completed []ident.Fingerprint) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	now := g.cfg.Clock.Now()
	report := new(cmdpb.GateReport)
	for _, crash := range crashes {
		out := &cmdpb.TargetCrash{Target: string(crash.Target), Age: int64(max(0, now.Sub(crash.At)))}
		for _, fingerprint := range crash.InFlight {
			out.Fingerprints = append(out.Fingerprints, uint64(fingerprint))
		}
		report.Crashes = append(report.Crashes, out)
	}
	for _, fingerprint := range completed {
		report.Completed = append(report.Completed, uint64(fingerprint))
	}
	if _, err := g.cfg.Control.Propose(ctx, &cmdpb.Command{Body: &cmdpb.Command_GateReport{GateReport: report}}); err != nil {
		return fmt.Errorf("propose report: %w", err)
	}
	return nil
}
