// Package guard bounds the memory and the descriptors that callers of a process can take.
// All connections of a process draw on one budget: for themselves, for the heads and
// bodies of requests while they arrive, and for responses that are buffered. When the
// budget is used up, the request that has been incomplete for longest and is slowest
// gives way.
package guard

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"cactusline.dev/cactusline/internal/process/clock"
	"cactusline.dev/cactusline/internal/process/logs"
	"cactusline.dev/cactusline/internal/version/ident"
)

// Defaults for the zero fields of Config.
const (
	DefaultMemory     ident.Bytes = 184 << 20
	DefaultMaxFDs                 = 4100
	DefaultFDsPerConn             = 1
)

const (
	// baseBytes is the memory that a process takes without callers, half of the whole at
	// most, and runtimeBytes the part of it that the Go runtime doesn't count.
	baseBytes    = 32 << 20
	runtimeBytes = 20 << 20
	// budgetShare is the part of the rest that callers may hold. What remains is for
	// garbage that has not been collected yet.
	budgetShare = 0.5
	// requestShare is the part of the budget that requests may hold; responses may hold
	// the remainder at any time, so that bodies break no request that has run.
	requestShare = 0.6
	// smallShare is the part of the requests' share that large requests can't take.
	smallShare = 0.125
	// smallBytes is the most that a small request is charged.
	smallBytes = 64 << 10
	// minVictimBytes is the least that a connection holds which is told to give way. Small
	// ones give way after the large ones: very many of them hold as much.
	minVictimBytes = 512
	// connBytes is what a connection is charged: its goroutine, its buffers and its table
	// entries.
	connBytes = 16 << 10
	// kernelBytes is the size of the kernel's buffers for each direction of a caller's
	// connection, with which it carries some 4 MB a second over 25 ms. Once more than one
	// in crowdedPart of the connections are taken, new ones get crowdedKernelBytes.
	kernelBytes        = 64 << 10
	crowdedKernelBytes = 8 << 10
	crowdedPart        = 2
	// otherFDs is the number of descriptors that are not for sockets of callers, a quarter
	// of all at most.
	otherFDs = 200
	// graceAge is how long a request may be incomplete, or a write may be blocked, before
	// it can give way.
	graceAge = 500 * time.Millisecond
	// maxWait is how long a request waits for memory before it is refused.
	maxWait      = time.Second
	waitInterval = 50 * time.Millisecond
	// logInterval is the least time between two log lines about one cause.
	logInterval = time.Second
)

// Errors of charges. The request has not run in both cases.
var (
	// ErrFull means that the budget is used up and no other request can give way.
	ErrFull = errors.New("memory budget is used up")
	// ErrGaveWay means that the request gave way to others.
	ErrGaveWay = errors.New("incomplete request gave way to others")
)

// Clock tells the time.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// Config configures a Budget.
type Config struct {
	// Memory is the bound of the resident memory of the process.
	Memory ident.Bytes
	// MaxFDs is the bound of its open descriptors.
	MaxFDs int
	// FDsPerConn is the number of descriptors that a request of a caller takes.
	FDsPerConn int
	// WriteTimeout bounds each write to a caller; 0 if the server sets deadlines.
	WriteTimeout time.Duration
	// Encrypted is set if the connections carry TLS, so that a refusal can't be written
	// before the request is parsed.
	Encrypted bool
	Clock     Clock
	Logger    log.Logger
}

// Budget is the budget of one process. It is safe for concurrent use.
type Budget struct {
	cfg Config
	// max bounds all that is held, connections included.
	max      int64
	maxConns int

	mu       sync.Mutex
	conns    map[*Conn]struct{}
	requests int64
	// responses is what buffered responses hold.
	responses int64
	// leaving is what requests hold that have been told to give way.
	leaving int64
	// released is closed and replaced when memory or a connection is released.
	released chan struct{}
	loggedAt map[string]time.Time
}

// New returns a Budget.
func New(cfg Config) *Budget {
	cfg.Memory = cmp.Or(cfg.Memory, DefaultMemory)
	cfg.MaxFDs = cmp.Or(cfg.MaxFDs, DefaultMaxFDs)
	cfg.FDsPerConn = cmp.Or(cfg.FDsPerConn, DefaultFDsPerConn)
	if cfg.Clock == nil {
		cfg.Clock = clock.System{}
	}
	if cfg.Logger == nil {
		cfg.Logger = log.NewNopLogger()
	}
	memory := int64(cfg.Memory)
	b := &Budget{
		cfg: cfg, max: int64(float64(memory-min(baseBytes, memory/2)) * budgetShare),
		conns: make(map[*Conn]struct{}), released: make(chan struct{}), loggedAt: make(map[string]time.Time),
	}
	b.maxConns = (cfg.MaxFDs - min(otherFDs, cfg.MaxFDs/4)) / cfg.FDsPerConn
	b.maxConns = max(1, min(b.maxConns, int(b.max/2/connBytes)))
	return b
}

// SetMemoryLimit tells the Go runtime the bound of the memory.
func (b *Budget) SetMemoryLimit() {
	memory := int64(b.cfg.Memory)
	debug.SetMemoryLimit(memory - min(runtimeBytes, memory/2))
}

// available returns what the connections leave of the budget. The caller must hold b.mu.
func (b *Budget) available() int64 { return b.max - int64(len(b.conns))*connBytes }

// RegisterMetrics registers the gauges of the budget.
func (b *Budget) RegisterMetrics() {
	gauge := func(name string, read func() float64) {
		metrics.GetOrCreateGauge(name, func() float64 {
			b.mu.Lock()
			defer b.mu.Unlock()
			return read()
		})
	}
	gauge(`cactusline_guard_bytes{held="requests"}`, func() float64 { return float64(b.requests) })
	gauge(`cactusline_guard_bytes{held="responses"}`, func() float64 { return float64(b.responses) })
	gauge(`cactusline_guard_connections`, func() float64 { return float64(len(b.conns)) })
}

// chargeRequest charges n bytes of a request to a connection. While the budget is used
// up, it makes others give way and waits for what they hold.
func (b *Budget) chargeRequest(c *Conn, n int64) error {
	fits := func() bool {
		available := b.available()
		limit := int64(float64(available) * requestShare)
		if c.requestBytes+n > smallBytes {
			limit -= int64(float64(limit) * smallShare)
		}
		if b.requests+n > limit || b.requests+b.responses+n > available {
			return false
		}
		b.requests += n
		c.requestBytes += n
		return true
	}
	return b.charge(c, n, fits)
}

// chargeResponse charges n bytes of a buffered response to a connection. Short responses
// never fail for want of memory, since their requests have run.
func (b *Budget) chargeResponse(c *Conn, n int64) error {
	fits := func() bool {
		if c.responseBytes+n > smallBytes && b.requests+b.responses+n > b.available() {
			return false
		}
		b.responses += n
		c.responseBytes += n
		return true
	}
	return b.charge(c, n, fits)
}

// charge calls fits, with the lock held, until it returns true. It returns ErrGaveWay if
// the connection is told to give way, and ErrFull after maxWait.
func (b *Budget) charge(c *Conn, n int64, fits func() bool) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !c.leaving && fits() {
		return nil
	}
	c.waiting = true
	defer func() { c.waiting = false }()
	deadline := b.cfg.Clock.Now().Add(maxWait)
	for {
		if c.leaving {
			return ErrGaveWay
		}
		if fits() {
			return nil
		}
		now := b.cfg.Clock.Now()
		if now.After(deadline) {
			b.report(now, "memory", "refused")
			return ErrFull
		}
		b.makeRoom(now, n)
		b.wait()
	}
}

// wait waits for a release, waitInterval at most. The caller must hold b.mu, which is
// released meanwhile.
func (b *Budget) wait() {
	released := b.released
	b.mu.Unlock()
	select {
	case <-released:
	case <-b.cfg.Clock.After(waitInterval):
	}
	b.mu.Lock()
}

// makeRoom tells incomplete requests and blocked writers to give way until they hold n
// bytes together. The caller must hold b.mu.
func (b *Budget) makeRoom(now time.Time, n int64) {
	if b.leaving >= n {
		return
	}
	victims := make([]*Conn, 0, len(b.conns))
	for c := range b.conns {
		if c.held() >= minVictimBytes && !c.waiting && c.mayGiveWay(now) {
			victims = append(victims, c)
		}
	}
	slices.SortFunc(victims, func(a, b *Conn) int {
		return cmp.Or(cmp.Compare(a.sizeClass(), b.sizeClass()), cmp.Compare(a.speed(now), b.speed(now)))
	})
	for _, c := range victims {
		if b.leaving >= n {
			return
		}
		b.report(now, "memory", "gave-way")
		c.giveWay(now)
	}
}

// admit adds a connection. At the bound, the one that is idle or silent for longest is
// closed first. It returns the number of connections, or 0 if all are in use.
func (b *Budget) admit(c *Conn) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	deadline := c.activeAt.Add(2 * refusalTimeout)
	for len(b.conns) >= b.maxConns {
		now := b.cfg.Clock.Now()
		if now.After(deadline) || !b.closeSilent(now) {
			b.report(now, "connections", "refused")
			return 0
		}
		if len(b.conns) >= b.maxConns {
			b.wait()
		}
	}
	b.conns[c] = struct{}{}
	return len(b.conns)
}

// closeSilent makes sure that a connection is being closed. It returns false if all are
// in use.
func (b *Budget) closeSilent(now time.Time) bool {
	var silent, leaving *Conn
	for c := range b.conns {
		if c.answered {
			c.drop()
			return true
		}
		if c.leaving {
			leaving = c
			continue
		}
		if c.isSilent(now) && (silent == nil || c.activeAt.Before(silent.activeAt)) {
			silent = c
		}
	}
	if leaving != nil || silent == nil {
		return leaving != nil
	}
	b.report(now, "connections", "gave-way")
	silent.giveWay(now)
	return true
}

// remove removes a connection and what it holds.
func (b *Budget) remove(c *Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.release(c)
	delete(b.conns, c)
}

// release gives back what a connection holds. The caller must hold b.mu.
func (b *Budget) release(c *Conn) {
	if c.leaving {
		b.leaving -= c.leavingBytes
		c.leavingBytes = 0
	}
	b.requests -= c.requestBytes
	b.responses -= c.responseBytes
	c.requestBytes, c.responseBytes = 0, 0
	b.signal()
}

// signal wakes those that wait. The caller must hold b.mu.
func (b *Budget) signal() {
	close(b.released)
	b.released = make(chan struct{})
}

// report counts what became of a connection and logs it, once in logInterval for each
// cause. The caller must hold b.mu.
func (b *Budget) report(now time.Time, cause, result string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("cactusline_guard_total{cause=%q,result=%q}", cause, result)).Inc()
	if last, found := b.loggedAt[cause+result]; found && now.Sub(last) < logInterval {
		return
	}
	b.loggedAt[cause+result] = now
	_ = level.Warn(b.cfg.Logger).Log(logs.FieldEvent, "CallersBounded", "Cause", cause, "Result", result,
		"RequestBytes", b.requests, "ResponseBytes", b.responses, "Connections", len(b.conns))
}

type connKey struct{}

// FromContext returns the connection of a request, or nil if it is not guarded.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}
