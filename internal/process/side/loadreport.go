package side

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"cactusline.dev/cactusline/internal/conn/digest"
	"cactusline.dev/cactusline/internal/conn/link"
	"cactusline.dev/cactusline/internal/conn/watch"
	"cactusline.dev/cactusline/internal/conn/wire"
)

const (
	// loadReportInterval is how often the load is reported to the control
	// process that sums the loads of the pool.
	loadReportInterval = 50 * time.Millisecond
	// queuedReportInterval is the shorter interval used while work is queued,
	// since such work waits for the pool's mean load to rise. A token bucket
	// limits these reports to bursts of queuedReportBurst, refilled at
	// queuedReportsPerSecond.
	queuedReportInterval   = 5 * time.Millisecond
	queuedReportBurst      = 100
	queuedReportsPerSecond = 2
	// reportRetryInterval is the pause before the load is reported to another
	// control process.
	reportRetryInterval = 100 * time.Millisecond
)

// digestHolder holds the newest load digest of the target's pool. The digest may
// be loaded and stored concurrently.
type digestHolder struct {
	digest atomic.Pointer[digest.Digest]
}

func (h *digestHolder) get() digest.Digest {
	if d := h.digest.Load(); d != nil {
		return *d
	}
	return digest.Digest{}
}

// applyDigest passes a digest on to admission if it belongs to the target's pool
// and is newer than the one held.
func (s *Sidecar) applyDigest(d digest.Digest) {
	if d.Pool != s.pool() || !d.Newer(s.newestDigest.get()) {
		return
	}
	s.newestDigest.digest.Store(&d)
	s.deliverDecisions(s.admission.SetDigest(s.cfg.Clock.Now(), d))
}

// digestIfNewer returns the newest digest, encoded, if its version is higher than
// the given one, and nil otherwise.
func (s *Sidecar) digestIfNewer(version uint64) *wire.LoadDigest {
	d := s.newestDigest.get()
	if d.Version <= version {
		return nil
	}
	return watch.EncodeDigest(s.cfg.Clock.Now(), d)
}

// pool returns the name of the target's pool. It is empty until the target's
// record is known.
func (s *Sidecar) pool() digest.PoolName {
	f := s.follower.Load()
	if f == nil {
		return ""
	}
	target, ok := f.Set().Target(s.cfg.TargetName)
	if !ok {
		return ""
	}
	return digest.TargetPool(target)
}

// reportLoad reports the target's load to the control process that sums the
// loads of the pool, and applies the digests that it returns, until ctx ends. If
// that process fails, reportLoad goes on to the next. All sidecars of a pool
// try the processes in the same order.
func (s *Sidecar) reportLoad(ctx context.Context) {
	addresses := s.cfg.ControlAddresses
	for attempt := uint64(0); ctx.Err() == nil && len(addresses) > 0; attempt++ {
		pool := s.pool()
		if pool == "" {
			_ = s.cfg.Clock.Sleep(ctx, reportRetryInterval)
			continue
		}
		poolHash := xxhash.Sum64String(string(pool))
		s.reportLoadTo(ctx, pool, addresses[(poolHash+attempt)%uint64(len(addresses))])
		_ = s.cfg.Clock.Sleep(ctx, reportRetryInterval)
	}
}

// reportLoadTo sends load reports to one control process and applies its
// digests until the link breaks, no digest arrives in time or the target's pool
// changes.
func (s *Sidecar) reportLoadTo(ctx context.Context, pool digest.PoolName, address string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := s.cfg.Link.Open(ctx, address, &wire.Call{
		Body: &wire.Call_Balance{Balance: &wire.Balance{Pool: string(pool), Target: string(s.cfg.TargetName)}},
	})
	if err != nil {
		return
	}
	defer func() { _ = stream.Close() }()
	context.AfterFunc(ctx, stream.Abort)
	go s.sendLoadReports(ctx, cancel, pool, stream)
	for {
		_ = stream.SetDeadline(s.cfg.Clock.Now().Add(digest.DefaultExpiry))
		frame := new(wire.LoadDigest)
		if stream.Receive(frame) != nil {
			return
		}
		s.applyDigest(watch.DecodeDigest(s.cfg.Clock.Now(), frame))
	}
}

func (s *Sidecar) sendLoadReports(ctx context.Context, cancel context.CancelFunc, pool digest.PoolName, stream *link.Stream) {
	defer cancel()
	var pacer reportPacer
	var filter reportFilter
	for s.pool() == pool {
		report := &wire.LoadReport{Load: s.Load(), Leaving: s.leaving.Load()}
		if filter.shouldSend(s.cfg.Clock.Now(), report) && stream.Send(report) != nil {
			return
		}
		if s.cfg.Clock.Sleep(ctx, pacer.nextWait(s.cfg.Clock.Now(), report.GetLoad().GetQueued() > 0)) != nil {
			return
		}
	}
}

// idleReportInterval is how often an idle target repeats an unchanged report. It
// may be long, because the age of a digest is weighted by load, so that reports
// of idle targets do not count in it.
const idleReportInterval = 400 * time.Millisecond

// reportFilter suppresses load reports that repeat the last one. Its zero value
// is ready to use.
type reportFilter struct {
	lastSent *wire.LoadReport
	sentAt   time.Time
}

// shouldSend reports whether a report is to be sent. If so, it records the
// report as sent.
func (f *reportFilter) shouldSend(now time.Time, report *wire.LoadReport) bool {
	idle := report.GetLoad().GetRequests() == 0 && report.GetLoad().GetQueued() == 0
	if idle && now.Sub(f.sentAt) < idleReportInterval && proto.Equal(f.lastSent, report) {
		return false
	}
	f.lastSent = report
	f.sentAt = now
	return true
}

// reportPacer determines the interval between load reports by a token bucket.
// Its zero value is ready to use.
type reportPacer struct {
	refilledAt time.Time
	// budget is the number of reports that may be sent at the shorter interval.
	budget float64
}

// nextWait returns how long to wait before the next report.
func (p *reportPacer) nextWait(now time.Time, workQueued bool) time.Duration {
	p.budget = min(queuedReportBurst, p.budget+queuedReportsPerSecond*now.Sub(p.refilledAt).Seconds())
	p.refilledAt = now
	if !workQueued || p.budget < 1 {
		return loadReportInterval
	}
	p.budget--
	return queuedReportInterval
}
