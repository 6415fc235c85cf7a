// Package trace sets up OpenTelemetry tracing: each hop of a request has spans, and
// W3C trace context connects the spans of all hops.
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

// Header is the name of the HTTP header that holds the W3C traceparent.
const Header = "Traceparent"

// instrumentationName is the instrumentation scope of exported spans.
const instrumentationName = "cactusline.dev/cactusline"

// Config configures a Tracer. With the zero value, nothing is exported.
type Config struct {
	// Process is the name of the process in its spans.
	Process string
	// Role is the role of the process, such as router.
	Role string
	// Endpoint is the URL of an OTLP/HTTP collector.
	Endpoint string
	// File is the path of a file to which spans are appended as JSON lines.
	File string
	// SampleOneIn is N if one in N new traces is sampled; zero samples all.
	// Requests that are already part of a trace follow the caller's sampling
	// decision.
	SampleOneIn int
}

// Tracer starts spans.
type Tracer struct {
	tracer   oteltrace.Tracer
	provider *sdktrace.TracerProvider
	file     *os.File
}

// New returns a tracer configured by cfg. Close it to export the remaining spans.
func New(ctx context.Context, cfg Config) (*Tracer, error) {
	if cfg.Endpoint == "" && cfg.File == "" {
		return NewNoop(), nil
	}
	if cfg.SampleOneIn < 0 {
		return nil, errors.New("trace sampling rate is negative")
	}
	t := &Tracer{}
	options, err := t.exporters(ctx, cfg)
	if err != nil {
		return nil, err
	}
	ratio := 1 / float64(max(cfg.SampleOneIn, 1))
	options = append(options,
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(ratio))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "cactusline-"+cfg.Role),
			attribute.String("service.instance.id", cfg.Process),
		)))
	t.provider = sdktrace.NewTracerProvider(options...)
	t.tracer = t.provider.Tracer(instrumentationName)
	return t, nil
}

// NewNoop returns a tracer that exports nothing but still propagates trace
// context.
func NewNoop() *Tracer {
	return &Tracer{tracer: noop.NewTracerProvider().Tracer(instrumentationName)}
}

func (t *Tracer) exporters(ctx context.Context, cfg Config) ([]sdktrace.TracerProviderOption, error) {
	var options []sdktrace.TracerProviderOption
	if cfg.Endpoint != "" {
		exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(cfg.Endpoint))
		if err != nil {
			return nil, fmt.Errorf("create trace endpoint exporter: %w", err)
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
			return nil, fmt.Errorf("create trace file exporter: %w", errors.Join(err, file.Close()))
		}
		t.file = file
		options = append(options, sdktrace.WithBatcher(exporter))
	}
	return options, nil
}

// Start starts a span as a child of the W3C traceparent, or of the span in ctx if
// traceParent is empty or invalid. The caller must end the span.
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

// Traceparent returns the W3C traceparent of the span in ctx, to be sent with a
// frame or a request. It is empty if ctx holds no span.
func Traceparent(ctx context.Context) string {
	var traceParent string
	propagation.TraceContext{}.Inject(ctx, carrier{&traceParent})
	return traceParent
}

// RecordError marks span as failed with err, unless err is nil.
func RecordError(span oteltrace.Span, err error) {
	if err == nil || !span.IsRecording() {
		return
	}
	span.RecordError(err)
	span.SetStatus(codes.Error, err.Error())
}

// Close exports the remaining spans, unless ctx ends first.
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

// carrier is a propagation.TextMapCarrier that holds only a traceparent.
type carrier struct {
	traceParent *string
}

const carrierKey = "traceparent"

// Get implements propagation.TextMapCarrier.
func (c carrier) Get(key string) string {
	if key != carrierKey {
		return ""
	}
	return *c.traceParent
}

// Set implements propagation.TextMapCarrier. It stores the traceparent and drops
// the tracestate.
func (c carrier) Set(key, value string) {
	if key == carrierKey {
		*c.traceParent = value
	}
}

// Keys implements propagation.TextMapCarrier.
func (c carrier) Keys() []string { return []string{carrierKey} }
