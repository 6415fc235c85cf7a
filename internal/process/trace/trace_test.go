package trace_test

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"go.opentelemetry.io/otel/attribute"
	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/trace"
)

const (
	incoming = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	traceID  = "0af7651916cd43dd8448eb211c80319c"
)

func TestSpansOfHopsShareTraceID(t *testing.T) {
	path := filepath.Join(t.TempDir(), "spans")
	tracer, err := trace.New(context.Background(), trace.Config{File: path, Process: "r1", Role: "router"})
	assert.NilError(t, err)
	ctx, parent := tracer.Start(context.Background(), incoming, "one", attribute.String("Model", "m"))
	forwarded := trace.Traceparent(ctx)
	assert.Assert(t, forwarded != incoming && strings.Contains(forwarded, traceID), forwarded)
	_, child := tracer.Start(context.Background(), forwarded, "two")
	child.End()
	parent.End()
	assert.NilError(t, tracer.Close(context.Background()))
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	lines := bytes.Split(bytes.TrimSpace(data), []byte("\n"))
	assert.Equal(t, len(lines), 2)
	var span struct {
		Name                string
		SpanContext, Parent struct{ TraceID, SpanID string }
	}
	assert.NilError(t, json.Unmarshal(lines[0], &span))
	assert.Equal(t, span.Name, "two")
	assert.Equal(t, span.SpanContext.TraceID, traceID)
	assert.Assert(t, strings.Contains(forwarded, span.Parent.SpanID))
}

func TestNoopPropagatesContext(t *testing.T) {
	tracer, err := trace.New(context.Background(), trace.Config{})
	assert.NilError(t, err)
	ctx, span := tracer.Start(context.Background(), incoming, "one")
	assert.Assert(t, !span.IsRecording())
	assert.Equal(t, trace.Traceparent(ctx), incoming)
	ctx, _ = tracer.Start(context.Background(), "nonsense", "one")
	assert.Equal(t, trace.Traceparent(ctx), "")
}

func BenchmarkNoop(b *testing.B) {
	tracer := trace.NewNoop()
	b.ReportAllocs()
	for b.Loop() {
		ctx, span := tracer.Start(context.Background(), incoming, "one")
		_ = trace.Traceparent(ctx)
		span.End()
	}
}
