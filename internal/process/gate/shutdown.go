package gate

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/go-kit/log/level"
)

// errStopping ends the requests that are in flight at the end of the grace period.
var errStopping = errors.New("process stops")

// shutdownTimes are the times of a graceful shutdown.
type shutdownTimes struct {
	// lateAt is when requests begin to be late.
	lateAt time.Time
	// endsAt is when requests in flight are ended.
	endsAt time.Time
}

// stop shuts down gracefully. endRequests ends the requests in flight.
func (g *Gate) stop(ctx context.Context, readinessServer *http.Server, endRequests context.CancelCauseFunc) error {
	_ = level.Info(g.cfg.Logger).Log("msg", "stopping", "grace", g.cfg.GracePeriod)
	now := g.cfg.Clock.Now()
	untilEnd := g.cfg.GracePeriod - shutdownMargin - answerMargin
	g.shutdown.Store(&shutdownTimes{lateAt: now.Add(g.cfg.DrainDelay + lateAfterDrain), endsAt: now.Add(untilEnd)})
	// ctx has ended, so the shutdown needs a context of its own.
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), g.cfg.GracePeriod-shutdownMargin)
	defer cancel()
	timer := time.AfterFunc(untilEnd, func() { endRequests(errStopping) })
	defer timer.Stop()
	g.stopping.Store(true)
	_ = g.cfg.Clock.Sleep(shutdownCtx, g.cfg.DrainDelay)
	// A process that is stalled all the time must still close its connections.
	wakeupCtx, cancelWakeups := context.WithTimeout(shutdownCtx, max(0, untilEnd-g.cfg.DrainDelay)/2)
	awaitTimelyWakeups(wakeupCtx, g.cfg.Clock)
	cancelWakeups()
	err := g.server.shutdown(shutdownCtx)
	_ = readinessServer.Close()
	_ = level.Info(g.cfg.Logger).Log("msg", "stopped", "err", err)
	if err != nil {
		return fmt.Errorf("shutdown with requests in flight: %w", err)
	}
	return nil
}

// isLate reports whether a request that begins now, in a process that stops, may not
// end before the process does.
func (g *Gate) isLate(deadline time.Time) bool {
	times := g.shutdown.Load()
	return times != nil && g.cfg.Clock.Now().After(times.lateAt) && deadline.After(times.endsAt)
}
