// Package admit implements admission control for one target. It runs in the
// target's sidecar; package rank is its counterpart in the router.
//
// All work for a target passes through its sidecar, which therefore knows the
// target's load exactly. It never admits work that would raise the load above
// the load bound, a multiple of the pool's mean load. Work beyond the bound is
// queued, with fair queueing between customers and within the caller's
// deadline, or refused before it runs.
//
// Work of a returning chat is warm if part of its prefix is in the target's
// cache, otherwise cold.
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
	DefaultCompletionSigmas  = 3.0
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

// Config configures a Controller. Zero fields take the defaults, except
// MaxTokens.
type Config struct {
	Target ident.TargetName
	// LoadBound is the multiple of the pool's mean load that the target may
	// carry, at least 1.
	LoadBound float64
	// AdmitBound is the multiple of the mean load at which admission stops. It
	// is below LoadBound because the mean may fall while admitted work runs.
	AdmitBound float64
	// ColdBound is the multiple of the mean load up to which cold work is
	// admitted, unless the work is Final.
	ColdBound float64
	// CompletionSigmas is how many standard deviations are added to the expected
	// number of requests that have completed since the digest was taken. The mean
	// load is reduced by the result.
	CompletionSigmas float64
	// MaxRequests is the maximum number of running requests, whatever the mean.
	MaxRequests int
	// MaxTokens is the maximum number of tokens of the running requests; 0 means
	// no limit. An idle target admits any one request.
	MaxTokens ident.Tokens
	// SoftLimitRatio sets three limits. Above this fraction of MaxRequests only
	// customers below their fair share are admitted. While the digest is stale,
	// no more than that fraction of MaxRequests is admitted. Up to this fraction
	// of MaxTokens the mean does not limit the tokens.
	SoftLimitRatio float64
	// MaxQueue is the maximum number of queued requests; negative disables the
	// queue.
	MaxQueue int
	// MaxQueueTime is the maximum time in the queue; the caller's deadline may
	// end it earlier.
	MaxQueueTime time.Duration
	// PrefillRate is the number of cold tokens that the target prefills per
	// second. It gives the time that a warm prefix saves.
	PrefillRate ident.Tokens
	// WarmWaitFactor is how long work may be queued at a target where it is warm,
	// as a multiple of the time that the warm prefix saves.
	WarmWaitFactor float64
	// RetryAfter is the mean retry delay given to refused callers. Each delay is
	// jittered by up to half of it either way.
	RetryAfter time.Duration
	// MaxChatLocations is the maximum number of chats served elsewhere whose
	// location is remembered.
	MaxChatLocations int
	// MinRedirectTokens is how many more prefix tokens another target must have
	// cached for a chat to be redirected there.
	MinRedirectTokens ident.Tokens
	// Rand jitters retry delays and picks one of the lightly loaded targets.
	Rand *rand.Rand
	// OnInvariantBroken is called with an InvariantError if work was admitted
	// beyond the limit or while the target was leaving.
	OnInvariantBroken func(err error)
}

// Controller admits work to one target. It is safe for concurrent use.
type Controller struct {
	cfg       Config
	mu        sync.Mutex
	limiter   limiter
	running   map[ident.AttemptID]Work
	load      digest.Load
	customers fairQueue
	// lastRequestLimit is the request limit that hasRoom computed last. It tells
	// whether queued work waits because of the limit.
	lastRequestLimit int
	leaving          bool
	down             bool
	chatLocations    *boundedMap[ident.ChatKey, ChatLocation]
}

// New returns a controller for an idle target.
func New(cfg Config) (*Controller, error) {
	if cfg.LoadBound != 0 && cfg.LoadBound < 1 {
		return nil, errors.New("load bound is less than 1")
	}
	cfg.setDefaults()
	return &Controller{
		cfg:           cfg,
		limiter:       limiter{admitBound: min(cfg.AdmitBound, cfg.LoadBound), sigmas: cfg.CompletionSigmas, staleLimit: int(float64(cfg.MaxRequests) * cfg.SoftLimitRatio)},
		running:       make(map[ident.AttemptID]Work),
		chatLocations: newBoundedMap[ident.ChatKey, ChatLocation](cfg.MaxChatLocations),
	}, nil
}

// setDefaults replaces zero fields by their defaults.
func (cfg *Config) setDefaults() {
	setDefault(&cfg.LoadBound, DefaultLoadBound)
	setDefault(&cfg.AdmitBound, min(DefaultAdmitBound, cfg.LoadBound))
	setDefault(&cfg.ColdBound, DefaultColdBound)
	setDefault(&cfg.CompletionSigmas, DefaultCompletionSigmas)
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

// setDefault sets a field that is zero to value.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Offer decides whether to admit, queue or refuse work. It also returns
// decisions on other work that was evicted from a full queue.
func (c *Controller) Offer(now time.Time, w Work) (Decision, []QueuedDecision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if reason := c.refusalReason(now, w); reason != 0 {
		return c.refuse(w, reason), nil
	}
	if cust, _ := c.customers.findQueued(w.Attempt); cust != nil {
		return c.refuse(w, Duplicate), nil
	}
	if c.cachedElsewhere(w) {
		return c.refuse(w, Moved), nil
	}
	cust := c.customers.getOrAdd(w.Customer, w.Weight)
	if len(cust.queue) == 0 && c.hasRoom(now, cust, w) && c.coldAllowed(now, w) {
		return c.admit(now, cust, w), nil
	}
	if c.maxQueueTime(w) <= 0 || !c.mayQueue(now, w) {
		c.customers.dropIfIdle(cust)
		return c.refuse(w, Overloaded), nil
	}
	return c.enqueue(now, cust, w)
}

// refusalReason returns why the work must be refused whatever the load, 0 if it
// need not be.
func (c *Controller) refusalReason(now time.Time, w Work) Reason {
	_, known := c.running[w.Attempt]
	switch {
	case known:
		return Duplicate
	case c.leaving:
		return Leaving
	case c.down:
		return Down
	case !w.Deadline.IsZero() && !now.Before(w.Deadline):
		return DeadlinePassed
	}
	return 0
}

// servedElsewhere reports whether another target has enough more of the chat's
// prefix cached that the work is to be redirected there.
func (c *Controller) cachedElsewhere(w Work) bool {
	location, ok := c.chatLocations.get(w.Chat)
	return ok && !w.Final && !w.NoRedirect && location.Target != c.cfg.Target && location.Tokens-w.WarmTokens >= c.cfg.MinRedirectTokens
}

// hasRoom reports whether the target's limits let the work run now. If it
// computes the request limit, it stores it in c.lastRequestLimit.
func (c *Controller) hasRoom(now time.Time, cust *customer, w Work) bool {
	c.limiter.advance(now, c.load.Requests)
	after := c.load.Requests + 1
	if after > c.cfg.MaxRequests {
		return false
	}
	if after > c.softLimit() && float64(cust.running+1) > c.customers.fairShare(cust, c.cfg.MaxRequests) {
		return false
	}
	requestLimit, tokenLimit := c.limiter.limits(now, c.load, int64(w.Tokens))
	c.lastRequestLimit = requestLimit
	if after > requestLimit {
		return false
	}
	if c.load.Requests == 0 {
		return true
	}
	tokensAfter := c.load.Tokens + w.Tokens
	if c.cfg.MaxTokens > 0 && tokensAfter > c.cfg.MaxTokens {
		return false
	}
	return c.cfg.MaxTokens == 0 || int64(tokensAfter) <= max(tokenLimit, int64(float64(c.cfg.MaxTokens)*c.cfg.SoftLimitRatio))
}

// coldAllowed reports whether the work, if cold, may run here rather than at a
// less loaded target.
func (c *Controller) coldAllowed(now time.Time, w Work) bool {
	if w.Final || w.WarmTokens > 0 || c.limiter.digestStale(now) {
		return true
	}
	return c.load.Requests+1 <= c.limiter.coldLimit(c.load, c.cfg.ColdBound)
}

// softLimit returns the number of requests above which fair shares apply.
func (c *Controller) softLimit() int {
	return int(float64(c.cfg.MaxRequests) * c.cfg.SoftLimitRatio)
}

// admit counts the work as running and returns the decision.
func (c *Controller) admit(now time.Time, cust *customer, w Work) Decision {
	limit, _ := c.limiter.limits(now, c.load, int64(w.Tokens))
	urgent := float64(cust.running+1) <= c.customers.fairShare(cust, c.load.Requests+1)
	c.running[w.Attempt] = w
	c.load.Requests++
	c.load.Tokens += w.Tokens
	c.customers.charge(cust, w.Tokens)
	c.chatLocations.remove(w.Chat)
	if c.leaving || c.load.Requests > limit {
		c.cfg.OnInvariantBroken(&InvariantError{Target: c.cfg.Target, Load: c.load.Requests, Limit: limit, Leaving: c.leaving})
	}
	return Decision{Kind: Admitted, Urgent: urgent, Load: c.currentLoad(), Limit: limit}
}

// refuse returns a decision that tells the router where else to try and the
// caller when to retry.
func (c *Controller) refuse(w Work, reason Reason) Decision {
	jitter := 0.5 + c.cfg.Rand.Float64()
	d := Decision{
		Kind:       Refused,
		Reason:     reason,
		RetryAfter: time.Duration(float64(c.cfg.RetryAfter) * jitter),
		Load:       c.currentLoad(),
	}
	if location, ok := c.chatLocations.get(w.Chat); ok {
		d.ChatLocation = location
	}
	d.LessLoaded = c.lessLoaded()
	return d
}

// currentLoad returns the load including Queued and QueueBacked. QueueBacked is
// the number of running requests that a queued one replaces on completion; 0 if
// the target is above its limit.
func (c *Controller) currentLoad() digest.Load {
	load := c.load
	load.Queued = c.customers.queuedCount
	if load.Requests <= c.lastRequestLimit {
		load.QueueBacked = min(load.Queued, load.Requests)
	}
	return load
}

// Done records the end of admitted work and returns decisions on queued work. An
// attempt that is not running is ignored.
func (c *Controller) Done(now time.Time, id ident.AttemptID) []QueuedDecision {
	c.mu.Lock()
	defer c.mu.Unlock()
	w, ok := c.running[id]
	if !ok {
		return nil
	}
	c.limiter.advance(now, c.load.Requests)
	c.limiter.completions++
	delete(c.running, id)
	c.load.Requests--
	c.load.Tokens -= w.Tokens
	if cust := c.customers.find(w.Customer); cust != nil {
		cust.running--
		c.customers.dropIfIdle(cust)
	}
	return c.processQueue(now)
}

// Cancel removes queued work. It reports false if the work is not queued.
func (c *Controller) Cancel(id ident.AttemptID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	cust, i := c.customers.findQueued(id)
	if cust == nil {
		return false
	}
	c.customers.removeAt(cust, i)
	c.customers.dropIfIdle(cust)
	return true
}

// SetDigest stores a digest of the pool's load if it is newer than the current
// one, and returns decisions on queued work.
func (c *Controller) SetDigest(now time.Time, d digest.Digest) []QueuedDecision {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !d.Newer(c.limiter.digest) {
		return c.processQueue(now)
	}
	c.limiter.digest = d
	return append(c.processQueue(now), c.spill(now)...)
}

// Tick returns decisions on queued work: what may run now and what has waited
// too long. It must be called at least every 100 ms.
func (c *Controller) Tick(now time.Time) []QueuedDecision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.processQueue(now)
}

// SetLeaving sets whether the target is draining before it leaves the pool. A
// leaving target refuses new and queued work; running work continues. It
// returns decisions on queued work.
func (c *Controller) SetLeaving(now time.Time, leaving bool) []QueuedDecision {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = leaving
	return c.processQueue(now)
}

// SetDown sets whether the target is unreachable. New and queued work is refused
// while it is. It returns decisions on queued work.
func (c *Controller) SetDown(now time.Time, down bool) []QueuedDecision {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = down
	return c.processQueue(now)
}

// Load returns the running and queued work of the target.
func (c *Controller) Load() digest.Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.currentLoad()
}

// RecordChatLocation records that a chat was last served at another target.
func (c *Controller) RecordChatLocation(now time.Time, chat ident.ChatKey, location ChatLocation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	location.RecordedAt = now
	c.chatLocations.put(chat, location)
}
