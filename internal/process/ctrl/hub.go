package ctrl

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"cactusline.dev/cactusline/internal/conn/link"
	"cactusline.dev/cactusline/internal/conn/roster"
	"cactusline.dev/cactusline/internal/conn/watch"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/permit"
	"cactusline.dev/cactusline/internal/version/ident"
)

const (
	// confirmInterval is the interval between two confirmations of the newest
	// revision by a quorum.
	confirmInterval = 500 * time.Millisecond
	confirmTimeout  = time.Second
	// confirmBatchDelay is how long a confirmation for a new watcher is
	// delayed, so that it serves all processes that begin to watch at the same
	// time.
	confirmBatchDelay = 20 * time.Millisecond
	// maxPendingStamps limits the stamps of one watcher that wait for a
	// confirmation.
	maxPendingStamps = 8
)

// hub sends updates to the processes that watch this one.
type hub struct {
	cfg Config
	// started is the start time of this process.
	started time.Time

	// routers is the number of routers in the fleet.
	routers atomic.Uint32

	mu       sync.Mutex
	watchers map[*watcher]struct{}
	// departed are watchers that left less than a lease ago.
	departed []*watcher
	// nextConfirmation is closed when a quorum has confirmed the newest
	// revision again.
	nextConfirmation chan struct{}
	// lastBarrierStart is the time at which the last successful barrier began.
	lastBarrierStart time.Time
	// lastBarrierElapsed is the same as elapsed time, and steadySince the elapsed time
	// since which barriers have succeeded without a gap above maxOrderAge.
	lastBarrierElapsed time.Duration
	steadySince        time.Duration
	// loadTick is closed when changed loads are to be sent.
	loadTick chan struct{}

	// watcherAdded receives a value when a process begins to watch.
	watcherAdded chan struct{}

	documentPatches documentPatches
	loads           roster.LoadTotals
	silence         roster.SilenceTracker
	sendLimiter     *permit.SendLimiter
}

// watcher is the state of one process that watches this one.
type watcher struct {
	mu         sync.Mutex
	report     *wire.Watch
	reportedAt time.Time
	// sentRevision is the revision of the records that were last sent, and
	// sentVerdicts the index of the last crash verdicts.
	sentRevision ident.Revision
	sentVerdicts uint64
	// pendingStamps are the stamps of reports received since the last confirmed
	// barrier began, oldest first.
	pendingStamps []reportStamp

	// The fields below are used only by the goroutine that sends updates. The
	// goroutine that receives reports uses load too; hub.loads synchronizes the
	// access.
	sentDocument ident.Version
	// sentEvacuations is the index of the evacuations that were last sent.
	sentEvacuations uint64
	rosterSource    string
	rosterStep      uint64
	sentControls    string
	sentLeader      string
	load            roster.ProcessLoads
	// sentLimitStep is the step of the limits that were last sent.
	sentLimitStep uint64
	// sentSilenceStep is the step of the silent targets that were last sent.
	sentSilenceStep uint64
}

// reportStamp is a value that identifies a report of a watcher. It is sent back
// once a barrier that began after the receipt of the report has succeeded,
// which tells the watcher that its records were the newest after it sent the
// report.
type reportStamp struct {
	value      int64
	receivedAt time.Time
}

func newHub(cfg Config, sendLimiter *permit.SendLimiter) *hub {
	return &hub{
		cfg:              cfg,
		sendLimiter:      sendLimiter,
		started:          cfg.Clock.Now(),
		watchers:         make(map[*watcher]struct{}),
		nextConfirmation: make(chan struct{}),
		loadTick:         make(chan struct{}),
		watcherAdded:     make(chan struct{}, 1),
	}
}

// addWatcher registers a process that begins to watch.
func (h *hub) addWatcher(request *wire.Watch, revision ident.Revision) *watcher {
	w := &watcher{
		sentRevision: revision, sentDocument: ident.Version(request.GetDocument()),
		rosterSource: request.GetRosterSource(), rosterStep: request.GetRosterStep(),
	}
	h.recordReport(w, request)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.watchers[w] = struct{}{}
	if h.cfg.Roster != nil {
		// Only gates become ready sooner by an early confirmation. Other processes
		// also wait for a sidecar.
		select {
		case h.watcherAdded <- struct{}{}:
		default:
		}
	}
	return w
}

// removeWatcher unregisters a process that stopped watching. It is remembered
// for one lease.
func (h *hub) removeWatcher(w *watcher) {
	h.loads.Remove(&w.load)
	h.silence.Remove(&w.load)
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.watchers, w)
	h.dropExpired(h.cfg.Clock.Now())
	h.departed = append(h.departed, w)
}

// recordReport stores a report of a watcher.
func (h *hub) recordReport(w *watcher, report *wire.Watch) {
	now := h.cfg.Clock.Now()
	if loads := report.GetLoads(); loads != nil && h.cfg.Roster != nil && loads.GetRosterSource() == h.cfg.Roster.Source() {
		h.loads.Update(now, &w.load, loads)
		h.silence.Report(now, &w.load, loads)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.report = report
	w.reportedAt = now
	if len(w.pendingStamps) < maxPendingStamps {
		w.pendingStamps = append(w.pendingStamps, reportStamp{value: report.GetStamp(), receivedAt: now})
	}
}

// takeConfirmedStamp removes the stamps that were received before barrierStart.
// It returns the newest of them, 0 if there are none.
func (w *watcher) takeConfirmedStamp(barrierStart time.Time) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	kept := w.pendingStamps[:0]
	var newest int64
	for _, s := range w.pendingStamps {
		if s.receivedAt.Before(barrierStart) {
			newest = s.value
			continue
		}
		kept = append(kept, s)
	}
	w.pendingStamps = kept
	return newest
}

// runConfirmations has a quorum confirm the newest revision at each interval,
// and soon after a process has begun to watch, until ctx is done.
func (h *hub) runConfirmations(ctx context.Context) {
	for ctx.Err() == nil {
		began, beganElapsed := h.cfg.Clock.Now(), h.cfg.Clock.Elapsed()
		if h.barrier(ctx) == nil {
			h.mu.Lock()
			if h.lastBarrierStart.IsZero() || h.cfg.Clock.Elapsed()-h.lastBarrierElapsed > maxOrderAge {
				h.steadySince = h.cfg.Clock.Elapsed()
			}
			h.lastBarrierStart, h.lastBarrierElapsed = began, beganElapsed
			close(h.nextConfirmation)
			h.nextConfirmation = make(chan struct{})
			h.mu.Unlock()
		}
		select {
		case <-ctx.Done():
		case <-h.cfg.Clock.After(confirmInterval):
		case <-h.watcherAdded:
			_ = h.cfg.Clock.Sleep(ctx, confirmBatchDelay)
		}
	}
}

// barrier waits for a barrier of the log with a timeout.
func (h *hub) barrier(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	_, err := h.cfg.Log.Barrier(ctx)
	return err
}

// signals returns the start of the last successful barrier, and channels that
// are closed at the next confirmation and the next load tick.
func (h *hub) signals() (barrierStart time.Time, nextConfirmation, loadTick <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastBarrierStart, h.nextConfirmation, h.loadTick
}

// confirmedAge returns how long ago the last successful barrier began.
func (h *hub) confirmedAge() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lastBarrierStart.IsZero() {
		return math.MaxInt64
	}
	return h.cfg.Clock.Elapsed() - h.lastBarrierElapsed
}

// sendUpdates sends a watcher every update until ctx is done or sending fails.
func (h *hub) sendUpdates(ctx context.Context, w *watcher, stream *link.Stream) {
	for {
		storeChanged := h.cfg.Store.Changed()
		rosterChanged := h.rosterChanged()
		barrierStart, nextConfirmation, loadTick := h.signals()
		if update := h.nextUpdate(w, barrierStart); update != nil {
			if stream.Send(update) != nil {
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-storeChanged:
		case <-nextConfirmation:
		case <-rosterChanged:
		case <-loadTick:
		}
	}
}

// nextUpdate returns what has not been sent to a watcher yet, nil if there is
// nothing. The caller reads barrierStart before this function reads the
// records, so that the records sent are at least as new as those that the
// barrier confirmed.
func (h *hub) nextUpdate(w *watcher, barrierStart time.Time) *wire.Update {
	update := new(wire.Update)
	changed := false
	if h.cfg.Store.Set().Revision() > w.sentRevision {
		update = watch.EncodeDelta(h.cfg.Store.DeltaSince(w.sentRevision))
		w.sentRevision = ident.Revision(update.GetRevision())
		changed = true
	}
	if verdicts, index := h.cfg.Store.Verdicts(); index != w.sentVerdicts {
		update.Verdicts = verdicts
		update.VerdictsSet = true
		update.VerdictsIndex = index
		w.sentVerdicts = index
		changed = true
	}
	if echo := w.takeConfirmedStamp(barrierStart); echo != 0 {
		update.Echo = echo
		changed = true
	}
	changed = h.addPlatformState(w, update) || changed
	update.Routers = h.routers.Load()
	if !changed {
		return nil
	}
	return update
}
