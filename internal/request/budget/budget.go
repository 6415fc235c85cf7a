// Package budget limits retries to a ratio of the recent requests. Each service has an
// account, which the requests for it fill and all retries at it draw on, so that no
// service gets retries for the requests of another. A customer may draw what its own
// requests earned, or a share of the whole. A small common pool allows some retries
// that nobody has earned.
//
// A process may see so few requests that its accounts never hold a whole retry. It then
// allows one with the probability of the fraction that it holds: over all processes as
// many retries are allowed as were earned.
package budget

import (
	"cmp"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"cactusline.dev/cactusline/internal/version/ident"
)

// Defaults for the zero fields of Config.
const (
	DefaultRetryRatio    = 0.1
	DefaultWindow        = 10 * time.Second
	DefaultPoolRate      = 5.0
	DefaultCustomerShare = 0.5
	DefaultMaxCustomers  = 4096
	DefaultMaxServices   = 256
)

// Config sets the limits of a Budget.
type Config struct {
	// RetryRatio is the number of retries that one request earns.
	RetryRatio float64
	// Window is the time constant of the exponential decay of earned retries. The
	// pool holds at most the retries that it earns in one window.
	Window time.Duration
	// PoolRate is the number of retries per second that the common pool earns.
	PoolRate float64
	// CustomerShare is the fraction of a service's retries, and of the pool, that one
	// customer may use beyond what it has earned.
	CustomerShare float64
	// MaxCustomers bounds the customers of each service that are counted apart. Further
	// ones are counted as one.
	MaxCustomers int
	// MaxServices bounds the accounts. Services above it share one.
	MaxServices int
	// Random returns a number in [0, 1); nil to draw one at random.
	Random func() float64
}

// Budget tracks earned and spent retries. It is safe for concurrent use.
type Budget struct {
	cfg Config

	mu       sync.RWMutex
	services map[ident.ServiceName]*Service
	overflow *Service

	pool pool
}

// New returns a budget whose common pool is full.
func New(cfg Config) *Budget {
	cfg.RetryRatio = cmp.Or(cfg.RetryRatio, DefaultRetryRatio)
	cfg.Window = cmp.Or(cfg.Window, DefaultWindow)
	cfg.PoolRate = cmp.Or(cfg.PoolRate, DefaultPoolRate)
	cfg.CustomerShare = cmp.Or(cfg.CustomerShare, DefaultCustomerShare)
	cfg.MaxCustomers = cmp.Or(cfg.MaxCustomers, DefaultMaxCustomers)
	cfg.MaxServices = cmp.Or(cfg.MaxServices, DefaultMaxServices)
	if cfg.Random == nil {
		cfg.Random = rand.Float64
	}
	b := &Budget{cfg: cfg, services: make(map[ident.ServiceName]*Service)}
	b.overflow = newService(b)
	b.pool.rate = cfg.PoolRate
	return b
}

// SetPoolRate sets the number of retries per second that the common pool earns.
func (b *Budget) SetPoolRate(rate float64) {
	b.pool.mu.Lock()
	defer b.pool.mu.Unlock()
	b.pool.rate = rate
}

// Service returns the account of a service.
func (b *Budget) Service(name ident.ServiceName) *Service {
	b.mu.RLock()
	s := b.services[name]
	b.mu.RUnlock()
	if s != nil {
		return s
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if s = b.services[name]; s != nil {
		return s
	}
	if len(b.services) >= b.cfg.MaxServices {
		return b.overflow
	}
	s = newService(b)
	b.services[name] = s
	return s
}

// Service is the account of a service. It is safe for concurrent use.
type Service struct {
	budget *Budget

	mu        sync.Mutex
	decayedAt time.Time
	// balance holds the earned retries that are left. It is negative after a retry that
	// was allowed for a fraction, until that is earned.
	balance float64
	// earned is what all customers earned lately, whether it was spent or not.
	earned    float64
	customers map[ident.CustomerName]*customer
	overflow  customer
}

func newService(b *Budget) *Service {
	return &Service{budget: b, customers: make(map[ident.CustomerName]*customer)}
}

// customer is what one customer earned and spent lately.
type customer struct {
	earned, spent float64
	decayedAt     time.Time
	// pooled limits the retries that the customer takes from the common pool.
	pooled bucket
}

// RecordRequest counts a request of a customer, which earns RetryRatio retries.
func (s *Service) RecordRequest(now time.Time, name ident.CustomerName) {
	ratio := s.budget.cfg.RetryRatio
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	s.balance += ratio
	s.earned += ratio
	c := s.customer(now, name)
	c.decay(now, s.budget.cfg.Window)
	c.earned += ratio
}

// Spend reports whether a customer may retry now, and if so charges the retry to the
// service's earned retries or else to the common pool.
func (s *Service) Spend(now time.Time, name ident.CustomerName) bool {
	cfg := &s.budget.cfg
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	c := s.customer(now, name)
	c.decay(now, cfg.Window)
	if c.spent < max(c.earned, cfg.CustomerShare*s.earned) && takeFraction(&s.balance, cfg.Random) {
		c.spent++
		return true
	}
	return s.budget.pool.take(now, &c.pooled, cfg)
}

// takeFraction takes a retry out of a balance. With less than a whole one it succeeds
// with the probability of what is left.
func takeFraction(balance *float64, random func() float64) bool {
	if *balance <= 0 || (*balance < 1 && random() >= *balance) {
		return false
	}
	*balance--
	return true
}

// decay reduces what was earned by the time that has passed. What is owed stays.
func (s *Service) decay(now time.Time) {
	factor := decayFactor(&s.decayedAt, now, s.budget.cfg.Window)
	s.earned *= factor
	if s.balance > 0 {
		s.balance *= factor
	}
}

func (c *customer) decay(now time.Time, window time.Duration) {
	factor := decayFactor(&c.decayedAt, now, window)
	c.earned *= factor
	c.spent *= factor
}

// decayFactor returns the decay since the last call, whose time it sets.
func decayFactor(decayedAt *time.Time, now time.Time, window time.Duration) float64 {
	elapsed := now.Sub(*decayedAt)
	if elapsed <= 0 {
		return 1
	}
	*decayedAt = now
	return math.Exp(-elapsed.Seconds() / window.Seconds())
}

// customer returns what is known of a customer, and begins to count it if it is new. If
// there are too many, customers that have been idle are forgotten first.
func (s *Service) customer(now time.Time, name ident.CustomerName) *customer {
	if c, found := s.customers[name]; found {
		return c
	}
	cfg := &s.budget.cfg
	if len(s.customers) >= cfg.MaxCustomers {
		s.forgetIdle(now, idleWindows*cfg.Window)
	}
	if len(s.customers) >= cfg.MaxCustomers {
		return &s.overflow
	}
	c := &customer{decayedAt: now}
	s.customers[name] = c
	return c
}

// idleWindows is the number of windows after which the retries of an idle customer have
// decayed to a negligible number.
const idleWindows = 5

func (s *Service) forgetIdle(now time.Time, idle time.Duration) {
	for name, c := range s.customers {
		if now.Sub(c.decayedAt) > idle {
			delete(s.customers, name)
		}
	}
}

// pool holds the retries that any customer may make without having earned them.
type pool struct {
	mu     sync.Mutex
	rate   float64 // retries per second
	bucket bucket
}

// take takes a retry for a customer, whose share of the pool is counted in pooled.
func (p *pool) take(now time.Time, pooled *bucket, cfg *Config) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bucket.refill(now, p.rate, cfg.Window)
	pooled.refill(now, p.rate*cfg.CustomerShare, cfg.Window)
	if pooled.tokens <= 0 || !takeFraction(&p.bucket.tokens, cfg.Random) {
		return false
	}
	pooled.tokens--
	return true
}

// bucket is a token bucket. The first refill of the zero value fills it.
type bucket struct {
	tokens     float64
	refilledAt time.Time
}

// refill adds the tokens earned since the last call, up to those of one window.
func (b *bucket) refill(now time.Time, rate float64, window time.Duration) {
	capacity := rate * window.Seconds()
	if b.refilledAt.IsZero() {
		b.tokens, b.refilledAt = capacity, now
		return
	}
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.tokens = min(capacity, b.tokens+rate*elapsed.Seconds())
		b.refilledAt = now
	}
}
