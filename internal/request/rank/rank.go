// Package rank selects the targets of one pool to which a router offers a
// request. Package admit is its counterpart in the target's sidecar.
//
// The router only proposes targets and the sidecar decides, so that a router
// with stale information costs an extra hop but breaks no limit. A chat goes to
// its home target, the one with the highest rendezvous hash, unless that target
// appears to be at its load bound or another target is known to have served the
// chat last.
package rank

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"cactusline.dev/cactusline/internal/conn/digest"
	"cactusline.dev/cactusline/internal/version/ident"
)

// Defaults of Config.
const (
	DefaultLoadBound          = 1.25
	DefaultMaxRefusals        = 3
	DefaultMaxCandidates      = 4
	DefaultSlowStart          = 10 * time.Second
	DefaultReturningChatDelay = 5 * time.Minute
	DefaultLoadTTL            = time.Second
)

// maxCandidates is the upper limit of Config.MaxCandidates.
const maxCandidates = 8

// Config configures a Pool. Zero fields take the defaults, except Domain, Delays
// and Seed.
type Config struct {
	// Domain is the failure domain of the router.
	Domain ident.DomainName
	// Delays lists the one-way delays to other failure domains. A domain that is
	// not listed counts as defaultDelay away.
	Delays []DomainDelay
	// LoadBound is the multiple of the pool's mean load that a target may carry.
	LoadBound float64
	// MaxCandidates is the maximum number of candidates that Choose returns, at
	// most 8.
	MaxCandidates int
	// MaxRefusals is the number of refusals after which a plan makes its final
	// offer.
	MaxRefusals int
	// SlowStart is the time over which the share of new chats of a joining target
	// rises to its full share.
	SlowStart time.Duration
	// ReturningChatDelay is how long a joining target gets no returning chats;
	// its share of them then rises over the same time.
	ReturningChatDelay time.Duration
	// LoadTTL is the age up to which a reported load is used.
	LoadTTL time.Duration
	// Seed is the seed of random choices. It must differ between routers, so that
	// they probe different targets.
	Seed uint64
}

// DomainDelay is the one-way delay from the router to a failure domain.
type DomainDelay struct {
	Domain ident.DomainName
	Delay  time.Duration
}

// Target describes one target of the pool.
type Target struct {
	Name   ident.TargetName
	Domain ident.DomainName
	// JoinedAt is when the target became ready; zero if it has no slow start.
	JoinedAt time.Time
	// Leaving excludes a target that is draining or retired.
	Leaving bool
}

// Query describes the request for which targets are chosen.
type Query struct {
	Now time.Time
	// Chat is zero for work that does not benefit from a prefix cache.
	Chat ident.ChatKey
	// PrefixTokens is the length of the prefix that a returning chat has sent
	// before; 0 for a new chat, which no target can have cached.
	PrefixTokens ident.Tokens
	// LastServedBy is the target that last served the chat, if known.
	LastServedBy ident.TargetName
	// Exclude is a target that must not be chosen, such as one that has refused or
	// failed the request.
	Exclude ident.TargetName
}

// Candidate is one proposed target.
type Candidate struct {
	Target ident.TargetName
	Reason Reason
	// Index is the target's index in the list given to Update.
	Index int
}

// Pool chooses among the targets of one pool. It is safe for concurrent use;
// only Update takes a lock.
type Pool struct {
	cfg   Config
	mu    sync.Mutex
	state atomic.Pointer[snapshot]
	// randomCounter is the input of the pseudo-random generator, incremented by
	// each use.
	randomCounter atomic.Uint64
	// meanLoad and loadBound hold the bits of a float64.
	meanLoad  atomic.Uint64
	loadBound atomic.Uint64
}

// New returns an empty pool.
func New(cfg Config) *Pool {
	if cfg.MaxCandidates <= 0 {
		cfg.MaxCandidates = DefaultMaxCandidates
	}
	cfg.MaxCandidates = min(cfg.MaxCandidates, maxCandidates)
	if cfg.MaxRefusals <= 0 {
		cfg.MaxRefusals = DefaultMaxRefusals
	}
	if cfg.SlowStart == 0 {
		cfg.SlowStart = DefaultSlowStart
	}
	if cfg.ReturningChatDelay == 0 {
		cfg.ReturningChatDelay = DefaultReturningChatDelay
	}
	if cfg.LoadTTL == 0 {
		cfg.LoadTTL = DefaultLoadTTL
	}
	p := &Pool{cfg: cfg}
	p.SetLoadBound(cfg.LoadBound)
	p.state.Store(newSnapshot(cfg, nil, nil))
	return p
}

// Update replaces the targets of the pool. Targets that stay keep their reported
// load and ejection.
func (p *Pool) Update(targets []Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.Store(newSnapshot(p.cfg, targets, p.state.Load()))
}

// SetLoadBound sets the multiple of the mean load that a target may carry; zero
// means DefaultLoadBound.
func (p *Pool) SetLoadBound(bound float64) {
	if bound == 0 {
		bound = DefaultLoadBound
	}
	p.loadBound.Store(math.Float64bits(bound))
}

// SetDigest sets the pool's mean load from a digest.
func (p *Pool) SetDigest(d digest.Digest) {
	p.meanLoad.Store(math.Float64bits(d.Mean()))
}

// ObserveLoad records the load that a target reported in a reply or a refusal.
func (p *Pool) ObserveLoad(now time.Time, name ident.TargetName, load digest.Load) {
	s := p.state.Load()
	if i, ok := s.byName[name]; ok {
		s.statuses[i].load.Store(packLoad(now, load))
	}
}

// Eject excludes a target until the given time, for instance after failures to
// reach it.
func (p *Pool) Eject(name ident.TargetName, until time.Time) {
	s := p.state.Load()
	if i, ok := s.byName[name]; ok {
		s.statuses[i].ejectedUntil.Store(until.UnixNano())
	}
}

// Len returns the number of targets in the pool, including leaving ones.
func (p *Pool) Len() int { return len(p.state.Load().targets) }

// requestLimit returns the number of requests that a target may carry, by the
// last known mean load.
func (p *Pool) requestLimit() int {
	mean := math.Float64frombits(p.meanLoad.Load())
	return max(1, int(math.Ceil(math.Float64frombits(p.loadBound.Load())*mean)))
}
