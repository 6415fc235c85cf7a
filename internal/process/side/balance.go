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
	// loadInterval is how often the load is reported to the control process
	// that sums the pool's.
	loadInterval = 50 * time.Millisecond
	// pressedInterval is how often it is while work waits for the mean to
	// rise, as far as pressedBurst reports, earned back at pressedRate a
	// second, reach.
	pressedInterval = 5 * time.Millisecond
	pressedBurst    = 100
	pressedRate     = 2
	// sumRetryInterval is the pause before another control process is asked.
	sumRetryInterval = 100 * time.Millisecond
)

// newest holds the newest digest of the target's pool.
type newest struct {
	digest atomic.Pointer[digest.Digest]
}

func (n *newest) get() digest.Digest {
	if d := n.digest.Load(); d != nil {
		return *d
	}
	return digest.Digest{}
}

// takeDigest passes on a digest, whoever it came from, if it is news.
func (s *Sidecar) takeDigest(d digest.Digest) {
	if d.Pool != s.pool() || !d.Newer(s.newest.get()) {
		return
	}
	s.newest.digest.Store(&d)
	s.settle(s.admitted.SetDigest(s.cfg.Clock.Now(), d))
}

// digestAbove returns the frame of the newest digest if it is newer than the
// stamp, nil otherwise.
func (s *Sidecar) digestAbove(stamp uint64) *wire.LoadDigest {
	d := s.newest.get()
	if d.Version <= stamp {
		return nil
	}
	return watch.EncodeDigest(s.cfg.Clock.Now(), d)
}

// pool returns the pool that the target belongs to, empty before the target's
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

// balance reports the load to the control process that sums the pool's, and
// takes its digests, until the process ends. When that one fails the next
// one is asked, the same for all sidecars of the pool.
func (s *Sidecar) balance(ctx context.Context) {
	addresses := s.cfg.ControlAddresses
	for turn := uint64(0); ctx.Err() == nil && len(addresses) > 0; turn++ {
		pool := s.pool()
		if pool == "" {
			_ = s.cfg.Clock.Sleep(ctx, sumRetryInterval)
			continue
		}
		first := xxhash.Sum64String(string(pool))
		s.report(ctx, pool, addresses[(first+turn)%uint64(len(addresses))])
		_ = s.cfg.Clock.Sleep(ctx, sumRetryInterval)
	}
}

// report exchanges load with one control process until the link breaks, it
// falls silent or the target's pool changes.
func (s *Sidecar) report(ctx context.Context, pool digest.PoolName, address string) {
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
	go s.sendLoads(ctx, cancel, pool, stream)
	for {
		_ = stream.SetDeadline(s.cfg.Clock.Now().Add(digest.DefaultExpiry))
		frame := new(wire.LoadDigest)
		if stream.Receive(frame) != nil {
			return
		}
		s.takeDigest(watch.DecodeDigest(s.cfg.Clock.Now(), frame))
	}
}

func (s *Sidecar) sendLoads(ctx context.Context, cancel context.CancelFunc, pool digest.PoolName, stream *link.Stream) {
	defer cancel()
	var pace pace
	var quiet quiet
	for s.pool() == pool {
		report := &wire.LoadReport{Load: s.Load(), Leaving: s.leaving.Load()}
		if quiet.due(s.cfg.Clock.Now(), report) && stream.Send(report) != nil {
			return
		}
		if s.cfg.Clock.Sleep(ctx, pace.next(s.cfg.Clock.Now(), report.GetLoad().GetQueued() > 0)) != nil {
			return
		}
	}
}

// quietInterval is how often a target without work reports while nothing
// changes. Its reports weigh nothing in the age of a digest.
const quietInterval = 400 * time.Millisecond

// quiet leaves out the reports that would say nothing new. Its zero value may
// be used.
type quiet struct {
	last   *wire.LoadReport
	sentAt time.Time
}

// due reports whether a report is to be sent, and then takes it as sent.
func (q *quiet) due(now time.Time, report *wire.LoadReport) bool {
	idle := report.GetLoad().GetRequests() == 0 && report.GetLoad().GetQueued() == 0
	if idle && now.Sub(q.sentAt) < quietInterval && proto.Equal(q.last, report) {
		return false
	}
	q.last = report
	q.sentAt = now
	return true
}

// pace spaces the load reports. Its zero value may be used.
type pace struct {
	filled time.Time
	tokens float64
}

// next returns the wait for the next report.
func (p *pace) next(now time.Time, pressed bool) time.Duration {
	p.tokens = min(pressedBurst, p.tokens+pressedRate*now.Sub(p.filled).Seconds())
	p.filled = now
	if !pressed || p.tokens < 1 {
		return loadInterval
	}
	p.tokens--
	return pressedInterval
}
