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
	// loadInterval is how often changed loads are sent to the watchers. Ranking
	// by loads that are older than a short request lasts would be no better than
	// ranking without them.
	loadInterval = 150 * time.Millisecond
	// keptDocuments is the number of older documents that patches are made of.
	keptDocuments = 8
)

// papers makes patches between the newest routing documents. Its zero value
// may be used.
type papers struct {
	mu sync.Mutex
	// kept are the newest documents, the newest last.
	kept []store.Document
	// patches are those that lead to the newest, by their base.
	patches map[ident.Version]*wire.Document
}

// patch returns what leads from a version to the newest document.
func (p *papers) patch(newest store.Document, from ident.Version) (*wire.Document, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.note(newest)
	base := store.Document{}
	for _, kept := range p.kept {
		if kept.Version == from {
			base = kept
		}
	}
	if made := p.patches[base.Version]; made != nil {
		return made, nil
	}
	body, err := store.DocumentPatch(base, p.kept[len(p.kept)-1])
	if err != nil {
		return nil, err
	}
	made := &wire.Document{Version: body.GetVersion(), Base: body.GetBase(), Patch: body.GetPatch()}
	p.patches[base.Version] = made
	return made, nil
}

// note keeps a newest document. The caller holds the lock.
func (p *papers) note(newest store.Document) {
	if n := len(p.kept); n > 0 && p.kept[n-1].Version >= newest.Version {
		return
	}
	p.kept = append(p.kept, newest)
	if extra := len(p.kept) - keptDocuments; extra > 0 {
		p.kept = slices.Delete(p.kept, 0, extra)
	}
	p.patches = make(map[ident.Version]*wire.Document)
}

// pulse lets changed loads be sent at each interval until ctx ends.
func (h *hub) pulse(ctx context.Context) {
	if h.cfg.Roster == nil {
		return
	}
	for h.cfg.Clock.Sleep(ctx, loadInterval) == nil {
		h.mu.Lock()
		close(h.beat)
		h.beat = make(chan struct{})
		h.mu.Unlock()
	}
}

// HasWatchers reports whether any process watches this one.
func (c *Control) HasWatchers() bool {
	c.hub.mu.Lock()
	defer c.hub.mu.Unlock()
	return len(c.hub.watchers) > 0
}

func (h *hub) rosterChanged() <-chan struct{} {
	if h.cfg.Roster == nil {
		return nil
	}
	return h.cfg.Roster.Changed()
}

// addFleet adds the routing document, the roster, the loads and the control
// processes where they are news to the watcher, and reports whether any are.
func (h *hub) addFleet(w *watcher, update *wire.Update) bool {
	some := h.addDocument(w, update)
	if h.cfg.Roster != nil {
		if update.Roster = h.cfg.Roster.DeltaSince(w.rosterSource, w.rosterStep); update.Roster != nil {
			w.rosterSource, w.rosterStep = update.GetRoster().GetSource(), update.GetRoster().GetStep()
			some = true
		}
		if update.Loads = h.loads.Delta(h.cfg.Roster.Source(), &w.load); update.Loads != nil {
			some = true
		}
	}
	return h.addControls(w, update) || some
}

func (h *hub) addDocument(w *watcher, update *wire.Update) bool {
	newest := h.cfg.Store.Document()
	if newest.Version <= w.document {
		return false
	}
	made, err := h.papers.patch(newest, w.document)
	if err != nil {
		_ = level.Error(h.cfg.Logger).Log("msg", "make document patch", "version", newest.Version, "err", err)
		return false
	}
	update.Document = made
	w.document = ident.Version(made.GetVersion())
	return true
}

// addControls tells of the control processes and of their leader. The leader
// rides in every update that is sent.
func (h *hub) addControls(w *watcher, update *wire.Update) bool {
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
	some := false
	if joined := strings.Join(addresses, " "); joined != w.controls {
		w.controls = joined
		update.Controls = addresses
		some = true
	}
	if update.GetLeader() != w.leader {
		w.leader = update.GetLeader()
		some = true
	}
	return some
}
