// Package budget limits retries to a ratio of the recent requests. Each customer
// earns retries by its own requests. A small common pool allows some retries to
// customers that send few requests, and each customer may use only a share of it.
package budget

import (
	"cmp"
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cactusline.dev/cactusline/internal/version/ident"
)

// Defaults for the zero fields of Config.
const (
	DefaultShards            = 16
	DefaultRetryRatio        = 0.1
	DefaultWindow            = 10 * time.Second
	DefaultPoolRate          = 5.0
	DefaultCustomerPoolShare = 0.5
	DefaultMaxCustomers      = 4096
)

// Config sets the limits of a Budget.
type Config struct {
	// Shards is the number of locks over which the customers are spread.
	Shards int
	// RetryRatio is the number of retries that one request earns.
	RetryRatio float64
	// Window is the time constant of the exponential decay of earned retries. The
	// pool holds at most the retries that it earns in one window.
	Window time.Duration
	// PoolRate is the number of retries per second that the common pool earns.
	PoolRate float64
	// CustomerPoolShare is the fraction of the pool that one customer may use.
	CustomerPoolShare float64
	// MaxCustomers bounds the number of accounts. Customers above it share one
	// account in each shard.
	MaxCustomers int
}

// Budget tracks earned and spent retries. It is safe for concurrent use.
type Budget struct {
	cfg      Config
	shards   []shard
	poolMu   sync.Mutex
	pool     bucket
	poolRate float64 // retries per second
}

type shard struct {
	mu          sync.Mutex
	accounts    map[ident.CustomerName]*account
	overflow    account
	maxAccounts int
}

// account holds the retries that one customer may spend.
type account struct {
	earned    float64
	decayedAt time.Time
	// pool limits the retries that the customer takes from the common pool.
	pool bucket
}

// bucket is a token bucket. The first refill of the zero value fills it.
type bucket struct {
	tokens     float64
	refilledAt time.Time
}

// New returns a budget whose common pool is full.
func New(cfg Config) *Budget {
	cfg.Shards = cmp.Or(cfg.Shards, DefaultShards)
	cfg.RetryRatio = cmp.Or(cfg.RetryRatio, DefaultRetryRatio)
	cfg.Window = cmp.Or(cfg.Window, DefaultWindow)
	cfg.PoolRate = cmp.Or(cfg.PoolRate, DefaultPoolRate)
	cfg.CustomerPoolShare = cmp.Or(cfg.CustomerPoolShare, DefaultCustomerPoolShare)
	cfg.MaxCustomers = cmp.Or(cfg.MaxCustomers, DefaultMaxCustomers)
	b := &Budget{cfg: cfg, shards: make([]shard, cfg.Shards), poolRate: cfg.PoolRate}
	for i := range b.shards {
		b.shards[i].accounts = make(map[ident.CustomerName]*account)
		b.shards[i].maxAccounts = max(1, cfg.MaxCustomers/cfg.Shards)
	}
	return b
}

// SetPoolRate sets the number of retries per second that the common pool earns.
func (b *Budget) SetPoolRate(rate float64) {
	b.poolMu.Lock()
	defer b.poolMu.Unlock()
	b.poolRate = rate
}

func (b *Budget) currentPoolRate() float64 {
	b.poolMu.Lock()
	defer b.poolMu.Unlock()
	return b.poolRate
}

// RecordRequest counts a request of a customer, which earns it RetryRatio retries.
func (b *Budget) RecordRequest(now time.Time, customer ident.CustomerName) {
	s := b.shard(customer)
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.account(now, customer, b.cfg.Window)
	a.decay(now, b.cfg.Window)
	a.earned += b.cfg.RetryRatio
}

// Spend reports whether a customer may retry now, and if so charges the retry to
// the customer's earned retries or else to the common pool.
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
	a.pool.refill(now, b.currentPoolRate()*b.cfg.CustomerPoolShare, b.cfg.Window)
	if a.pool.tokens < 1 || !b.takeFromPool(now) {
		return false
	}
	a.pool.tokens--
	return true
}

func (b *Budget) takeFromPool(now time.Time) bool {
	b.poolMu.Lock()
	defer b.poolMu.Unlock()
	b.pool.refill(now, b.poolRate, b.cfg.Window)
	if b.pool.tokens < 1 {
		return false
	}
	b.pool.tokens--
	return true
}

func (b *Budget) shard(customer ident.CustomerName) *shard {
	return &b.shards[xxhash.Sum64String(string(customer))%uint64(len(b.shards))]
}

// account returns the account of a customer, which it creates if needed. A full
// shard drops its idle accounts first. If it is still full, account returns the
// overflow account.
func (s *shard) account(now time.Time, customer ident.CustomerName, window time.Duration) *account {
	if a, ok := s.accounts[customer]; ok {
		return a
	}
	if len(s.accounts) >= s.maxAccounts {
		s.forgetIdle(now, idleWindows*window)
	}
	if len(s.accounts) >= s.maxAccounts {
		return &s.overflow
	}
	a := &account{}
	s.accounts[customer] = a
	return a
}

// idleWindows is the number of windows after which the earned retries of an idle
// account have decayed to a negligible number.
const idleWindows = 5

func (s *shard) forgetIdle(now time.Time, idle time.Duration) {
	for customer, a := range s.accounts {
		if now.Sub(a.decayedAt) > idle {
			delete(s.accounts, customer)
		}
	}
}

func (a *account) decay(now time.Time, window time.Duration) {
	if elapsed := now.Sub(a.decayedAt); elapsed > 0 {
		a.earned *= math.Exp(-elapsed.Seconds() / window.Seconds())
		a.decayedAt = now
	}
}

// refill adds the tokens earned since the last call, up to those of one window. A
// bucket that was never used starts full.
func (b *bucket) refill(now time.Time, rate float64, window time.Duration) {
	capacity := max(1, rate*window.Seconds())
	if b.refilledAt.IsZero() {
		b.tokens, b.refilledAt = capacity, now
		return
	}
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.tokens = min(capacity, b.tokens+rate*elapsed.Seconds())
		b.refilledAt = now
	}
}
