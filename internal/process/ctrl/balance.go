package ctrl

import (
	"context"
	"sync"
	"time"

	"cactusline.dev/cactusline/internal/conn/digest"
	"cactusline.dev/cactusline/internal/conn/link"
	"cactusline.dev/cactusline/internal/conn/watch"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/version/ident"
)

const (
	// digestInterval is how often the loads of a pool are summed and sent to
	// its sidecars.
	digestInterval = 50 * time.Millisecond
	// pressedInterval is how often they are while work waits for the mean to
	// rise, and pressedTargetTime what each target of the pool adds to it, so
	// that a large pool does not flood the summing process.
	pressedInterval   = 5 * time.Millisecond
	pressedTargetTime = 100 * time.Microsecond
)

// balancer sums the loads of the pools whose sidecars report here. Each pool
// is summed by one control process, which the sidecars agree on by hashing.
type balancer struct {
	clock Clock

	mu    sync.Mutex
	pools map[digest.PoolName]*poolLoad
}

// poolLoad is one pool's table of loads and the last sum.
type poolLoad struct {
	mu    sync.Mutex
	table *digest.Table
	last  digest.Digest
	fresh chan struct{}
	// summed is when last was made.
	summed time.Time
	// pressed says that work has been reported since to be waiting.
	pressed bool
	// shown are the last reports, for operators.
	shown map[ident.TargetName]TargetLoad
}

func newBalancer(clock Clock) *balancer {
	return &balancer{clock: clock, pools: make(map[digest.PoolName]*poolLoad)}
}

// pool returns the pool's loads.
func (b *balancer) pool(name digest.PoolName) *poolLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	p, ok := b.pools[name]
	if !ok {
		p = &poolLoad{
			table: digest.NewTable(digest.Config{Pool: name}),
			fresh: make(chan struct{}),
		}
		b.pools[name] = p
	}
	return p
}

// run sums every pool when its time has come until ctx ends.
func (b *balancer) run(ctx context.Context) {
	for b.clock.Sleep(ctx, pressedInterval) == nil {
		now := b.clock.Now()
		for _, p := range b.list() {
			p.sumIfDue(now)
		}
	}
}

func (b *balancer) list() []*poolLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]*poolLoad, 0, len(b.pools))
	for _, p := range b.pools {
		list = append(list, p)
	}
	return list
}

// sumIfDue makes a new digest when the old one is due for it. Its stamp is the
// time, so that digests of a control process that takes over a pool count as
// newer.
func (p *poolLoad) sumIfDue(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	interval := digestInterval
	if p.pressed {
		interval = min(interval, pressedInterval+time.Duration(p.last.Targets)*pressedTargetTime)
	}
	if now.Sub(p.summed) < interval {
		return
	}
	p.summed = now
	p.pressed = false
	p.last = p.table.Sum(now)
	p.last.Version = uint64(now.UnixNano())
	close(p.fresh)
	p.fresh = make(chan struct{})
}

func (p *poolLoad) put(now time.Time, target ident.TargetName, report *wire.LoadReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pressed = p.pressed || report.GetLoad().GetQueued() > 0
	p.note(now, target, report)
	p.table.Put(now, digest.Report{
		Target:  target,
		Load:    watch.DecodeLoad(report.GetLoad()),
		Leaving: report.GetLeaving(),
	})
}

func (p *poolLoad) digest() (digest.Digest, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.last, p.fresh
}

// serve takes one sidecar's reports and sends it the digests of its pool.
func (b *balancer) serve(ctx context.Context, call *wire.Balance, stream *link.Stream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p := b.pool(digest.PoolName(call.GetPool()))
	go func() {
		defer cancel()
		for {
			report := new(wire.LoadReport)
			if stream.Receive(report) != nil {
				return
			}
			p.put(b.clock.Now(), ident.TargetName(call.GetTarget()), report)
		}
	}()
	var quiet quiet
	for {
		now := b.clock.Now()
		d, fresh := p.digest()
		if d.Targets > 0 && quiet.due(now, d) && stream.Send(watch.EncodeDigest(now, d)) != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-fresh:
		}
	}
}

// quietInterval is how often the digest of a pool without work is sent while
// nothing changes.
const quietInterval = 400 * time.Millisecond

// quiet leaves out the digests that would say nothing new. Its zero value may
// be used.
type quiet struct {
	last   digest.Digest
	sentAt time.Time
}

// due reports whether a digest is to be sent, and then takes it as sent.
func (q *quiet) due(now time.Time, d digest.Digest) bool {
	idle := d.Requests == 0 && q.last.Requests == 0 && d.Targets == q.last.Targets
	if idle && now.Sub(q.sentAt) < quietInterval {
		return false
	}
	q.last = d
	q.sentAt = now
	return true
}
