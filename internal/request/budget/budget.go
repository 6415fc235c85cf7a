// Package budget limits the retries of a router to a share of its recent
// requests. Each customer earns retries by its own requests; a small common
// pool serves those who send little, and no customer may use up more than a
// part of it.
package budget

import (
	"cmp"
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cactusline.dev/cactusline/internal/version/ident"
)

// Defaults of Config.
const (
	DefaultShards       = 16
	DefaultShare        = 0.1
	DefaultWindow       = 10 * time.Second
	DefaultPoolRate     = 5.0
	DefaultPoolShare    = 0.5
	DefaultMaxCustomers = 4096
)

// Config sets the limits of a Budget.
type Config struct {
	Shards int
	// Share is the number of retries that one request earns.
	Share float64
	// Window is the time constant with which earned retries are forgotten.
	Window time.Duration
	// PoolRate is the number of retries a second that the common pool earns.
	PoolRate float64
	// PoolShare is the part of the pool that one customer may use.
	PoolShare float64
	// MaxCustomers bounds the customers that are told apart; the others share
	// one account in each shard.
	MaxCustomers int
}

// Budget counts requests and retries. It is safe for concurrent use.
type Budget struct {
	cfg    Config
	shards []shard
	poolMu sync.Mutex
	pool   bucket
	// poolRate is the number of retries a second that the pool earns.
	poolRate float64
}

type shard struct {
	mu       sync.Mutex
	accounts map[ident.CustomerName]*account
	others   account
	limit    int
}

// account is what one customer may spend.
type account struct {
	earned float64
	seen   time.Time
	// pool limits what the customer takes from the common pool.
	pool bucket
}

// bucket is a token bucket.
type bucket struct {
	tokens float64
	filled time.Time
}

// New returns a budget whose common pool is full.
func New(cfg Config) *Budget {
	cfg.Shards = cmp.Or(cfg.Shards, DefaultShards)
	cfg.Share = cmp.Or(cfg.Share, DefaultShare)
	cfg.Window = cmp.Or(cfg.Window, DefaultWindow)
	cfg.PoolRate = cmp.Or(cfg.PoolRate, DefaultPoolRate)
	cfg.PoolShare = cmp.Or(cfg.PoolShare, DefaultPoolShare)
	cfg.MaxCustomers = cmp.Or(cfg.MaxCustomers, DefaultMaxCustomers)
	b := &Budget{cfg: cfg, shards: make([]shard, cfg.Shards), poolRate: cfg.PoolRate}
	for i := range b.shards {
		b.shards[i].accounts = make(map[ident.CustomerName]*account)
		b.shards[i].limit = max(1, cfg.MaxCustomers/cfg.Shards)
	}
	return b
}

// SetPoolRate changes the number of retries a second that the common pool
// earns.
func (b *Budget) SetPoolRate(rate float64) {
	b.poolMu.Lock()
	defer b.poolMu.Unlock()
	b.poolRate = rate
}

func (b *Budget) rate() float64 {
	b.poolMu.Lock()
	defer b.poolMu.Unlock()
	return b.poolRate
}

// RecordRequest counts a request of a customer, which earns a share of a retry.
func (b *Budget) RecordRequest(now time.Time, customer ident.CustomerName) {
	s := b.shard(customer)
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.account(now, customer, b.cfg.Window)
	a.decay(now, b.cfg.Window)
	a.earned += b.cfg.Share
}

// Spend reports whether a customer may retry now, and charges for it.
func (b *Budget) Spend(now time.Time, customer ident.CustomerName) bool {
	s := b.shard(customer)
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.account(now, customer, b.cfg.Window)
	a.decay(now, b.cfg.Window)
	if a.earned >= 1 {
		a.earned--
		return true
	}
	a.pool.fill(now, b.rate()*b.cfg.PoolShare, b.cfg.Window)
	if a.pool.tokens < 1 || !b.takePooled(now) {
		return false
	}
	a.pool.tokens--
	return true
}

func (b *Budget) takePooled(now time.Time) bool {
	b.poolMu.Lock()
	defer b.poolMu.Unlock()
	b.pool.fill(now, b.poolRate, b.cfg.Window)
	if b.pool.tokens < 1 {
		return false
	}
	b.pool.tokens--
	return true
}

func (b *Budget) shard(customer ident.CustomerName) *shard {
	return &b.shards[xxhash.Sum64String(string(customer))%uint64(len(b.shards))]
}

// account finds a customer's account. A full shard first forgets the accounts
// that were idle for long.
func (s *shard) account(now time.Time, customer ident.CustomerName, window time.Duration) *account {
	if a, ok := s.accounts[customer]; ok {
		return a
	}
	if len(s.accounts) >= s.limit {
		s.forgetIdle(now, idleWindows*window)
	}
	if len(s.accounts) >= s.limit {
		return &s.others
	}
	a := &account{}
	s.accounts[customer] = a
	return a
}

// idleWindows is the number of windows after which an account has forgotten
// all that counts.
const idleWindows = 5

func (s *shard) forgetIdle(now time.Time, idle time.Duration) {
	for customer, a := range s.accounts {
		if now.Sub(a.seen) > idle {
			delete(s.accounts, customer)
		}
	}
}

func (a *account) decay(now time.Time, window time.Duration) {
	if elapsed := now.Sub(a.seen); elapsed > 0 {
		a.earned *= math.Exp(-elapsed.Seconds() / window.Seconds())
		a.seen = now
	}
}

// fill adds what a second earns, up to that of one window. A bucket that was
// never used starts full.
func (b *bucket) fill(now time.Time, rate float64, window time.Duration) {
	full := max(1, rate*window.Seconds())
	if b.filled.IsZero() {
		b.tokens, b.filled = full, now
		return
	}
	if elapsed := now.Sub(b.filled); elapsed > 0 {
		b.tokens = min(full, b.tokens+rate*elapsed.Seconds())
		b.filled = now
	}
}
