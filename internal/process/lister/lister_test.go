package lister_test

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/conn/roster"
	"cactusline.dev/cactusline/internal/process/lister"
)

// pages is a catalog of many pages, and a clock on which nobody waits.
type pages struct {
	now  time.Time
	stop context.CancelFunc
	// due ends after some pages.
	due  int
	read int
}

func (p *pages) Targets(ctx context.Context, more func()) ([]roster.Target, error) {
	defer p.stop()
	for range 100 {
		more()
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		p.read++
	}
	return []roster.Target{{Name: "a"}}, nil
}

func (p *pages) Now() time.Time { return p.now }

func (p *pages) Sleep(ctx context.Context, d time.Duration) error {
	p.now = p.now.Add(max(0, d))
	return ctx.Err()
}

// A process that is no longer the one to read stops in the middle of the list,
// since all processes share the calls that the platform takes.
func TestReadEndsOnceAnotherReads(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	p := &pages{now: time.Unix(1000, 0), stop: cancel, due: 3}
	book := roster.NewPublisher("b")
	var lines bytes.Buffer
	lister.New(lister.Config{
		Catalog: p, Book: book, IsReader: func() bool { return p.read < p.due }, Clock: p, Logger: log.NewJSONLogger(&lines),
	}).Run(ctx)
	assert.Equal(t, p.read, p.due)
	assert.Assert(t, book.DeltaSince("", 0) == nil, "a part of a list was used")
	assert.Equal(t, lines.String(), "", "the platform is not lost")
}
