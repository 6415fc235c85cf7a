package ctrl

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/store"
)

const (
	// loadInterval is the interval at which changed loads are sent to the
	// watchers. Ranking by loads older than the duration of a short request
	// would be no better than ranking without them.
	loadInterval = 150 * time.Millisecond
	// keptDocuments is the number of recent documents from which patches can be
	// made.
	keptDocuments = 8
)

// documentPatches makes patches from recent routing documents to the newest
// one. Its zero value is ready to use.
type documentPatches struct {
	mu sync.Mutex
	// recent are the newest documents, in ascending order of version.
	recent []store.Document
	// patches has the patches to the newest document by the version they start
	// from.
	patches map[ident.Version]*wire.Document
}

// patch returns a patch from a version to the newest document. It is based on
// the empty document if the version is no longer kept.
func (p *documentPatches) patch(newest store.Document, from ident.Version) (*wire.Document, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.add(newest)
	base := store.Document{}
	for _, document := range p.recent {
		if document.Version == from {
			base = document
		}
	}
	if patch := p.patches[base.Version]; patch != nil {
		return patch, nil
	}
	body, err := store.NewPutDocument(base, p.recent[len(p.recent)-1])
	if err != nil {
		return nil, err
	}
	patch := &wire.Document{Version: body.GetVersion(), Base: body.GetBase(), Patch: body.GetPatch()}
	p.patches[base.Version] = patch
	return patch, nil
}

// add stores a document if it is newer than all others. The caller holds the
// lock.
func (p *documentPatches) add(newest store.Document) {
	if n := len(p.recent); n > 0 && p.recent[n-1].Version >= newest.Version {
		return
	}
	p.recent = append(p.recent, newest)
	if extra := len(p.recent) - keptDocuments; extra > 0 {
		p.recent = slices.Delete(p.recent, 0, extra)
	}
	p.patches = make(map[ident.Version]*wire.Document)
}

// tickLoads closes loadTick at each interval until ctx is done.
func (h *hub) tickLoads(ctx context.Context) {
	if h.cfg.Roster == nil {
		return
	}
	for h.cfg.Clock.Sleep(ctx, loadInterval) == nil {
		h.mu.Lock()
		close(h.loadTick)
		h.loadTick = make(chan struct{})
		h.mu.Unlock()
	}
}

// HasWatchers reports whether any process watches this one.
func (c *Control) HasWatchers() bool {
	c.hub.mu.Lock()
	defer c.hub.mu.Unlock()
	return len(c.hub.watchers) > 0
}

// rosterChanged returns a channel that is closed when the roster changes, nil
// without a roster.
func (h *hub) rosterChanged() <-chan struct{} {
	if h.cfg.Roster == nil {
		return nil
	}
	return h.cfg.Roster.Changed()
}

// addPlatformState adds the routing document, the evacuations, the roster, the loads
// and the control processes to an update if they changed since the last update to the
// watcher. A gate serves by its first document, and so must not get it without the
// evacuations. It reports whether any of them did.
func (h *hub) addPlatformState(w *watcher, update *wire.Update) bool {
	changed := h.addDocument(w, update)
	changed = h.addEvacuations(w, update) || changed
	if h.cfg.Roster != nil {
		if update.Roster = h.cfg.Roster.DeltaSince(h.cfg.Clock.Now(), w.rosterSource, w.rosterStep); update.Roster != nil {
			w.rosterSource, w.rosterStep = update.GetRoster().GetSource(), update.GetRoster().GetStep()
			changed = true
		}
		if update.Loads = h.loads.Delta(h.cfg.Clock.Now(), h.cfg.Roster.Source(), &w.load); update.Loads != nil {
			changed = true
		}
		changed = h.addRateLimits(w, update) || changed
		changed = h.addSilence(w, update) || changed
	}
	return h.addControlAddresses(w, update) || changed
}

// addSilence adds the targets that answer no process to an update, if they changed since
// the last update to the watcher. It reports whether they did.
func (h *hub) addSilence(w *watcher, update *wire.Update) bool {
	silent, step := h.silence.List(h.cfg.Clock.Now())
	if step == w.sentSilenceStep {
		return false
	}
	w.sentSilenceStep = step
	update.Silence = &wire.TargetSilence{RosterSource: h.cfg.Roster.Source()}
	for _, number := range silent {
		update.Silence.Targets = append(update.Silence.Targets, uint32(number))
	}
	return true
}

// addDocument adds a patch to the newest document and reports whether it did.
func (h *hub) addDocument(w *watcher, update *wire.Update) bool {
	newest := h.cfg.Store.Document()
	if newest.Version <= w.sentDocument {
		return false
	}
	patch, err := h.documentPatches.patch(newest, w.sentDocument)
	if err != nil {
		_ = level.Error(h.cfg.Logger).Log("msg", "cannot make document patch", "version", newest.Version, "err", err)
		return false
	}
	update.Document = patch
	w.sentDocument = ident.Version(patch.GetVersion())
	return true
}

// addControlAddresses sets the leader's address in every update, and the
// voters' addresses if they changed. It reports whether either changed.
func (h *hub) addControlAddresses(w *watcher, update *wire.Update) bool {
	if h.cfg.Group == nil {
		return false
	}
	status := h.cfg.Group.Status()
	var addresses []string
	for _, member := range status.Members {
		if !member.Learner {
			addresses = append(addresses, member.Address)
		}
		if member.ID == status.Leader {
			update.Leader = member.Address
		}
	}
	slices.Sort(addresses)
	changed := false
	if joinedAddresses := strings.Join(addresses, " "); joinedAddresses != w.sentControls {
		w.sentControls = joinedAddresses
		update.Controls = addresses
		changed = true
	}
	if update.GetLeader() != w.sentLeader {
		w.sentLeader = update.GetLeader()
		changed = true
	}
	return changed
}
