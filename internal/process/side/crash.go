package side

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/ctrl"
	"cactusline.dev/cactusline/internal/request/poison"
	"cactusline.dev/cactusline/internal/version/cmdpb"
	"cactusline.dev/cactusline/internal/version/ident"
)

const (
	// downPollInterval is how often a target that is down is probed.
	downPollInterval = 100 * time.Millisecond
	// controlReportTimeout limits how long one report to control may take.
	controlReportTimeout = 10 * time.Second
)

// markTargetDown marks the target as down, so that admission refuses work,
// discards what is known of the engine and its cache, and starts to probe the
// target. It does nothing if the target is down already.
func (s *Sidecar) markTargetDown() {
	if !s.down.CompareAndSwap(false, true) {
		return
	}
	_ = level.Warn(s.cfg.Logger).Log("msg", "target does not respond", "target", s.cfg.TargetName)
	s.deliverDecisions(s.admission.SetDown(s.cfg.Clock.Now(), true))
	s.cachedPrefixes.Reset()
	s.engineState.forget()
	go s.probeUntilUp()
}

// probeUntilUp probes the target until it responds, and then marks it as up.
func (s *Sidecar) probeUntilUp() {
	for !s.target.responds() {
		if s.cfg.Clock.Sleep(s.ctx, downPollInterval) != nil {
			return
		}
	}
	_ = level.Info(s.cfg.Logger).Log("msg", "target responds again", "target", s.cfg.TargetName)
	s.crashes.end(func() { s.down.Store(false) })
	s.deliverDecisions(s.admission.SetDown(s.cfg.Clock.Now(), false))
}

// crashTracker collects the reports of one crash while the target is down. Its
// zero value is that of a target that is up.
type crashTracker struct {
	mu sync.Mutex
	// inProgress says that a crash was reported and the target is still down.
	inProgress bool
	// number counts the crashes since the sidecar started.
	number uint64
	// reported holds the fingerprints in the reports of the crash in progress.
	reported map[ident.Fingerprint]bool
}

// newReport returns a report of the crash that ended the run with ownFingerprint,
// or nil if an earlier report of the crash holds that fingerprint. The first
// report of a crash holds all fingerprints that inFlight returns; they must
// include ownFingerprint. Each later report is partial and adds a fingerprint
// that the first one lacks.
func (c *crashTracker) newReport(ownFingerprint ident.Fingerprint, inFlight func() []ident.Fingerprint) *cmdpb.CrashReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	fingerprints := []ident.Fingerprint{ownFingerprint}
	first := !c.inProgress
	if first {
		c.inProgress = true
		c.number++
		c.reported = make(map[ident.Fingerprint]bool)
		fingerprints = inFlight()
	}
	report := &cmdpb.CrashReport{Number: c.number, Partial: !first}
	for _, fingerprint := range fingerprints {
		if first || !c.reported[fingerprint] {
			report.Fingerprints = append(report.Fingerprints, uint64(fingerprint))
		}
		c.reported[fingerprint] = true
	}
	if len(report.Fingerprints) == 0 {
		return nil
	}
	return report
}

// end marks the crash as over. It calls markUp while holding the lock, so that no
// report is made between the two changes.
func (c *crashTracker) end(markUp func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	markUp()
	c.inProgress = false
	c.reported = nil
}

// recordCrash records a crash that ended the run of the request with this
// fingerprint. It blocks the requests that were in flight from running here
// again until the block expires or they are cleared, and reports the crash to
// control. The run must still be in s.runs.
func (s *Sidecar) recordCrash(fingerprint ident.Fingerprint) {
	report := s.crashes.newReport(fingerprint, s.runs.inFlight)
	s.markTargetDown()
	if report == nil {
		return
	}
	report.Target = string(s.cfg.TargetName)
	report.Incarnation = uint64(s.cfg.Incarnation)
	blocked := make([]ident.Fingerprint, 0, len(report.GetFingerprints()))
	for _, f := range report.GetFingerprints() {
		blocked = append(blocked, ident.Fingerprint(f))
	}
	s.crashBlocklist.Block(s.cfg.Clock.Now().Add(poison.DefaultWindow), blocked)
	_ = level.Error(s.cfg.Logger).Log("msg", "target crashed", "target", s.cfg.TargetName, "in_flight", len(blocked),
		"partial", report.GetPartial())
	go s.reportToControl(&cmdpb.Command{Body: &cmdpb.Command_Crash{Crash: report}})
}

// clearSuspect clears a suspect request that has run alone to its end, here and
// at control.
func (s *Sidecar) clearSuspect(fingerprint ident.Fingerprint) {
	s.crashBlocklist.Unblock(fingerprint)
	go s.reportToControl(&cmdpb.Command{Body: &cmdpb.Command_Alone{Alone: &cmdpb.RanAlone{Fingerprint: uint64(fingerprint)}}})
}

// RestoreCrashBlocklist queries which requests were in flight when this target
// crashed under an earlier sidecar, and blocks them so that they do not crash it
// again.
func (s *Sidecar) RestoreCrashBlocklist(ctx context.Context) error {
	reply, err := s.cfg.Control.Query(ctx, &wire.Query{Kind: ctrl.QueryInFlightAtCrash, Name: string(s.cfg.TargetName)})
	if err != nil {
		return fmt.Errorf("query requests in flight at a crash: %w", err)
	}
	var fingerprints []ident.Fingerprint
	if err := json.Unmarshal(reply.GetResult(), &fingerprints); err != nil {
		return fmt.Errorf("decode requests in flight at a crash: %w", err)
	}
	s.crashBlocklist.Block(s.cfg.Clock.Now().Add(poison.DefaultWindow), fingerprints)
	return nil
}

// reportToControl proposes a command to control. It must be safe to apply twice,
// because a retry may commit it again.
func (s *Sidecar) reportToControl(command *cmdpb.Command) {
	ctx, cancel := context.WithTimeout(s.ctx, controlReportTimeout)
	defer cancel()
	if _, err := s.propose(ctx, command); err != nil {
		_ = level.Error(s.cfg.Logger).Log("msg", "report to control failed", "target", s.cfg.TargetName, "err", err)
	}
}
