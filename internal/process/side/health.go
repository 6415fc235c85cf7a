package side

import (
	"time"

	"github.com/go-kit/log/level"
)

// recheckInterval is how often a target that is down is asked again.
const recheckInterval = 100 * time.Millisecond

// targetDown refuses work until the target takes connections again.
func (s *Sidecar) targetDown() {
	if !s.down.CompareAndSwap(false, true) {
		return
	}
	_ = level.Warn(s.cfg.Logger).Log("msg", "target does not answer", "target", s.cfg.Name)
	s.settle(s.admitted.SetDown(s.cfg.Clock.Now(), true))
	go s.awaitTarget()
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
