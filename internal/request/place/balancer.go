// Package place chooses the target of each request among those of a service.
//
// A request with a prompt goes to the target that ranks first for the shared
// prefix of the prompt and so is likely to have it cached, as long as the load of
// that target is near the mean. Other requests go to the least loaded target. The
// load of a target is the number of requests that this process has in flight there
// plus what the other processes report.
package place

import (
	"cmp"
	"math"
	"sync"
	"time"

	"cactusline.dev/cactusline/internal/conn/roster"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/version/ident"
)

// Config configures a Balancer.
type Config struct {
	// Name is this process's name. It determines how ties are broken.
	Name string
	// Domain is this process's failure domain.
	Domain ident.DomainName
	// LeavingGrace is how long a target that has said that it leaves may get requests
	// that no other target can.
	LeavingGrace time.Duration
}

// Balancer holds the targets of all services. It is safe for concurrent use.
type Balancer struct {
	cfg Config
	// tieBreakKey ranks targets of equal load.
	tieBreakKey uint64

	mu sync.RWMutex
	// rosterSource identifies the process that numbers the targets, and the start
	// of that process. Target numbers are valid only together with it.
	rosterSource string
	services     map[ident.ServiceName]*service
	byNumber     map[roster.TargetNumber]*Target
	byName       map[ident.TargetName]*Target
	// evacuated are the failure domains whose targets get no requests.
	evacuated map[ident.DomainName]bool
	// regions has the region of each failure domain.
	regions map[ident.DomainName]ident.RegionName
	// coldness is how the targets of each service warm up, as the document says.
	coldness map[ident.ServiceName]Coldness
}

// service holds the targets of one service under its own lock.
type service struct {
	mu      sync.Mutex
	targets []*Target
	history prefixHistory
	// coldness is how its targets warm up.
	coldness Coldness
	// onlyVersion is the software version of all targets since onlyVersionSince, if
	// hasOnlyVersion is set.
	onlyVersion      ident.SoftwareVersion
	onlyVersionSince time.Time
	hasOnlyVersion   bool
	// usualWork is how long a request without a prompt takes at a target with a free slot,
	// 0 if unknown.
	usualWork time.Duration
	// remoteLoadsAt is when control last sent the loads of the other processes.
	remoteLoadsAt time.Time
	// chats records which targets were sent which whole prompts.
	chats prefixHistory
	// draws counts the pairs of targets that were drawn.
	draws uint64
}

// Target is a target that is or was listed. Its name, service, address and version never
// change; all other fields are guarded by the lock of the service.
type Target struct {
	roster.Target
	owner    *service
	nameHash uint64
	// listedAt is when the target was first listed. If the list was empty before, it
	// is newTargetPeriod earlier, so that the target does not count as new.
	listedAt time.Time
	removed  bool
	// inFlight is the number of requests that this process has in flight.
	inFlight int
	// remoteInFlight is the number that the other processes have in flight.
	remoteInFlight int
	// tokens are those of the requests that this process has in flight, and remoteTokens
	// those of the other processes.
	tokens       tokenUse
	remoteTokens ident.Tokens
	// lastActivity is when the target last sent anything, or when it got a request
	// while this process had none in flight there.
	lastActivity time.Time
	// lastAnswer is when the target last sent anything.
	lastAnswer time.Time
	// silentUntil is the end of the time for which the target answers no process, as
	// control has said last.
	silentUntil time.Time
	// evacuated is set while the failure domain of the target is evacuated.
	evacuated bool
	health    health
	notice    notice
	rateLimit RateLimit
	cold      coldState
	speed     speed
	reported  reportedLoad
	// region is that of the failure domain, empty if it is not known.
	region ident.RegionName
	// rateLimitInvalid is set while the target names a limit that cannot be used.
	rateLimitInvalid bool
	// noPermitUntil is when control may grant a permit again, for requests that are not
	// urgent and for those that are.
	noPermitUntil [2]time.Time
}

// NewBalancer returns a balancer without targets.
func NewBalancer(cfg Config) *Balancer {
	cfg.LeavingGrace = cmp.Or(cfg.LeavingGrace, defaultLeavingGrace)
	return &Balancer{
		cfg:         cfg,
		tieBreakKey: hashString(cfg.Name),
		services:    make(map[ident.ServiceName]*service),
		byNumber:    make(map[roster.TargetNumber]*Target),
		byName:      make(map[ident.TargetName]*Target),
	}
}

// Update replaces the list of targets, whose numbers are valid only together with
// source. If the source changes, the loads that other processes reported are reset.
func (b *Balancer) Update(now time.Time, source string, targets []roster.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	wasEmpty := len(b.byName) == 0
	renumbered := source != b.rosterSource
	b.rosterSource = source
	listed := make(map[ident.TargetName]bool, len(targets))
	b.byNumber = make(map[roster.TargetNumber]*Target, len(targets))
	for _, entry := range targets {
		listed[entry.Name] = true
		t := b.byName[entry.Name]
		if t == nil || t.Service != entry.Service || t.Address != entry.Address || t.Version != entry.Version {
			b.remove(t)
			t = b.add(now, entry, wasEmpty)
		}
		b.byNumber[entry.Number] = t
		t.owner.mu.Lock()
		t.Number, t.Domain, t.Leaving, t.Slots = entry.Number, entry.Domain, entry.Leaving, entry.Slots
		t.evacuated = b.evacuated[entry.Domain]
		t.region = b.regions[entry.Domain]
		t.updateListedColdness(now, entry.ColdUntil)
		if renumbered {
			t.remoteInFlight, t.remoteTokens = 0, 0
		}
		t.owner.mu.Unlock()
	}
	for name, t := range b.byName {
		if !listed[name] {
			b.remove(t)
		}
	}
	for _, s := range b.services {
		s.updateVersions(now)
	}
}

// add adds a listed target, which counts as new unless the list was empty before.
func (b *Balancer) add(now time.Time, entry roster.Target, wasEmpty bool) *Target {
	s := b.services[entry.Service]
	if s == nil {
		s = &service{coldness: b.coldness[entry.Service]}
		b.services[entry.Service] = s
	}
	t := &Target{Target: entry, owner: s, nameHash: hashString(string(entry.Name)), listedAt: now}
	if !entry.ColdUntil.IsZero() {
		t.cold = coldState{until: entry.ColdUntil, knownAt: now}
	}
	if wasEmpty {
		t.listedAt = now.Add(-newTargetPeriod)
	}
	b.byName[entry.Name] = t
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targets = append(s.targets, t)
	return t
}

func (b *Balancer) remove(t *Target) {
	if t == nil {
		return
	}
	delete(b.byName, t.Name)
	s := t.owner
	s.mu.Lock()
	defer s.mu.Unlock()
	t.removed = true
	for i, other := range s.targets {
		if other == t {
			s.targets = append(s.targets[:i:i], s.targets[i+1:]...)
		}
	}
}

// SetRemoteLoads sets the requests that the other processes have in flight. Targets
// that loads does not list keep theirs. It also applies the paces that other processes
// have heard, where they are newer. Loads whose targets are numbered by another source are
// ignored.
func (b *Balancer) SetRemoteLoads(now time.Time, loads *wire.TargetLoads) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	if loads.GetRosterSource() != b.rosterSource {
		return
	}
	for i, number := range loads.GetTargets() {
		t := b.byNumber[roster.TargetNumber(number)]
		if t == nil || i >= len(loads.GetRequests()) {
			continue
		}
		t.owner.mu.Lock()
		t.remoteInFlight = int(loads.GetRequests()[i])
		t.remoteTokens = ident.Tokens(roster.LoadTokens(loads, i))
		t.owner.mu.Unlock()
	}
	b.applyRemotePaces(now, loads)
	for _, s := range b.services {
		s.mu.Lock()
		s.remoteLoadsAt = now
		s.mu.Unlock()
	}
}

// LocalLoads returns the requests that this process has in flight at each target, their
// tokens, which targets have not answered, and the paces that it has heard and control has
// not. With all set, they are the paces that a control process lacks that has heard nothing.
func (b *Balancer) LocalLoads(now time.Time, all bool) *wire.TargetLoads {
	b.mu.RLock()
	defer b.mu.RUnlock()
	loads := &wire.TargetLoads{RosterSource: b.rosterSource}
	var tokens []uint32
	hasTokens := false
	for number, t := range b.byNumber {
		t.owner.mu.Lock()
		if t.inFlight > 0 {
			loads.Targets = append(loads.Targets, uint32(number))
			loads.Requests = append(loads.Requests, uint32(t.inFlight))
			tokens = append(tokens, uint32(min(t.tokens.own, math.MaxUint32)))
			hasTokens = hasTokens || t.tokens.own > 0
		}
		t.addSilence(now, loads)
		t.addPace(now, number, all, loads)
		t.owner.mu.Unlock()
	}
	if hasTokens {
		loads.Tokens = tokens
	}
	return loads
}

// Addresses returns the set of addresses of all listed targets.
func (b *Balancer) Addresses() map[string]bool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	addresses := make(map[string]bool, len(b.byName))
	for _, t := range b.byName {
		addresses[t.Address] = true
	}
	return addresses
}

// TargetCount returns the number of listed targets.
func (b *Balancer) TargetCount() int {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return len(b.byName)
}

func (b *Balancer) service(name ident.ServiceName) *service {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.services[name]
}
