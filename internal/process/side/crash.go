package side

import (
	"context"
	"encoding/json"
	"fmt"
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

// targetDown refuses work until the target takes connections again. It
// returns false if the target is known to be down.
func (s *Sidecar) targetDown() bool {
	if !s.down.CompareAndSwap(false, true) {
		return false
	}
	_ = level.Warn(s.cfg.Logger).Log("msg", "target does not answer", "target", s.cfg.Name)
	s.settle(s.admitted.SetDown(s.cfg.Clock.Now(), true))
	s.warm.Reset()
	s.deployed.forget()
	go s.awaitTarget()
	return true
}

func (s *Sidecar) awaitTarget() {
	for !s.target.answers() {
		if s.cfg.Clock.Sleep(s.life, recheckInterval) != nil {
			return
		}
	}
	_ = level.Info(s.cfg.Logger).Log("msg", "target answers again", "target", s.cfg.Name)
	s.down.Store(false)
	s.settle(s.admitted.SetDown(s.cfg.Clock.Now(), false))
}

// targetCrashed notes a crash: what was in flight is not run here again until
// it is cleared, and control hears of it.
func (s *Sidecar) targetCrashed() {
	if !s.targetDown() {
		return
	}
	inFlight := s.runs.inFlight()
	s.recent.Note(s.cfg.Clock.Now().Add(poison.DefaultWindow), inFlight)
	report := &cmdpb.CrashReport{
		Target:      string(s.cfg.Name),
		Incarnation: uint64(s.cfg.Incarnation),
		Number:      s.crashes.Add(1),
	}
	for _, fingerprint := range inFlight {
		report.Fingerprints = append(report.Fingerprints, uint64(fingerprint))
	}
	_ = level.Error(s.cfg.Logger).Log("msg", "target crashed", "target", s.cfg.Name, "in_flight", len(inFlight))
	go s.tell(&cmdpb.Command{Body: &cmdpb.Command_Crash{Crash: report}})
}

// ranAlone clears a suspect that ran to its end with nothing beside it.
func (s *Sidecar) ranAlone(fingerprint ident.Fingerprint) {
	s.recent.Clear(fingerprint)
	go s.tell(&cmdpb.Command{Body: &cmdpb.Command_Alone{Alone: &cmdpb.RanAlone{Fingerprint: uint64(fingerprint)}}})
}

// Recall learns which requests were in flight when this target crashed under
// an earlier sidecar, so that none of them crashes it again.
func (s *Sidecar) Recall(ctx context.Context) error {
	reply, err := s.cfg.Control.Query(ctx, &wire.Query{Kind: ctrl.QueryCrashed, Name: string(s.cfg.Name)})
	if err != nil {
		return fmt.Errorf("recall crashes: %w", err)
	}
	var fingerprints []ident.Fingerprint
	if err := json.Unmarshal(reply.GetResult(), &fingerprints); err != nil {
		return fmt.Errorf("decode crashes: %w", err)
	}
	s.recent.Note(s.cfg.Clock.Now().Add(poison.DefaultWindow), fingerprints)
	return nil
}

// tell proposes a command to control, which may take it twice.
func (s *Sidecar) tell(command *cmdpb.Command) {
	ctx, cancel := context.WithTimeout(s.life, crashReportTimeout)
	defer cancel()
	if _, err := s.propose(ctx, command); err != nil {
		_ = level.Error(s.cfg.Logger).Log("msg", "control did not hear", "target", s.cfg.Name, "err", err)
	}
}
