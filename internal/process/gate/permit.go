package gate

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log/level"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/permit"
	"cactusline.dev/cactusline/internal/request/carry"
	"cactusline.dev/cactusline/internal/request/place"
	"cactusline.dev/cactusline/internal/version/ident"
)

const (
	// permitTimeout bounds the question for a permit, which the leader answers within a
	// round trip.
	permitTimeout = 200 * time.Millisecond
	// permitRetryDelay is the pause after a question without an answer. Requests that
	// come meanwhile get no permit.
	permitRetryDelay = 250 * time.Millisecond
	// soloAfter is how long a gate must have got no answer to go by its own share of the
	// limits. Another leader has been elected by then, if there is a quorum.
	soloAfter = 3 * time.Second
	// soloShare is the part of the limits that the gates use together while each goes by
	// its own share.
	soloShare = 0.8
	// soloWindow is how long a gate may use one share after it is due.
	soloWindow = time.Second
	// coldSoloShare and coldSoloWindow apply in their place to cold targets, so that the
	// shares of gates that control does not answer, together with the permits of the
	// others, stay within the bound in every second.
	coldSoloShare  = 0.5
	coldSoloWindow = 250 * time.Millisecond
	// limitReportDelay is how long changes of limits are collected before they are
	// reported.
	limitReportDelay = 20 * time.Millisecond
)

// errNoPermitSource is returned while control is not asked for permits.
var errNoPermitSource = errors.New("control did not answer lately")

// PermitSource asks the leader of control for permits.
type PermitSource interface {
	AskSendPermit(ctx context.Context, request *wire.SendPermit) (*wire.SendPermitReply, error)
}

// permitClient gets the permits for requests to targets that limit their rates.
type permitClient struct {
	mu sync.Mutex
	// failingSince is when the first of the questions was asked that got no answer, zero
	// if the last one got one.
	failingSince time.Time
	lastFailure  time.Time
	// rejected counts the requests rejected since the last question without asking.
	rejected uint32
	// lastShares are the numbers of the shares that were used last.
	lastShares map[ident.TargetName]int64
	// unreported are the targets whose limits control may not know.
	unreported map[ident.TargetName]place.RateLimit
	leader     string
	// added receives a value when there is something to report.
	added chan struct{}
}

func newPermitClient() *permitClient {
	return &permitClient{
		lastShares: make(map[ident.TargetName]int64), unreported: make(map[ident.TargetName]place.RateLimit),
		added: make(chan struct{}, 1),
	}
}

// acquirePermit gets a permit if the request needs one or prefers a target that takes
// none without. If the request cannot be sent, it returns false and when its caller
// should come back.
func (c *call) acquirePermit(ctx context.Context) (retryAfter time.Duration, ok bool) {
	g := c.gate
	now := g.cfg.Clock.Now()
	c.placement.Permit = nil
	plan := g.balancer.PlanPermit(now, &c.placement)
	if len(plan.Candidates) == 0 {
		if plan.Required {
			g.permits.countRejected()
			return max(0, plan.Next.Sub(now)) + randomRetryAfter(), false
		}
		return 0, true
	}
	if c.placement.Permit, retryAfter = g.requestPermit(ctx, now, plan); c.placement.Permit == nil && plan.Required {
		return spreadRetryAfter(retryAfter), false
	}
	return 0, true
}

// requestPermit gets a permit for one of the candidates, from control or, if it does not
// answer, by this gate's own share. Without one it returns nil, and when a rejected caller
// should come back if control said so.
func (g *Gate) requestPermit(ctx context.Context, now time.Time, plan place.PermitPlan) (granted *place.Target, retryAfter time.Duration) {
	reply, err := g.askPermit(ctx, now, plan)
	if err != nil && g.goesSolo(now) {
		granted = g.takeShare(now, plan.Candidates)
		countPermit("Share", granted != nil)
		return granted, 0
	}
	if err == nil {
		granted = findTarget(plan.Candidates, ident.TargetName(reply.GetTarget()))
		retryAfter = time.Duration(reply.GetRetryAfterMs()) * time.Millisecond
	}
	countPermit("Control", granted != nil)
	if err == nil && granted == nil {
		next := time.Duration(reply.GetNextMs()) * time.Millisecond
		g.balancer.RecordNoPermit(plan.Candidates, plan.Urgent, g.cfg.Clock.Now().Add(next))
	}
	return granted, retryAfter
}

// countPermit counts a permit that was asked for.
func countPermit(source string, granted bool) {
	metrics.GetOrCreateCounter(fmt.Sprintf("cactusline_send_permits_total{source=%q,granted=\"%t\"}", source, granted)).Inc()
}

func findTarget(targets []*place.Target, name ident.TargetName) *place.Target {
	for _, t := range targets {
		if t.Name == name {
			return t
		}
	}
	return nil
}

// spreadRetryAfter spreads the times at which rejected callers come back.
func spreadRetryAfter(wait time.Duration) time.Duration {
	if wait <= 0 {
		return randomRetryAfter()
	}
	return wait/2 + rand.N(wait)
}

// finishRateLimited ends a request that no target may get, because all limit their rates.
func (c *call) finishRateLimited(ctx context.Context, retryAfter time.Duration) {
	if action := c.retryState.NextWithoutTarget(); action != carry.Reject {
		c.finish(ctx, action)
		return
	}
	c.respondErrorRetryAfter(http.StatusServiceUnavailable, "RateLimited", retryAfter)
}

// askPermit asks control for a permit, unless it has just failed to answer.
func (g *Gate) askPermit(ctx context.Context, now time.Time, plan place.PermitPlan) (*wire.SendPermitReply, error) {
	if g.cfg.Permits == nil || !g.permits.mayAsk(now) {
		return nil, errNoPermitSource
	}
	request := &wire.SendPermit{Urgent: plan.Urgent, Last: plan.Required, Rejected: g.permits.takeRejected()}
	for _, target := range plan.Candidates {
		request.Candidates = append(request.Candidates, string(target.Name))
		if limit := g.balancer.RateLimit(now, target); !limit.NamedAt.IsZero() {
			request.Limits = append(request.Limits, g.encodeRateLimit(now, target.Name, limit))
		}
	}
	askCtx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	reply, err := g.cfg.Permits.AskSendPermit(askCtx, request)
	if err != nil && ctx.Err() != nil {
		// The request has ended, which says nothing of control.
		return nil, fmt.Errorf("ask for permit: %w", err)
	}
	g.permits.recordAnswer(g.cfg.Clock.Now(), err)
	if err != nil {
		_ = level.Warn(g.cfg.Logger).Log("msg", "asking for a permit failed", "err", err)
		return nil, fmt.Errorf("ask for permit: %w", err)
	}
	return reply, nil
}

func (g *Gate) encodeRateLimit(now time.Time, target ident.TargetName, limit place.RateLimit) *wire.RateLimit {
	return permit.EncodeSendLimit(now, permit.SendLimit{Target: target, Limited: limit.Limited, Rate: limit.Rate, NamedAt: limit.NamedAt, Until: limit.Until})
}

// goesSolo reports whether this gate goes by its own share of the limits.
func (g *Gate) goesSolo(now time.Time) bool { return g.cfg.Permits == nil || g.permits.soloSince(now) }

// takeShare returns the first target of which this gate may use its own share. Shares are
// due at times that differ between gates, and cannot be saved: while all gates do so,
// together they use no more than soloShare of a limit.
func (g *Gate) takeShare(now time.Time, targets []*place.Target) *place.Target {
	gates := g.gateCount.Load()
	if g.cfg.Permits == nil {
		gates = 1
	}
	for _, target := range targets {
		limit := g.balancer.RateLimit(now, target)
		if limit.Rate > 0 && g.permits.takeShare(g.cfg.Name, target.Name, now, limit, gates) {
			return target
		}
	}
	return nil
}

// takeShare takes a share if one is due and not used yet.
func (p *permitClient) takeShare(gate string, target ident.TargetName, now time.Time, limit place.RateLimit, gates uint32) bool {
	part, window := soloShare, soloWindow
	if !limit.Until.IsZero() {
		part, window = coldSoloShare, coldSoloWindow
	}
	period := float64(gates) / (float64(limit.Rate) * part)
	phase := float64(xxhash.Sum64String(gate+" "+string(target))>>11) / (1 << 53)
	position := float64(now.UnixNano())/float64(time.Second)/period + phase
	share, due := math.Modf(position)
	if due*period > window.Seconds() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if last, used := p.lastShares[target]; used && last == int64(share) {
		return false
	}
	p.lastShares[target] = int64(share)
	return true
}

// countRejected counts a request that was rejected without a question.
func (p *permitClient) countRejected() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rejected++
}

func (p *permitClient) takeRejected() uint32 {
	p.mu.Lock()
	defer p.mu.Unlock()
	rejected := p.rejected
	p.rejected = 0
	return rejected
}

// mayAsk reports whether control may be asked: not if it has just failed to answer.
func (p *permitClient) mayAsk(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failingSince.IsZero() || now.Sub(p.lastFailure) >= permitRetryDelay
}

// recordAnswer records whether control answered a question.
func (p *permitClient) recordAnswer(now time.Time, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil {
		p.failingSince = time.Time{}
		clear(p.lastShares)
		return
	}
	p.lastFailure = now
	if p.failingSince.IsZero() {
		p.failingSince = now
	}
}

// soloSince reports whether control has not answered for soloAfter.
func (p *permitClient) soloSince(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.failingSince.IsZero() && now.Sub(p.failingSince) >= soloAfter
}

// addLimit adds a limit that is to be reported to control.
func (p *permitClient) addLimit(target ident.TargetName, limit place.RateLimit) {
	p.mu.Lock()
	if known, found := p.unreported[target]; !found || limit.NamedAt.After(known.NamedAt) {
		p.unreported[target] = limit
	}
	p.mu.Unlock()
	select {
	case p.added <- struct{}{}:
	default:
	}
}

func (p *permitClient) takeUnreported() map[ident.TargetName]place.RateLimit {
	p.mu.Lock()
	defer p.mu.Unlock()
	taken := p.unreported
	p.unreported = make(map[ident.TargetName]place.RateLimit)
	return taken
}

// setLeader reports whether control has another leader than before.
func (p *permitClient) setLeader(leader string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	changed := leader != "" && leader != p.leader
	if changed {
		p.leader = leader
	}
	return changed
}

// updateRateLimits applies the limits that control has heard of. A new leader is told of
// all limits that targets have named, since those of its predecessor ended with the term.
// It knows from the list which are cold.
func (g *Gate) updateRateLimits(now time.Time, update *wire.Update) {
	for _, limit := range permit.DecodeSendLimits(now, update.GetRateLimits()) {
		named := place.RateLimit{Limited: limit.Limited, Rate: limit.Rate, NamedAt: limit.NamedAt, Until: limit.Until}
		if target := g.balancer.ApplyRateLimit(now, limit.Target, named); target != nil {
			g.logRateLimit(now, target, named)
		}
	}
	if g.permits.setLeader(update.GetLeader()) {
		for name, limit := range g.balancer.NamedLimits() {
			g.permits.addLimit(name, limit)
		}
	}
}

// reportRateLimits reports changes of limits to control until ctx ends.
func (g *Gate) reportRateLimits(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.permits.added:
		}
		_ = g.cfg.Clock.Sleep(ctx, limitReportDelay)
		limits := g.permits.takeUnreported()
		if err := g.reportLimits(ctx, limits); err != nil && ctx.Err() == nil {
			_ = level.Warn(g.cfg.Logger).Log("msg", "report of rate limits failed", "targets", len(limits), "err", err)
			_ = g.cfg.Clock.Sleep(ctx, reportRetryDelay)
			for target, limit := range limits {
				g.permits.addLimit(target, limit)
			}
		}
	}
}

// reportLimits reports limits to control once.
func (g *Gate) reportLimits(ctx context.Context, limits map[ident.TargetName]place.RateLimit) error {
	now := g.cfg.Clock.Now()
	request := new(wire.SendPermit)
	for target, limit := range limits {
		request.Limits = append(request.Limits, g.encodeRateLimit(now, target, limit))
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if _, err := g.cfg.Permits.AskSendPermit(ctx, request); err != nil {
		return fmt.Errorf("report limits: %w", err)
	}
	return nil
}
