package watch

import (
	"fmt"
	"sync"
	"time"

	"cactusline.dev/cactusline/internal/conn/roster"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/patch"
)

// fleetState is what a follower holds besides records: the routing document,
// the targets of the platform and the addresses of the control processes.
type fleetState struct {
	mu               sync.Mutex
	documentVersion  ident.Version
	document         []byte
	roster           roster.View
	controlAddresses []string
}

// Document returns the version and body of the routing document. The version
// is 0 if none has been received.
func (f *Follower) Document() (ident.Version, []byte) {
	f.fleet.mu.Lock()
	defer f.fleet.mu.Unlock()
	return f.fleet.documentVersion, f.fleet.document
}

// Targets returns the targets and the source that assigned their numbers.
func (f *Follower) Targets() (source string, targets []roster.Target) {
	f.fleet.mu.Lock()
	defer f.fleet.mu.Unlock()
	return f.fleet.roster.Source, f.fleet.roster.Targets()
}

// ControlAddresses returns the addresses of the control processes that store
// the log.
func (f *Follower) ControlAddresses() []string {
	f.fleet.mu.Lock()
	defer f.fleet.mu.Unlock()
	return f.fleet.controlAddresses
}

// position returns the step of the roster and the version of the document that
// the follower holds.
func (f *Follower) position() (source string, step uint64, document ident.Version) {
	f.fleet.mu.Lock()
	defer f.fleet.mu.Unlock()
	return f.fleet.roster.Source, f.fleet.roster.Step, f.fleet.documentVersion
}

// applyFleetState applies what an update carries besides records. An error
// means that a delta does not apply to the state held, so that the watch must
// be restarted.
func (f *Follower) applyFleetState(update *wire.Update) error {
	if f.cfg.FollowLeader {
		f.endpoints.setLeader(update.GetLeader())
	}
	if controls := update.GetControls(); len(controls) > 0 {
		f.endpoints.setLearned(controls)
		f.fleet.mu.Lock()
		f.fleet.controlAddresses = controls
		f.fleet.mu.Unlock()
	}
	return f.fleet.apply(f.cfg.Clock.Now(), update)
}

func (f *fleetState) apply(now time.Time, update *wire.Update) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.applyDocument(update.GetDocument()); err != nil {
		return err
	}
	if in := update.GetRoster(); in != nil && !f.roster.Apply(now, in) {
		source := f.roster.Source
		f.roster = roster.View{}
		return fmt.Errorf("roster of source %q from step %d does not apply to a view of source %q", in.GetSource(), in.GetFrom(), source)
	}
	return nil
}

// applyDocument applies a document of a higher version and ignores any other.
func (f *fleetState) applyDocument(in *wire.Document) error {
	version := ident.Version(in.GetVersion())
	if version <= f.documentVersion {
		return nil
	}
	var base []byte
	if in.GetBase() != 0 {
		if ident.Version(in.GetBase()) != f.documentVersion {
			return fmt.Errorf("patch from document version %d does not apply to version %d", in.GetBase(), f.documentVersion)
		}
		base = f.document
	}
	body, err := patch.Apply(base, in.GetPatch())
	if err != nil {
		return fmt.Errorf("document version %d: %w", version, err)
	}
	f.documentVersion, f.document = version, body
	return nil
}
