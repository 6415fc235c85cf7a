package rank_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/conn/digest"
	"cactusline.dev/cactusline/internal/request/rank"
	"cactusline.dev/cactusline/internal/version/ident"
)

var start = time.Unix(1000, 0)

func targets(n int) []rank.Target {
	list := make([]rank.Target, n)
	for i := range list {
		list[i].Name = ident.TargetName(fmt.Sprint("engine-", i))
		list[i].Domain = ident.DomainName(fmt.Sprint("domain-", i%3))
	}
	return list
}

func newPool(list []rank.Target) *rank.Pool {
	p := rank.New(rank.Config{Domain: "domain-0", Seed: 1})
	p.Update(list)
	return p
}

func home(p *rank.Pool, chat int) ident.TargetName {
	c, _ := p.Home(rank.Query{Now: start, Chat: ident.ChatKey(chat)})
	return c.Target
}

// TestRemovedTargetMovesOnlyItsChats checks that removing one of ten targets
// changes the home of about a tenth of the chats, all from that target.
func TestRemovedTargetMovesOnlyItsChats(t *testing.T) {
	const chats = 10000
	list := targets(10)
	p, q := newPool(list), newPool(list[:9])
	moved := 0
	for chat := 1; chat <= chats; chat++ {
		before, after := home(p, chat), home(q, chat)
		if before != after {
			assert.Equal(t, before, list[9].Name)
			moved++
		}
	}
	assert.Assert(t, moved > chats/13 && moved < chats/8, "moved %d", moved)
}

// TestSlowStartRaisesShare checks the share of one of ten targets, of 10000 chats,
// at several times after it joined.
func TestSlowStartRaisesShare(t *testing.T) {
	list := targets(10)
	tests := []struct {
		since       time.Duration
		prefix      ident.Tokens
		least, most int
	}{
		{rank.DefaultSlowStart / 4, 0, 150, 350},
		{rank.DefaultSlowStart, 0, 800, 1200},
		{rank.DefaultReturningChatDelay, 100, 0, 0},
		{rank.DefaultReturningChatDelay * 5 / 4, 100, 150, 350},
		{rank.DefaultReturningChatDelay * 2, 100, 800, 1200},
	}
	for _, test := range tests {
		list[9].JoinedAt = start.Add(-test.since)
		p := rank.New(rank.Config{MaxCandidates: 1})
		p.Update(list)
		share := 0
		for chat := ident.ChatKey(1); chat <= 10000; chat++ {
			got := p.Choose(nil, rank.Query{Now: start, Chat: chat, PrefixTokens: test.prefix})
			if got[0].Target == list[9].Name {
				share++
			}
		}
		assert.Check(t, share >= test.least && share <= test.most, "%s, prefix %d: share %d", test.since, test.prefix, share)
	}
}

// TestFirstCandidate checks which target is offered a request first, and why.
func TestFirstCandidate(t *testing.T) {
	list := targets(10)
	unchanged := newPool(list).Choose(nil, rank.Query{Now: start, Chat: 5, PrefixTokens: 100})
	first, second := unchanged[0].Target, unchanged[1].Target
	tests := []struct {
		name   string
		change func(*rank.Pool, *rank.Query)
		target ident.TargetName
		reason rank.Reason
	}{
		{"home", func(*rank.Pool, *rank.Query) {}, first, rank.Home},
		{"forwarded", func(_ *rank.Pool, q *rank.Query) { q.LastServedBy = second }, second, rank.LastServed},
		{"home at limit, returning chat", func(p *rank.Pool, _ *rank.Query) {
			p.SetDigest(digest.Digest{Targets: 10, Requests: 80})
			p.ObserveLoad(start, first, digest.Load{Requests: 10})
		}, first, rank.Home},
		{"others at limit", func(p *rank.Pool, q *rank.Query) {
			p.SetDigest(digest.Digest{Targets: 10, Requests: 80})
			for _, target := range list {
				p.ObserveLoad(start, target.Name, digest.Load{Requests: 10})
			}
			p.ObserveLoad(start, second, digest.Load{Requests: 1})
			q.Exclude = first
			q.PrefixTokens = 0
		}, second, rank.Home},
		{"ejected", func(p *rank.Pool, _ *rank.Query) { p.Eject(first, start.Add(time.Second)) }, second, rank.Home},
		{"excluded", func(_ *rank.Pool, q *rank.Query) { q.Exclude = first }, second, rank.Home},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p, q := newPool(list), rank.Query{Now: start, Chat: 5, PrefixTokens: 100}
			test.change(p, &q)
			got := p.Choose(nil, q)
			assert.Equal(t, got[0].Target, test.target)
			assert.Equal(t, len(got), rank.DefaultMaxCandidates)
			assert.Equal(t, got[0].Reason, test.reason)
		})
	}
}

func TestLeavingTargetIsNotChosen(t *testing.T) {
	list := targets(3)
	list[1].Leaving = true
	p := newPool(list)
	for chat := range 1000 {
		for _, c := range p.Choose(nil, rank.Query{Now: start, Chat: ident.ChatKey(chat)}) {
			assert.Assert(t, c.Target != list[1].Name)
		}
	}
}

func TestWorkWithoutChatPrefersOwnDomain(t *testing.T) {
	got := newPool(targets(9)).Choose(nil, rank.Query{Now: start})
	assert.Equal(t, got[0].Reason, rank.SameDomain)
	assert.Equal(t, len(got), rank.DefaultMaxCandidates)
}

func TestChooseDoesNotAllocate(t *testing.T) {
	p, dst, chat := newPool(targets(700)), make([]rank.Candidate, 0, 8), ident.ChatKey(0)
	allocs := testing.AllocsPerRun(1000, func() {
		chat++
		dst = p.Choose(dst[:0], rank.Query{Now: start, Chat: chat})
	})
	assert.Equal(t, allocs, 0.0)
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{10, 100, 700, 2800} {
		b.Run(fmt.Sprint("targets=", n), func(b *testing.B) {
			p, dst := newPool(targets(n)), make([]rank.Candidate, 0, 8)
			b.ReportAllocs()
			chat := ident.ChatKey(0)
			for b.Loop() {
				chat++
				dst = p.Choose(dst[:0], rank.Query{Now: start, Chat: chat})
			}
		})
	}
}

func TestSetLoadBoundTakesEffect(t *testing.T) {
	pool := rank.New(rank.Config{})
	pool.Update([]rank.Target{{Name: "a"}, {Name: "b"}})
	pool.SetDigest(digest.Digest{Targets: 2, Requests: 4, At: start, Version: 1})
	home, ok := pool.Home(rank.Query{Now: start, Chat: 1})
	assert.Assert(t, ok)
	pool.ObserveLoad(start, home.Target, digest.Load{Requests: 3})
	query := rank.Query{Now: start, Chat: 1}
	assert.Assert(t, pool.Choose(nil, query)[0].Target != home.Target)
	pool.SetLoadBound(2)
	assert.Equal(t, pool.Choose(nil, query)[0].Target, home.Target)
}
