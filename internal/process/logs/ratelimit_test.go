package logs_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/clock"
	"cactusline.dev/cactusline/internal/process/logs"
)

func TestRateLimitDropsInfoBeforeWarnings(t *testing.T) {
	var out bytes.Buffer
	fake := clock.NewFake(time.Unix(100, 0))
	logger := logs.NewRateLimited(log.NewLogfmtLogger(&out), fake, 10)
	for i := range 30 {
		assert.NilError(t, level.Info(logger).Log("info", i))
	}
	for i := range 15 {
		assert.NilError(t, level.Warn(logger).Log("warn", i))
	}
	assert.Equal(t, strings.Count(out.String(), " info="), 20)
	assert.Equal(t, strings.Count(out.String(), " warn="), 15)
	assert.Assert(t, strings.Contains(out.String(), "Event=LinesDropped Lines=10"), out.String())
	for range 10 {
		_ = level.Error(logger).Log("error", "x")
	}
	assert.Equal(t, strings.Count(out.String(), " error="), 5)
	fake.Advance(time.Second)
	assert.NilError(t, level.Error(logger).Log("error", "y"))
	assert.Assert(t, strings.Contains(out.String(), "Lines=5"), out.String())
}

// blockingWriter is a writer whose Write blocks until release is closed.
type blockingWriter struct {
	release chan struct{}
	out     bytes.Buffer
}

func (b *blockingWriter) Write(p []byte) (int, error) {
	<-b.release
	return b.out.Write(p)
}

func TestAsyncWriterDoesNotBlock(t *testing.T) {
	w := &blockingWriter{release: make(chan struct{})}
	writer := logs.NewAsyncWriter(w)
	for i := range 5000 {
		_, err := fmt.Fprintln(writer, i)
		assert.NilError(t, err)
	}
	close(w.release)
	assert.NilError(t, writer.Close())
	lines := strings.Count(w.out.String(), "\n")
	assert.Assert(t, lines >= 1024 && lines < 1100, "%d lines", lines)
}
