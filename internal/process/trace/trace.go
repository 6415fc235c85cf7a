// Package trace sets up OpenTelemetry: spans for each hop of a request, with
// W3C trace context between the hops.
package trace

import (
	"context"
	"errors"
	"fmt"
	"os"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	oteltrace "go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// Header is the HTTP header of the W3C trace context.
const Header = "Traceparent"

// scope names the instrumentation in exported spans.
const scope = "cactusline.dev/cactusline"

// Config configures a Tracer. The zero value exports nothing.
type Config struct {
	// Process names the process in its spans.
	Process string
	// Role of the process, such as router.
	Role string
	// Endpoint is the URL of an OTLP/HTTP collector.
	Endpoint string
	// File receives spans as JSON lines, appended.
	File string
	// SampleOneIn keeps one new trace in this many; zero keeps all. A trace
	// that comes in follows its caller's choice.
	SampleOneIn int
}

// Tracer starts spans.
type Tracer struct {
	tracer   oteltrace.Tracer
	provider *sdktrace.TracerProvider
	file     *os.File
}

// New returns a tracer that exports as cfg says. Close it to flush.
func New(ctx context.Context, cfg Config) (*Tracer, error) {
	if cfg.Endpoint == "" && cfg.File == "" {
		return NewNoop(), nil
	}
	if cfg.SampleOneIn < 0 {
		return nil, errors.New("trace sampling is below zero")
	}
	t := &Tracer{}
	options, err := t.exporters(ctx, cfg)
	if err != nil {
		return nil, err
	}
	kept := 1 / float64(max(cfg.SampleOneIn, 1))
	options = append(options,
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(kept))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "cactusline-"+cfg.Role),
			attribute.String("service.instance.id", cfg.Process),
		)))
	t.provider = sdktrace.NewTracerProvider(options...)
	t.tracer = t.provider.Tracer(scope)
	return t, nil
}

// NewNoop returns a tracer that exports nothing but passes trace context on.
func NewNoop() *Tracer {
	return &Tracer{tracer: noop.NewTracerProvider().Tracer(scope)}
}

func (t *Tracer) exporters(ctx context.Context, cfg Config) ([]sdktrace.TracerProviderOption, error) {
	var options []sdktrace.TracerProviderOption
	if cfg.Endpoint != "" {
		exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(cfg.Endpoint))
		if err != nil {
			return nil, fmt.Errorf("open trace endpoint: %w", err)
		}
		options = append(options, sdktrace.WithBatcher(exporter))
	}
	if cfg.File != "" {
		file, err := os.OpenFile(cfg.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, fmt.Errorf("open trace file: %w", err)
		}
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
		if err != nil {
			return nil, fmt.Errorf("export traces to file: %w", errors.Join(err, file.Close()))
		}
		t.file = file
		options = append(options, sdktrace.WithBatcher(exporter))
	}
	return options, nil
}

// Start starts a span as a child of the W3C trace parent, or of the span in
// ctx if the trace parent is empty or invalid. End the span.
func (t *Tracer) Start(ctx context.Context, traceParent, name string, attributes ...attribute.KeyValue) (context.Context, oteltrace.Span) {
	if traceParent != "" {
		ctx = propagation.TraceContext{}.Extract(ctx, carrier{&traceParent})
	}
	ctx, span := t.tracer.Start(ctx, name)
	if len(attributes) > 0 && span.IsRecording() {
		span.SetAttributes(attributes...)
	}
	return ctx, span
}

// Traceparent returns the W3C trace parent of the span in ctx, to be put on a frame
// or a request; empty if there is none.
func Traceparent(ctx context.Context) string {
	var traceParent string
	propagation.TraceContext{}.Inject(ctx, carrier{&traceParent})
	return traceParent
}

// Fail marks span as failed by err, if that is not nil.
func Fail(span oteltrace.Span, err error) {
	if err == nil || !span.IsRecording() {
		return
	}
	span.RecordError(err)
	span.SetStatus(codes.Error, err.Error())
}

// Close exports what is left, until ctx ends.
func (t *Tracer) Close(ctx context.Context) error {
	if t.provider == nil {
		return nil
	}
	err := t.provider.Shutdown(ctx)
	if t.file != nil {
		err = errors.Join(err, t.file.Close())
	}
	if err != nil {
		return fmt.Errorf("close tracer: %w", err)
	}
	return nil
}

// carrier holds one trace parent for the propagator.
type carrier struct {
	traceParent *string
}

const carrierKey = "traceparent"

// Get returns the trace parent.
func (c carrier) Get(key string) string {
	if key != carrierKey {
		return ""
	}
	return *c.traceParent
}

// Set stores the trace parent; a trace state is dropped.
func (c carrier) Set(key, value string) {
	if key == carrierKey {
		*c.traceParent = value
	}
}

// Keys returns the only key.
func (c carrier) Keys() []string { return []string{carrierKey} }
