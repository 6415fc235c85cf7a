package admit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/conn/digest"
	"cactusline.dev/cactusline/internal/process/seeds"
	"cactusline.dev/cactusline/internal/request/admit"
	"cactusline.dev/cactusline/internal/version/ident"
)

var start = time.Unix(1000, 0)

func newController(t *testing.T, cfg admit.Config) *admit.Controller {
	t.Helper()
	cfg.Target = "engine-0"
	cfg.OnInvariantBroken = func(err error) { t.Fatal(err) }
	c, err := admit.New(cfg)
	assert.NilError(t, err)
	return c
}

func work(id int, customer ident.CustomerName) admit.Work {
	return admit.Work{
		Attempt: ident.AttemptID(fmt.Sprint(id)), Customer: customer,
		Tokens: 100, Final: true, Deadline: start.Add(time.Minute),
	}
}

// TestLoadStaysWithinLoadBound checks that admission stops at the load bound: at
// 11, that is ceil(1.25*81/10), then at 13, ceil(1.25*97/10).
func TestLoadStaysWithinLoadBound(t *testing.T) {
	c := newController(t, admit.Config{AdmitBound: 1.25})
	c.SetDigest(start, digest.Digest{Targets: 10, Requests: 80, At: start, Version: 1})
	for id := range 30 {
		c.Offer(start, work(id, "club"))
	}
	assert.Equal(t, c.Load().Requests, 11)
	assert.Equal(t, c.Load().Queued, 19)
	c.SetDigest(start, digest.Digest{Targets: 10, Requests: 96, At: start, Version: 2})
	assert.Equal(t, c.Load().Requests, 13)
}

// TestOldDigestLowersLimit checks that completions since the digest are allowed
// for: a current digest would give a limit of 10.
func TestOldDigestLowersLimit(t *testing.T) {
	c := newController(t, admit.Config{})
	c.SetDigest(start, digest.Digest{Targets: 10, Requests: 80, At: start.Add(-200 * time.Millisecond), Version: 1})
	for id := range 30 {
		c.Offer(start, work(id, "club"))
	}
	assert.Assert(t, c.Load().Requests < 10, "load %d", c.Load().Requests)
}

func TestStaleDigestLeavesOwnLimits(t *testing.T) {
	c := newController(t, admit.Config{MaxRequests: 8, SoftLimitRatio: 1})
	c.SetDigest(start, digest.Digest{Targets: 10, Requests: 80, At: start, Version: 1})
	later := start.Add(admit.DigestMaxAge + time.Second)
	for id := range 8 {
		w := work(id, "club")
		w.Final = false
		c.Offer(later, w)
	}
	assert.Assert(t, c.DigestStale(later))
	assert.Equal(t, c.Load().Requests, 8)
	c.SetDigest(later, digest.Digest{Targets: 10, Requests: 10, At: later, Version: 2})
	assert.Assert(t, !c.DigestStale(later))
}

func TestQueuedWorkSpillsToLessLoadedTargets(t *testing.T) {
	c := newController(t, admit.Config{})
	c.SetDigest(start, digest.Digest{Targets: 3, Requests: 3, At: start, Version: 1})
	for id := range 20 {
		c.Offer(start, work(id, "club"))
	}
	running := c.Load().Requests
	later := start.Add(100 * time.Millisecond)
	decisions := c.SetDigest(later, digest.Digest{
		Targets: 3, Requests: running + 1, At: later, Version: 2, LeastLoaded: []ident.TargetName{"engine-0", "engine-1"},
	})
	spilled := 0
	for _, v := range decisions {
		if v.Decision.Kind == admit.Refused {
			spilled++
			assert.Equal(t, v.Decision.LessLoaded, ident.TargetName("engine-1"))
		}
	}
	assert.Assert(t, spilled > 0 && c.Load().Queued > spilled, "%d spilled, %d queued", spilled, c.Load().Queued)
}

// TestQueueIsFairBetweenCustomers guards against a customer that fills the queue
// and keeps others out: its last work is evicted, and the other customer is next.
func TestQueueIsFairBetweenCustomers(t *testing.T) {
	c := newController(t, admit.Config{MaxRequests: 4, SoftLimitRatio: 1, MaxQueue: 8})
	c.SetDigest(start, digest.Digest{Targets: 1, Requests: 80, At: start, Version: 1})
	for id := range 40 {
		c.Offer(start, work(id, "surging"))
	}
	decision, evicted := c.Offer(start, work(100, "quiet"))
	assert.Equal(t, decision.Kind, admit.Queued)
	assert.Equal(t, len(evicted), 1)
	assert.Equal(t, evicted[0].Work.Customer, ident.CustomerName("surging"))
	decisions := c.Done(start, "0")
	assert.Equal(t, len(decisions), 1)
	assert.Equal(t, decisions[0].Work.Customer, ident.CustomerName("quiet"))
}

// TestTokenLimit checks the token limit that follows from the mean load: seven
// requests of 100 tokens fit into 1.2*(6000+100)/10 tokens.
func TestTokenLimit(t *testing.T) {
	c := newController(t, admit.Config{MaxTokens: 1000, SoftLimitRatio: 0.5})
	c.SetDigest(start, digest.Digest{Targets: 10, Requests: 80, Tokens: 6000, At: start, Version: 1})
	for id := range 9 {
		c.Offer(start, work(id, "club"))
	}
	assert.Equal(t, c.Load().Tokens, ident.Tokens(700), "the mean of the pool is 600")
	large := work(9, "club")
	large.Tokens = 5000
	idle := newController(t, admit.Config{MaxTokens: 1000})
	d, _ := idle.Offer(start, large)
	assert.Equal(t, d.Kind, admit.Admitted, "an idle target must admit any one request")
}

// TestWarmWorkWaitsInProportionToPrefix checks that cold work is refused at once
// and warm work waits for 2*100/1000 seconds.
func TestWarmWorkWaitsInProportionToPrefix(t *testing.T) {
	c := newController(t, admit.Config{PrefillRate: 1000, WarmWaitFactor: 2})
	c.SetDigest(start, digest.Digest{Targets: 10, Requests: 1, At: start, Version: 1})
	c.Offer(start, work(0, "club"))
	cold, warm := work(1, "club"), work(2, "club")
	cold.Final, warm.Final, warm.WarmTokens = false, false, 100
	d, _ := c.Offer(start, cold)
	assert.Equal(t, d.Kind, admit.Refused)
	d, _ = c.Offer(start, warm)
	assert.Equal(t, d.Kind, admit.Queued)
	assert.Equal(t, len(c.Tick(start.Add(199*time.Millisecond))), 0)
	decisions := c.Tick(start.Add(200 * time.Millisecond))
	assert.Equal(t, decisions[0].Decision.Reason, admit.Overloaded)
}

func TestWorkBelowFairShareIsUrgent(t *testing.T) {
	c := newController(t, admit.Config{})
	c.SetDigest(start, digest.Digest{Targets: 1, Requests: 10, At: start, Version: 1})
	for id := range 6 {
		c.Offer(start, work(id, "surging"))
	}
	quiet, _ := c.Offer(start, work(7, "quiet"))
	more, _ := c.Offer(start, work(8, "surging"))
	assert.Assert(t, quiet.Urgent && !more.Urgent)
}

func TestLeavingTargetRefusesWork(t *testing.T) {
	c := newController(t, admit.Config{})
	c.SetDigest(start, digest.Digest{Targets: 1, Requests: 1, At: start, Version: 1})
	first, _ := c.Offer(start, work(0, "club"))
	assert.Equal(t, first.Kind, admit.Admitted)
	for id := range 5 {
		c.Offer(start, work(id+1, "club"))
	}
	queued := c.Load().Queued
	decisions := c.SetLeaving(start, true)
	assert.Equal(t, len(decisions), queued)
	refused, _ := c.Offer(start, work(9, "club"))
	assert.Equal(t, refused.Reason, admit.Leaving)
	assert.Assert(t, c.Load().Requests > 0)
}

func TestRefusalNamesChatLocation(t *testing.T) {
	c := newController(t, admit.Config{})
	c.RecordChatLocation(start, 7, admit.ChatLocation{Target: "engine-1", Tokens: 4000})
	w := work(0, "club")
	w.Chat, w.Final = 7, false
	refused, _ := c.Offer(start, w)
	assert.Equal(t, refused.Reason, admit.Moved)
	assert.Equal(t, refused.ChatLocation.Target, ident.TargetName("engine-1"))
	w.WarmTokens = 4000
	admitted, _ := c.Offer(start, w)
	assert.Equal(t, admitted.Kind, admit.Admitted)
}

// TestRandomisedQueueDecidesOnce offers, ends and expires work at random. It
// guards against queued attempts that are decided twice, never or too late.
func TestRandomisedQueueDecidesOnce(t *testing.T) {
	seeds.Run(t, seeds.Range{First: 0, Last: 19}, func(t *testing.T, seed uint64) {
		rng := rand.New(rand.NewPCG(seed, 1))
		c := newController(t, admit.Config{Rand: rng, MaxRequests: 6, MaxQueue: 5})
		now, queued, running := start, map[ident.AttemptID]time.Time{}, []ident.AttemptID{}
		handle := func(decisions []admit.QueuedDecision) {
			for _, v := range decisions {
				since, ok := queued[v.Work.Attempt]
				assert.Assert(t, ok, "seed %d: decided twice: %s", seed, v.Work.Attempt)
				assert.Assert(t, now.Sub(since) <= 2100*time.Millisecond, "seed %d: waited %s", seed, now.Sub(since))
				delete(queued, v.Work.Attempt)
				if v.Decision.Kind == admit.Admitted {
					running = append(running, v.Work.Attempt)
				}
			}
		}
		for id := range 3000 {
			now = now.Add(time.Duration(rng.IntN(100)) * time.Millisecond)
			handle(c.Tick(now))
			w := work(id, ident.CustomerName(fmt.Sprint("customer-", rng.IntN(4))))
			w.Deadline = now.Add(time.Duration(rng.IntN(3000)) * time.Millisecond)
			d, evicted := c.Offer(now, w)
			switch d.Kind {
			case admit.Queued:
				queued[w.Attempt] = now
			case admit.Admitted:
				running = append(running, w.Attempt)
			}
			handle(evicted)
			if len(running) > 0 && rng.IntN(5) > 0 {
				i := rng.IntN(len(running))
				handle(c.Done(now, running[i]))
				running = append(running[:i], running[i+1:]...)
			}
			load := digest.Digest{Targets: 3, Requests: rng.IntN(30), At: now, Version: uint64(id + 1)}
			handle(c.SetDigest(now, load))
			assert.Equal(t, c.Load().Requests, len(running), "seed %d", seed)
			assert.Equal(t, c.Load().Queued, len(queued), "seed %d", seed)
		}
	})
}
