package lister_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/conn/roster"
	"cactusline.dev/cactusline/internal/process/lister"
	"cactusline.dev/cactusline/internal/version/ident"
)

var errProvider = errors.New("provider does not answer")

// steps is a catalog and a clock: each sleep ends one read.
type steps struct {
	now  time.Time
	book *roster.Book
	// reads are called one after the other; the last ends the run.
	reads []func(soFar func([]roster.Target)) ([]roster.Target, error)
	stop  context.CancelFunc
}

func (s *steps) Targets(_ context.Context, soFar func([]roster.Target)) ([]roster.Target, error) {
	read := s.reads[0]
	s.reads = s.reads[1:]
	if len(s.reads) == 0 {
		s.stop()
	}
	return read(soFar)
}

func (s *steps) Now() time.Time { return s.now }

func (s *steps) Sleep(ctx context.Context, d time.Duration) error {
	s.now = s.now.Add(max(0, d))
	return ctx.Err()
}

func target(name string) roster.Target {
	return roster.Target{Name: ident.TargetName(name), Service: "app", Address: "10.0.0.1:80"}
}

func (s *steps) listed() int {
	return len(s.book.Since("", 0).GetTargets())
}

// Parts of a list are used where it has not been read to its end for long, and a
// read that breaks off takes nothing away. After a whole list only whole lists
// count.
func TestPartsAreUsedWhereNoReadEnds(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	s := &steps{now: time.Unix(1000, 0), book: roster.NewBook("b"), stop: cancel}
	all := []roster.Target{target("a"), target("b"), target("c")}
	s.reads = []func(func([]roster.Target)) ([]roster.Target, error){
		func(soFar func([]roster.Target)) ([]roster.Target, error) {
			soFar(all[:2])
			assert.Equal(t, s.listed(), 0, "a part is used at once")
			s.now = s.now.Add(lister.DefaultPartAfter)
			soFar(all[:2])
			assert.Equal(t, s.listed(), 2)
			return nil, errProvider
		},
		func(soFar func([]roster.Target)) ([]roster.Target, error) {
			soFar(all[:1])
			assert.Equal(t, s.listed(), 2, "a shorter part took a target away")
			return all, nil
		},
		func(soFar func([]roster.Target)) ([]roster.Target, error) {
			assert.Equal(t, s.listed(), 3)
			soFar(append(all[:2:2], target("d")))
			assert.Equal(t, s.listed(), 3, "a part is used after a whole list")
			return all[:1], nil
		},
	}
	lister.New(lister.Config{
		Catalog: s, Book: s.book, Due: func() bool { return true }, Clock: s, Logger: log.NewNopLogger(),
	}).Run(ctx)
	assert.Equal(t, s.listed(), 1)
}
