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
	return p.Choose(nil, rank.Query{Now: start, Chat: ident.ChatKey(chat)})[0].Target
}

func TestChurnMovesOnlyTheShareOfTheTarget(t *testing.T) {
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

func TestSlowStartRaisesTheShare(t *testing.T) {
	list := targets(10)
	list[9].Joined = start.Add(-rank.DefaultSlowStart / 4)
	p, share := newPool(list), 0
	for chat := 1; chat <= 10000; chat++ {
		if home(p, chat) == list[9].Name {
			share++
		}
	}
	assert.Assert(t, share > 150 && share < 350, "share %d", share)
}

func TestOrderOfCandidates(t *testing.T) {
	list := targets(10)
	plain := newPool(list).Choose(nil, rank.Query{Now: start, Chat: 5})
	first, second := plain[0].Target, plain[1].Target
	tests := []struct {
		name   string
		change func(*rank.Pool, *rank.Query)
		target ident.TargetName
		reason rank.Reason
	}{
		{"home", func(*rank.Pool, *rank.Query) {}, first, rank.Home},
		{"forwarded", func(_ *rank.Pool, q *rank.Query) { q.Forward = second }, second, rank.Forwarded},
		{"full", func(p *rank.Pool, _ *rank.Query) {
			p.SetDigest(digest.Digest{Targets: 10, Requests: 80})
			p.Observe(start, first, digest.Load{Requests: 10})
		}, second, rank.Spill},
		{"ejected", func(p *rank.Pool, _ *rank.Query) { p.Eject(first, start.Add(time.Second)) }, second, rank.Home},
		{"avoided", func(_ *rank.Pool, q *rank.Query) { q.Avoid = first }, second, rank.Home},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p, q := newPool(list), rank.Query{Now: start, Chat: 5}
			test.change(p, &q)
			got := p.Choose(nil, q)
			assert.Equal(t, got[0].Target, test.target)
			assert.Equal(t, len(got), rank.DefaultLimit)
			assert.Equal(t, got[0].Reason, test.reason)
		})
	}
}

func TestLeavingTargetIsNeverProposed(t *testing.T) {
	list := targets(3)
	list[1].Leaving = true
	p := newPool(list)
	for chat := range 1000 {
		for _, c := range p.Choose(nil, rank.Query{Now: start, Chat: ident.ChatKey(chat)}) {
			assert.Assert(t, c.Target != list[1].Name)
		}
	}
}

func TestWorkWithoutChatStaysNear(t *testing.T) {
	got := newPool(targets(9)).Choose(nil, rank.Query{Now: start})
	assert.Equal(t, got[0].Reason, rank.Nearest)
	assert.Equal(t, len(got), rank.DefaultLimit)
}

func TestChooseAllocatesNothing(t *testing.T) {
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
