// Package rank orders the targets of one pool for a request: the router's
// side of the choice of target.
//
// A router proposes and the target's sidecar decides, so that a stale view
// costs a hop and never an invariant. A chat goes to the target that
// rendezvous hashing gives it, unless that target is believed to be at its
// bound or the chat is known to have been served elsewhere.
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

// maxLimit bounds the candidates of one choice.
const maxLimit = 8

// Config sets how a pool ranks its targets.
type Config struct {
	// Domain is the failure domain of the router.
	Domain ident.DomainName
	// Delays gives the one-way delay to failure domains; the others are far.
	Delays []DomainDelay
	// LoadBound is the multiple of the mean load that a target may carry.
	LoadBound float64
	// MaxCandidates is how many candidates a choice returns, at most 8.
	MaxCandidates int
	// MaxRefusals is how many refusals a plan takes before its final offer.
	MaxRefusals int
	// SlowStart is how long a joining target takes to get its whole share.
	SlowStart time.Duration
	// ReturningChatDelay is how long returning chats are kept from a joining target;
	// its share of them rises over as long again.
	ReturningChatDelay time.Duration
	// LoadTTL is how long a reported load is believed.
	LoadTTL time.Duration
	// Seed differs between routers, so that their probes differ.
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
	// JoinedAt is when the target became ready; zero for one of old.
	JoinedAt time.Time
	// Leaving excludes a target that departs or is retired.
	Leaving bool
}

// Query describes the request for which a target is sought.
type Query struct {
	Now time.Time
	// Chat is zero for work that gains nothing from returning.
	Chat ident.ChatKey
	// PrefixTokens is the length of the prefix that the chat has already, 0 for a
	// new chat, of which nothing can be warm.
	PrefixTokens ident.Tokens
	// LastServedBy names the target that served the chat last, if that is known.
	LastServedBy ident.TargetName
	// Exclude names a target that has refused or failed the request.
	Exclude ident.TargetName
}

// Candidate is one proposed target.
type Candidate struct {
	Target ident.TargetName
	Reason Reason
	// Index is the target's place in the list given to Update.
	Index int
}

// Pool ranks the targets of one pool. It is safe for concurrent use: a
// choice takes no lock.
type Pool struct {
	cfg   Config
	mu    sync.Mutex
	state atomic.Pointer[snapshot]
	draws atomic.Uint64
	mean  atomic.Uint64
	// bound holds the bits of the multiple of the mean.
	bound atomic.Uint64
}

// New returns an empty pool.
func New(cfg Config) *Pool {
	if cfg.MaxCandidates <= 0 {
		cfg.MaxCandidates = DefaultMaxCandidates
	}
	cfg.MaxCandidates = min(cfg.MaxCandidates, maxLimit)
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

// Update replaces the targets of the pool. What is believed of the load of
// targets that stay is kept.
func (p *Pool) Update(targets []Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.Store(newSnapshot(p.cfg, targets, p.state.Load()))
}

// SetLoadBound sets the multiple of the mean load that a target may carry; zero
// means DefaultBound.
func (p *Pool) SetLoadBound(bound float64) {
	if bound == 0 {
		bound = DefaultLoadBound
	}
	p.bound.Store(math.Float64bits(bound))
}

// SetDigest takes the pool's mean load from a digest.
func (p *Pool) SetDigest(d digest.Digest) {
	p.mean.Store(math.Float64bits(d.Mean()))
}

// ObserveLoad takes the load that a target reported in a reply or a refusal.
func (p *Pool) ObserveLoad(now time.Time, name ident.TargetName, load digest.Load) {
	s := p.state.Load()
	if i, ok := s.byName[name]; ok {
		s.beliefs[i].load.Store(packLoad(now, load))
	}
}

// Eject keeps a target out of the choice until the given time, as after
// failures to reach it.
func (p *Pool) Eject(name ident.TargetName, until time.Time) {
	s := p.state.Load()
	if i, ok := s.byName[name]; ok {
		s.beliefs[i].ejectedUntil.Store(until.UnixNano())
	}
}

// Len returns how many targets the pool holds, the leaving ones too.
func (p *Pool) Len() int { return len(p.state.Load().targets) }

// capacity returns the requests that a target may carry as far as is known.
func (p *Pool) capacity() int {
	mean := math.Float64frombits(p.mean.Load())
	return max(1, int(math.Ceil(math.Float64frombits(p.bound.Load())*mean)))
}
