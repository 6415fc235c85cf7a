// Package place chooses the target of a request among those of a service: the
// one that holds most of the prompt, as long as its load is near the mean, and
// else one that is lightly loaded. Loads are the requests that this process
// has in flight plus what it was told of the others.
package place

import (
	"sync"
	"time"

	"cactusline.dev/cactusline/internal/conn/roster"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/version/ident"
)

// Config makes a Field.
type Config struct {
	// Name is this process's.
	Name string
	// Domain is this process's failure domain.
	Domain ident.DomainName
}

// Field holds the targets of all services. It is safe for concurrent use.
type Field struct {
	cfg Config
	// order is of equal targets.
	order uint64

	mu       sync.RWMutex
	source   string
	services map[ident.ServiceName]*service
	byNumber map[roster.Number]*Target
	byName   map[ident.TargetName]*Target
}

// service holds the targets of one service under a lock of its own.
type service struct {
	mu      sync.Mutex
	targets []*Target
	warm    warmth
}

// Target is one target. Its name, service and address never change; all else is
// guarded by the service.
type Target struct {
	roster.Target
	service *service
	// hash is of the name.
	hash uint64
	// since is when the target was first listed.
	since time.Time
	gone  bool
	own   int
	// others is what other processes have in flight.
	others int
	// heard is when the target last sent anything, or when it got a request
	// while it had none.
	heard  time.Time
	health health
}

// NewField returns a field without targets.
func NewField(cfg Config) *Field {
	return &Field{
		cfg:      cfg,
		order:    hashText(cfg.Name),
		services: make(map[ident.ServiceName]*service),
		byNumber: make(map[roster.Number]*Target),
		byName:   make(map[ident.TargetName]*Target),
	}
}

// Update replaces the list of targets, which source numbers.
func (f *Field) Update(now time.Time, source string, list []roster.Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	first := len(f.byName) == 0
	renumbered := source != f.source
	f.source = source
	listed := make(map[ident.TargetName]bool, len(list))
	f.byNumber = make(map[roster.Number]*Target, len(list))
	for _, entry := range list {
		listed[entry.Name] = true
		t := f.byName[entry.Name]
		if t == nil || t.Service != entry.Service || t.Address != entry.Address {
			f.remove(t)
			t = f.add(now, entry, first)
		}
		f.byNumber[entry.Number] = t
		t.service.mu.Lock()
		t.Number, t.Domain, t.Leaving, t.Slots = entry.Number, entry.Domain, entry.Leaving, entry.Slots
		if renumbered {
			t.others = 0
		}
		t.service.mu.Unlock()
	}
	for name, t := range f.byName {
		if !listed[name] {
			f.remove(t)
		}
	}
}

// add takes in a target; those of the first list count as old.
func (f *Field) add(now time.Time, entry roster.Target, first bool) *Target {
	s := f.services[entry.Service]
	if s == nil {
		s = new(service)
		f.services[entry.Service] = s
	}
	t := &Target{Target: entry, service: s, hash: hashText(string(entry.Name)), since: now}
	if first {
		t.since = now.Add(-youngFor)
	}
	f.byName[entry.Name] = t
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targets = append(s.targets, t)
	return t
}

func (f *Field) remove(t *Target) {
	if t == nil {
		return
	}
	delete(f.byName, t.Name)
	s := t.service
	s.mu.Lock()
	defer s.mu.Unlock()
	t.gone = true
	for i, other := range s.targets {
		if other == t {
			s.targets = append(s.targets[:i:i], s.targets[i+1:]...)
		}
	}
}

// TakeLoads takes what the other processes have in flight.
func (f *Field) TakeLoads(in *wire.TargetLoads) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if in.GetRosterSource() != f.source {
		return
	}
	for i, number := range in.GetTargets() {
		t := f.byNumber[roster.Number(number)]
		if t == nil || i >= len(in.GetRequests()) {
			continue
		}
		t.service.mu.Lock()
		t.others = int(in.GetRequests()[i])
		t.service.mu.Unlock()
	}
}

// Loads returns what this process has in flight.
func (f *Field) Loads() *wire.TargetLoads {
	f.mu.RLock()
	defer f.mu.RUnlock()
	out := &wire.TargetLoads{RosterSource: f.source}
	for number, t := range f.byNumber {
		t.service.mu.Lock()
		if t.own > 0 {
			out.Targets = append(out.Targets, uint32(number))
			out.Requests = append(out.Requests, uint32(t.own))
		}
		t.service.mu.Unlock()
	}
	return out
}

// Addresses returns the addresses of all targets that are listed.
func (f *Field) Addresses() map[string]bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	list := make(map[string]bool, len(f.byName))
	for _, t := range f.byName {
		list[t.Address] = true
	}
	return list
}

// Len returns the number of targets that are listed.
func (f *Field) Len() int {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return len(f.byName)
}

func (f *Field) service(name ident.ServiceName) *service {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.services[name]
}
