package watch

import (
	"fmt"
	"sync"

	"cactusline.dev/cactusline/internal/conn/roster"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/patch"
)

// fleet is what a follower holds besides records: the routing document, the
// targets of the platform, and what others have in flight there.
type fleet struct {
	mu       sync.Mutex
	version  ident.Version
	body     []byte
	view     roster.View
	controls []string
}

// Document returns the routing document, version 0 if none has come.
func (f *Follower) Document() (ident.Version, []byte) {
	f.fleet.mu.Lock()
	defer f.fleet.mu.Unlock()
	return f.fleet.version, f.fleet.body
}

// Targets returns the targets and the source that numbers them.
func (f *Follower) Targets() (source string, targets []roster.Target) {
	f.fleet.mu.Lock()
	defer f.fleet.mu.Unlock()
	return f.fleet.view.Source, f.fleet.view.Targets()
}

// ControlAddresses returns the addresses of the control processes that hold the log.
func (f *Follower) ControlAddresses() []string {
	f.fleet.mu.Lock()
	defer f.fleet.mu.Unlock()
	return f.fleet.controls
}

func (f *Follower) standing() (source string, step uint64, document ident.Version) {
	f.fleet.mu.Lock()
	defer f.fleet.mu.Unlock()
	return f.fleet.view.Source, f.fleet.view.Step, f.fleet.version
}

// takeFleet takes what an update tells besides records. An error means that
// the update does not fit what is held, and the watch is to begin anew.
func (f *Follower) takeFleet(update *wire.Update) error {
	if f.cfg.FollowLeader {
		f.places.lead(update.GetLeader())
	}
	if controls := update.GetControls(); len(controls) > 0 {
		f.places.set(controls)
		f.fleet.mu.Lock()
		f.fleet.controls = controls
		f.fleet.mu.Unlock()
	}
	return f.fleet.take(update)
}

func (f *fleet) take(update *wire.Update) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.takeDocument(update.GetDocument()); err != nil {
		return err
	}
	if in := update.GetRoster(); in != nil && !f.view.Apply(in) {
		source := f.view.Source
		f.view = roster.View{}
		return fmt.Errorf("roster of %s from step %d does not fit %s", in.GetSource(), in.GetFrom(), source)
	}
	return nil
}

// takeDocument takes a document of a higher version; any other changes nothing.
func (f *fleet) takeDocument(in *wire.Document) error {
	version := ident.Version(in.GetVersion())
	if version <= f.version {
		return nil
	}
	var base []byte
	if in.GetBase() != 0 {
		if ident.Version(in.GetBase()) != f.version {
			return fmt.Errorf("patch of document %d does not fit %d", in.GetBase(), f.version)
		}
		base = f.body
	}
	body, err := patch.Apply(base, in.GetPatch())
	if err != nil {
		return fmt.Errorf("document %d: %w", version, err)
	}
	f.version, f.body = version, body
	return nil
}
