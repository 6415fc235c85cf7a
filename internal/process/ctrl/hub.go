package ctrl

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"cactusline.dev/cactusline/internal/conn/link"
	"cactusline.dev/cactusline/internal/conn/roster"
	"cactusline.dev/cactusline/internal/conn/watch"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/version/ident"
)

const (
	// confirmInterval is how often a quorum confirms the newest revision.
	confirmInterval = 500 * time.Millisecond
	confirmTimeout  = time.Second
	// gatherTime lets one question to the quorum serve all processes that begin
	// to watch at once.
	gatherTime = 20 * time.Millisecond
	// maxStamps bounds the reports of one watcher that wait for a quorum.
	maxStamps = 8
)

// hub feeds the processes that watch this one.
type hub struct {
	cfg Config
	// started is when this process began to serve.
	started time.Time

	// routers counts the routers of the fleet.
	routers atomic.Uint32

	mu       sync.Mutex
	watchers map[*watcher]struct{}
	// gone are watchers that left within a lease.
	gone []*watcher
	// confirmed is closed when a quorum has confirmed the newest revision.
	confirmed chan struct{}
	// since is when the last confirmed barrier began.
	since time.Time
	// beat is closed at each pulse, when changed loads are sent.
	beat chan struct{}

	// joined is signaled when a process begins to watch.
	joined chan struct{}

	papers papers
	loads  roster.LoadTotals
}

// watcher is one process that watches.
type watcher struct {
	mu       sync.Mutex
	report   *wire.Watch
	reported time.Time
	sent     ident.Revision
	verdicts uint64
	// stamps are reports that no barrier has followed yet, oldest first.
	stamps []stamp

	// The fields below are used by the feeding goroutine alone, but for load.
	document     ident.Version
	rosterSource string
	rosterStep   uint64
	controls     string
	leader       string
	load         roster.ProcessLoads
}

type stamp struct {
	value    int64
	received time.Time
}

func newHub(cfg Config) *hub {
	return &hub{
		cfg:       cfg,
		started:   cfg.Clock.Now(),
		watchers:  make(map[*watcher]struct{}),
		confirmed: make(chan struct{}),
		beat:      make(chan struct{}),
		joined:    make(chan struct{}, 1),
	}
}

func (h *hub) join(first *wire.Watch, revision ident.Revision) *watcher {
	w := &watcher{
		sent: revision, document: ident.Version(first.GetDocument()),
		rosterSource: first.GetRosterSource(), rosterStep: first.GetRosterStep(),
	}
	h.take(w, first)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.watchers[w] = struct{}{}
	if h.cfg.Roster != nil {
		// Only gates, which need no sidecar to be ready too, gain by it.
		select {
		case h.joined <- struct{}{}:
		default:
		}
	}
	return w
}

func (h *hub) leave(w *watcher) {
	h.loads.Remove(&w.load)
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.watchers, w)
	h.forget(h.cfg.Clock.Now())
	h.gone = append(h.gone, w)
}

// take notes what a watcher reports.
func (h *hub) take(w *watcher, report *wire.Watch) {
	now := h.cfg.Clock.Now()
	if loads := report.GetLoads(); loads != nil && h.cfg.Roster != nil && loads.GetRosterSource() == h.cfg.Roster.Source() {
		h.loads.Update(&w.load, loads)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.report = report
	w.reported = now
	if len(w.stamps) < maxStamps {
		w.stamps = append(w.stamps, stamp{value: report.GetStamp(), received: now})
	}
}

// echo returns the newest stamp that came before since, 0 if there is no new
// one.
func (w *watcher) echo(since time.Time) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	kept := w.stamps[:0]
	var newest int64
	for _, s := range w.stamps {
		if s.received.Before(since) {
			newest = s.value
			continue
		}
		kept = append(kept, s)
	}
	w.stamps = kept
	return newest
}

// confirm asks a quorum at each interval, and soon after a process has begun to
// watch, whether the records are the newest.
func (h *hub) confirm(ctx context.Context) {
	for ctx.Err() == nil {
		began := h.cfg.Clock.Now()
		if h.barrier(ctx) == nil {
			h.mu.Lock()
			h.since = began
			close(h.confirmed)
			h.confirmed = make(chan struct{})
			h.mu.Unlock()
		}
		select {
		case <-ctx.Done():
		case <-h.cfg.Clock.After(confirmInterval):
		case <-h.joined:
			_ = h.cfg.Clock.Sleep(ctx, gatherTime)
		}
	}
}

func (h *hub) barrier(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	_, err := h.cfg.Log.Barrier(ctx)
	return err
}

func (h *hub) confirmation() (since time.Time, confirmed, beat <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.since, h.confirmed, h.beat
}

// feed sends a watcher what is new until ctx ends.
func (h *hub) feed(ctx context.Context, w *watcher, stream *link.Stream) {
	for {
		changed := h.cfg.Store.Changed()
		listed := h.rosterChanged()
		since, confirmed, beat := h.confirmation()
		if update := h.news(w, since); update != nil {
			if stream.Send(update) != nil {
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-confirmed:
		case <-listed:
		case <-beat:
		}
	}
}

// news returns what a watcher has not been sent yet, nil if there is nothing.
// The confirmation is read before the records, so that it never vouches for
// older ones than it confirmed.
func (h *hub) news(w *watcher, since time.Time) *wire.Update {
	update := new(wire.Update)
	some := false
	if h.cfg.Store.Set().Revision() > w.sent {
		update = watch.EncodeDelta(h.cfg.Store.DeltaSince(w.sent))
		w.sent = ident.Revision(update.GetRevision())
		some = true
	}
	if verdicts, index := h.cfg.Store.Verdicts(); index != w.verdicts {
		update.Verdicts = verdicts
		update.VerdictsSet = true
		update.VerdictsIndex = index
		w.verdicts = index
		some = true
	}
	if echo := w.echo(since); echo != 0 {
		update.Echo = echo
		some = true
	}
	some = h.addFleet(w, update) || some
	update.Routers = h.routers.Load()
	if !some {
		return nil
	}
	return update
}
