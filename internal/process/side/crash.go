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
	// recheckInterval is how often a target that is down is asked again.
	recheckInterval = 100 * time.Millisecond
	// crashReportTimeout bounds the telling of one crash.
	crashReportTimeout = 10 * time.Second
)

// targetDown refuses work until the target takes connections again.
func (s *Sidecar) targetDown() {
	if !s.down.CompareAndSwap(false, true) {
		return
	}
	_ = level.Warn(s.cfg.Logger).Log("msg", "target does not answer", "target", s.cfg.TargetName)
	s.settle(s.admitted.SetDown(s.cfg.Clock.Now(), true))
	s.warm.Reset()
	s.deployed.forget()
	go s.awaitTarget()
}

func (s *Sidecar) awaitTarget() {
	for !s.target.answers() {
		if s.cfg.Clock.Sleep(s.life, recheckInterval) != nil {
			return
		}
	}
	_ = level.Info(s.cfg.Logger).Log("msg", "target answers again", "target", s.cfg.TargetName)
	s.crash.over(func() { s.down.Store(false) })
	s.settle(s.admitted.SetDown(s.cfg.Clock.Now(), false))
}

// crashNote is what was noted of the crash that began the time in which the
// target is down. Its zero value is that of a target that is up.
type crashNote struct {
	mu    sync.Mutex
	noted bool
	// number counts the crashes.
	number uint64
	told   map[ident.Fingerprint]bool
}

// note returns the report on the crash that the run of a fingerprint met, nil
// if an earlier report holds that fingerprint. The first report of a crash
// holds all of inFlight; each later one adds what was missing.
func (c *crashNote) note(own ident.Fingerprint, inFlight func() []ident.Fingerprint) *cmdpb.CrashReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	fingerprints := []ident.Fingerprint{own}
	first := !c.noted
	if first {
		c.noted = true
		c.number++
		c.told = make(map[ident.Fingerprint]bool)
		fingerprints = inFlight()
	}
	report := &cmdpb.CrashReport{Number: c.number, Partial: !first}
	for _, fingerprint := range fingerprints {
		if first || !c.told[fingerprint] {
			report.Fingerprints = append(report.Fingerprints, uint64(fingerprint))
		}
		c.told[fingerprint] = true
	}
	if len(report.Fingerprints) == 0 {
		return nil
	}
	return report
}

// over ends the time in which the target is down.
func (c *crashNote) over(up func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	up()
	c.noted = false
	c.told = nil
}

// targetCrashed notes a crash that the run of a fingerprint met: what was in
// flight is not run here again until it is cleared, and control hears of it.
// The run must still be among the runs.
func (s *Sidecar) targetCrashed(fingerprint ident.Fingerprint) {
	report := s.crash.note(fingerprint, s.runs.inFlight)
	s.targetDown()
	if report == nil {
		return
	}
	report.Target = string(s.cfg.TargetName)
	report.Incarnation = uint64(s.cfg.Incarnation)
	noted := make([]ident.Fingerprint, 0, len(report.GetFingerprints()))
	for _, inFlight := range report.GetFingerprints() {
		noted = append(noted, ident.Fingerprint(inFlight))
	}
	s.recent.Block(s.cfg.Clock.Now().Add(poison.DefaultWindow), noted)
	_ = level.Error(s.cfg.Logger).Log("msg", "target crashed", "target", s.cfg.TargetName, "in_flight", len(noted),
		"partial", report.GetPartial())
	go s.tell(&cmdpb.Command{Body: &cmdpb.Command_Crash{Crash: report}})
}

// ranAlone clears a suspect that ran to its end with nothing beside it.
func (s *Sidecar) ranAlone(fingerprint ident.Fingerprint) {
	s.recent.Unblock(fingerprint)
	go s.tell(&cmdpb.Command{Body: &cmdpb.Command_Alone{Alone: &cmdpb.RanAlone{Fingerprint: uint64(fingerprint)}}})
}

// RestoreCrashBlocklist learns which requests were in flight when this target crashed under
// an earlier sidecar, so that none of them crashes it again.
func (s *Sidecar) RestoreCrashBlocklist(ctx context.Context) error {
	reply, err := s.cfg.Control.Query(ctx, &wire.Query{Kind: ctrl.QueryInFlightAtCrash, Name: string(s.cfg.TargetName)})
	if err != nil {
		return fmt.Errorf("recall crashes: %w", err)
	}
	var fingerprints []ident.Fingerprint
	if err := json.Unmarshal(reply.GetResult(), &fingerprints); err != nil {
		return fmt.Errorf("decode crashes: %w", err)
	}
	s.recent.Block(s.cfg.Clock.Now().Add(poison.DefaultWindow), fingerprints)
	return nil
}

// tell proposes a command to control, which may take it twice.
func (s *Sidecar) tell(command *cmdpb.Command) {
	ctx, cancel := context.WithTimeout(s.life, crashReportTimeout)
	defer cancel()
	if _, err := s.propose(ctx, command); err != nil {
		_ = level.Error(s.cfg.Logger).Log("msg", "control did not hear", "target", s.cfg.TargetName, "err", err)
	}
}
