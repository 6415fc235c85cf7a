package cmds

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"

	"cactusline.dev/cactusline/internal/conn/httpd"
	"cactusline.dev/cactusline/internal/conn/link"
	"cactusline.dev/cactusline/internal/conn/remote"
	"cactusline.dev/cactusline/internal/process/clock"
	"cactusline.dev/cactusline/internal/process/flags"
	"cactusline.dev/cactusline/internal/process/logs"
	"cactusline.dev/cactusline/internal/process/trace"
)

// newLogger returns the logger of a role.
func newLogger(s *scope, role, name string) (log.Logger, error) {
	logger, err := logs.New(logs.Config{Writer: s.stderr, Level: s.cli.LogLevel, Clock: clock.System{}})
	if err != nil {
		return nil, &codedError{code: ExitUsage, err: err}
	}
	return log.With(logger, "role", role, "process", name), nil
}

// tracer returns the tracer of a role.
func (s *scope) tracer(process, role string) (*trace.Tracer, error) {
	tracer, err := trace.New(s.ctx, trace.Config{
		Process:     process,
		Role:        role,
		Endpoint:    s.cli.TraceEndpoint,
		File:        s.cli.TraceFile,
		SampleOneIn: s.cli.TraceOneIn,
	})
	if err != nil {
		return nil, &codedError{code: ExitUsage, err: err}
	}
	return tracer, nil
}

// closeTracer exports the spans that are left.
func closeTracer(tracer *trace.Tracer) {
	ctx, cancel := context.WithTimeout(context.Background(), traceFlushTimeout)
	defer cancel()
	_ = tracer.Close(ctx)
}

const traceFlushTimeout = 2 * time.Second

// listen opens a TCP listener.
func listen(flag, address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("--%s: %w", flag, err)
	}
	return listener, nil
}

// newLinks returns the client of calls to other processes, and of control.
func newLinks(caller string, control []string, secure linkTLS) (*link.Client, *remote.Client) {
	links := link.NewClient(link.Config{Clock: clock.System{}, Caller: caller, TLS: secure.client})
	return links, remote.NewClient(remote.Config{Addresses: control, Link: links, Clock: clock.System{}})
}

// startName makes a process name unique to this start.
func startName(name string) string {
	return fmt.Sprintf("%s-%08x", name, rand.Uint32())
}

// texts returns addresses as plain text.
func texts(addresses []flags.Address) []string {
	list := make([]string, len(addresses))
	for i, address := range addresses {
		list[i] = string(address)
	}
	return list
}

// serveMetrics serves the metrics of the process until ctx ends.
func serveMetrics(ctx context.Context, address string) error {
	if address == "" {
		return nil
	}
	listener, err := listen("metrics", address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		metrics.WritePrometheus(w, true)
	})
	go func() { _ = httpd.New(httpd.Config{Handler: mux}).Serve(ctx, listener) }()
	return nil
}
