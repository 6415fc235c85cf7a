// Package admit decides at a target which work may run: the sidecar's side
// of the choice of target.
//
// A sidecar is the only writer for its target and knows its own load exactly.
// It never takes work that would lift the target above the bound, a multiple
// of the pool's mean load. Work beyond the bound is queued fairly between
// customers within the caller's deadline, or refused before it runs.
package admit

import (
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"cactusline.dev/cactusline/internal/conn/digest"
	"cactusline.dev/cactusline/internal/version/ident"
)

// Defaults of Config.
const (
	DefaultLoadBound         = 1.25
	DefaultAdmitBound        = 1.2
	DefaultColdBound         = 1.08
	DefaultSigmas            = 3.0
	DefaultMaxRequests       = 64
	DefaultMaxQueue          = 64
	DefaultRetryAfter        = 500 * time.Millisecond
	DefaultMaxQueueTime      = 2 * time.Second
	DefaultPrefillRate       = 20_000
	DefaultWarmWaitFactor    = 8.0
	DefaultMaxChatLocations  = 4096
	DefaultSoftLimitRatio    = 0.75
	DefaultMinRedirectTokens = 256
)

// Config sets how a target admits work.
type Config struct {
	Target ident.TargetName
	// LoadBound is the multiple of the mean load that the target may carry.
	LoadBound float64
	// AdmitBound is the multiple of the mean at which admission stops, below Bound by
	// what the mean is likely to fall while admitted work still runs.
	AdmitBound float64
	// ColdBound is the multiple of the mean load up to which work is admitted
	// of which nothing is warm, unless the offer is final.
	ColdBound float64
	// Sigmas is how many standard deviations of the ends that may have
	// happened since the digest are taken off the mean.
	Sigmas float64
	// MaxRequests bounds the requests that the target runs whatever the mean.
	MaxRequests int
	// MaxTokens bounds the tokens that the target holds; 0 for no bound.
	MaxTokens ident.Tokens
	// SoftLimitRatio is the share of MaxRequests above which only customers below
	// their fair share are admitted.
	SoftLimitRatio float64
	// MaxQueue bounds the queued requests.
	MaxQueue int
	// MaxQueueTime bounds the wait in the queue, within the caller's deadline.
	MaxQueueTime time.Duration
	// PrefillRate is how many cold tokens the target computes in a second; work
	// waits for a warm prefix in proportion to the time that it saves.
	PrefillRate ident.Tokens
	// WarmWaitFactor is that proportion.
	WarmWaitFactor float64
	// RetryAfter is the middle of the time that refused callers are told.
	RetryAfter time.Duration
	// MaxChatLocations bounds the entries that say where chats were served.
	MaxChatLocations int
	// MinRedirectTokens is how many more prefix tokens another target must have for
	// a chat to be sent there.
	MinRedirectTokens ident.Tokens
	// Rand spreads the times told to refused callers.
	Rand *rand.Rand
	// OnInvariantBroken is called with an invariant that does not hold.
	OnInvariantBroken func(err error)
}

// Controller admits work to one target. It is safe for concurrent use.
type Controller struct {
	cfg      Config
	mu       sync.Mutex
	bound    bound
	running  map[ident.AttemptID]Work
	load     digest.Load
	accounts accounts
	// limit is the requests that the target might carry when work was last
	// weighed.
	limit    int
	leaving  bool
	down     bool
	forwards *table[ident.ChatKey, ChatLocation]
}

// New returns a controller for an idle target.
func New(cfg Config) (*Controller, error) {
	if cfg.LoadBound != 0 && cfg.LoadBound < 1 {
		return nil, errors.New("the bound is below the mean")
	}
	cfg.fill()
	return &Controller{
		cfg:      cfg,
		bound:    bound{factor: min(cfg.AdmitBound, cfg.LoadBound), sigmas: cfg.Sigmas, unseen: int(float64(cfg.MaxRequests) * cfg.SoftLimitRatio)},
		running:  make(map[ident.AttemptID]Work),
		forwards: newTable[ident.ChatKey, ChatLocation](cfg.MaxChatLocations),
	}, nil
}

func (cfg *Config) fill() {
	setDefault(&cfg.LoadBound, DefaultLoadBound)
	setDefault(&cfg.AdmitBound, min(DefaultAdmitBound, cfg.LoadBound))
	setDefault(&cfg.ColdBound, DefaultColdBound)
	setDefault(&cfg.Sigmas, DefaultSigmas)
	setDefault(&cfg.MaxRequests, DefaultMaxRequests)
	setDefault(&cfg.SoftLimitRatio, DefaultSoftLimitRatio)
	setDefault(&cfg.MaxQueue, DefaultMaxQueue)
	setDefault(&cfg.MaxQueueTime, DefaultMaxQueueTime)
	setDefault(&cfg.PrefillRate, DefaultPrefillRate)
	setDefault(&cfg.WarmWaitFactor, DefaultWarmWaitFactor)
	setDefault(&cfg.RetryAfter, DefaultRetryAfter)
	setDefault(&cfg.MinRedirectTokens, DefaultMinRedirectTokens)
	setDefault(&cfg.MaxChatLocations, DefaultMaxChatLocations)
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewPCG(0, 0))
	}
	if cfg.OnInvariantBroken == nil {
		cfg.OnInvariantBroken = func(error) {}
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Offer asks for work to be run. The verdicts settle queued work that had to
// make room.
func (c *Controller) Offer(now time.Time, w Work) (Decision, []QueuedDecision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if reason := c.unfit(now, w); reason != 0 {
		return c.refuse(w, reason), nil
	}
	if acc, _ := c.accounts.locate(w.Attempt); acc != nil {
		return c.refuse(w, Invalid), nil
	}
	if c.moved(w) {
		return c.refuse(w, Moved), nil
	}
	acc := c.accounts.get(w.Customer, w.Weight)
	if len(acc.queue) == 0 && c.fits(now, acc, w) && c.welcome(now, w) {
		return c.admit(now, acc, w), nil
	}
	if c.patience(w) <= 0 || !c.worthQueueing(now, w) {
		c.accounts.drop(acc)
		return c.refuse(w, Overloaded), nil
	}
	return c.enqueue(now, acc, w)
}

// unfit returns why the target may not take the work at all, 0 if it may.
func (c *Controller) unfit(now time.Time, w Work) Reason {
	_, known := c.running[w.Attempt]
	switch {
	case known:
		return Invalid
	case c.leaving:
		return Leaving
	case c.down:
		return Down
	case !w.Deadline.IsZero() && !now.Before(w.Deadline):
		return Deadline
	}
	return 0
}

// moved reports whether another target has so much more of the chat's prefix
// that the work had better go there.
func (c *Controller) moved(w Work) bool {
	f, ok := c.forwards.get(w.Chat)
	return ok && !w.Final && !w.Redirected && f.Target != c.cfg.Target && f.Tokens-w.WarmTokens >= c.cfg.MinRedirectTokens
}

// fits reports whether the work may run now.
func (c *Controller) fits(now time.Time, acc *account, w Work) bool {
	c.bound.advance(now, c.load.Requests)
	after := c.load.Requests + 1
	if after > c.cfg.MaxRequests {
		return false
	}
	if after > c.soft() && float64(acc.running+1) > c.accounts.share(acc, c.cfg.MaxRequests) {
		return false
	}
	requests, tokens := c.bound.limits(now, c.load, int64(w.Tokens))
	c.limit = requests
	if after > requests {
		return false
	}
	if c.load.Requests == 0 {
		return true
	}
	held := c.load.Tokens + w.Tokens
	if c.cfg.MaxTokens > 0 && held > c.cfg.MaxTokens {
		return false
	}
	return c.cfg.MaxTokens == 0 || int64(held) <= max(tokens, int64(float64(c.cfg.MaxTokens)*c.cfg.SoftLimitRatio))
}

// welcome reports whether work of which nothing is warm may run here rather
// than at a less loaded target.
func (c *Controller) welcome(now time.Time, w Work) bool {
	if w.Final || w.WarmTokens > 0 || c.bound.blind(now) {
		return true
	}
	return c.load.Requests+1 <= c.bound.cold(c.load, c.cfg.ColdBound)
}

// soft returns the requests above which fair shares count.
func (c *Controller) soft() int {
	return int(float64(c.cfg.MaxRequests) * c.cfg.SoftLimitRatio)
}

// admit takes the work on.
func (c *Controller) admit(now time.Time, acc *account, w Work) Decision {
	limit, _ := c.bound.limits(now, c.load, int64(w.Tokens))
	urgent := float64(acc.running+1) <= c.accounts.share(acc, c.load.Requests+1)
	c.running[w.Attempt] = w
	c.load.Requests++
	c.load.Tokens += w.Tokens
	c.accounts.charge(acc, w.Tokens)
	c.forwards.forget(w.Chat)
	if c.leaving || c.load.Requests > limit {
		c.cfg.OnInvariantBroken(&InvariantError{Target: c.cfg.Target, Load: c.load.Requests, Limit: limit, Leaving: c.leaving})
	}
	return Decision{Kind: Admitted, Urgent: urgent, Load: c.snapshot(), Limit: limit}
}

// refuse answers that the work is not run, with what helps the router on.
func (c *Controller) refuse(w Work, reason Reason) Decision {
	jitter := 0.5 + c.cfg.Rand.Float64()
	d := Decision{
		Kind:       Refused,
		Reason:     reason,
		RetryAfter: time.Duration(float64(c.cfg.RetryAfter) * jitter),
		Load:       c.snapshot(),
	}
	if f, ok := c.forwards.get(w.Chat); ok {
		d.ChatLocation = f
	}
	d.LessLoaded = c.lighter()
	return d
}

func (c *Controller) snapshot() digest.Load {
	load := c.load
	load.Queued = c.accounts.queued
	if load.Requests <= c.limit {
		load.Backed = min(load.Queued, load.Requests)
	}
	return load
}

// Done ends admitted work and returns verdicts on queued work. An attempt
// that is not running is ignored.
func (c *Controller) Done(now time.Time, id ident.AttemptID) []QueuedDecision {
	c.mu.Lock()
	defer c.mu.Unlock()
	w, ok := c.running[id]
	if !ok {
		return nil
	}
	c.bound.advance(now, c.load.Requests)
	c.bound.departures++
	delete(c.running, id)
	c.load.Requests--
	c.load.Tokens -= w.Tokens
	if acc := c.accounts.find(w.Customer); acc != nil {
		acc.running--
		c.accounts.drop(acc)
	}
	return c.settle(now)
}

// Cancel takes queued work back; it reports false if the work is not queued.
func (c *Controller) Cancel(id ident.AttemptID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	acc, i := c.accounts.locate(id)
	if acc == nil {
		return false
	}
	c.accounts.pop(acc, i)
	c.accounts.drop(acc)
	return true
}

// SetDigest takes news of the pool's load, if it is newer than what is
// known, and returns verdicts on queued work.
func (c *Controller) SetDigest(now time.Time, d digest.Digest) []QueuedDecision {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !d.Newer(c.bound.news) {
		return c.settle(now)
	}
	c.bound.news = d
	return append(c.settle(now), c.spill(now)...)
}

// Tick returns verdicts on queued work: what may run now and what has waited
// too long. It is to be called at least every tenth of a second.
func (c *Controller) Tick(now time.Time) []QueuedDecision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.settle(now)
}

// SetLeaving starts or ends the target's departure. A leaving target refuses
// new and queued work; running work is not touched.
func (c *Controller) SetLeaving(now time.Time, leaving bool) []QueuedDecision {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = leaving
	return c.settle(now)
}

// SetDown says whether the target answers at all. Queued work is refused
// while it does not.
func (c *Controller) SetDown(now time.Time, down bool) []QueuedDecision {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = down
	return c.settle(now)
}

// Load returns the target's outstanding work.
func (c *Controller) Load() digest.Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.snapshot()
}

// RecordChatLocation records that a chat was served at another target.
func (c *Controller) RecordChatLocation(now time.Time, chat ident.ChatKey, f ChatLocation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f.At = now
	c.forwards.put(chat, f)
}
