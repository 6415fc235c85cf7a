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

// newLogger returns the logger of a process.
func newLogger(env *commandEnv, role, name string) (log.Logger, error) {
	logger, err := logs.New(logs.Config{Writer: env.stderr, Level: env.cli.LogLevel, Clock: clock.System{}})
	if err != nil {
		return nil, &exitCodeError{code: ExitUsage, err: err}
	}
	return log.With(logger, "role", role, "process", name), nil
}

// tracer returns the tracer of a process.
func (env *commandEnv) tracer(process, role string) (*trace.Tracer, error) {
	tracer, err := trace.New(env.ctx, trace.Config{
		Process:     process,
		Role:        role,
		Endpoint:    env.cli.TraceEndpoint,
		File:        env.cli.TraceFile,
		SampleOneIn: env.cli.TraceOneIn,
	})
	if err != nil {
		return nil, &exitCodeError{code: ExitUsage, err: err}
	}
	return tracer, nil
}

// closeTracer exports the remaining spans and closes the tracer.
func closeTracer(tracer *trace.Tracer) {
	ctx, cancel := context.WithTimeout(context.Background(), traceFlushTimeout)
	defer cancel()
	_ = tracer.Close(ctx)
}

const traceFlushTimeout = 2 * time.Second

// listen opens a TCP listener. Its error starts with the source of the address, a flag
// or a setting of the platform, as --SOURCE.
func listen(source, address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("--%s: %w", source, err)
	}
	return listener, nil
}

// newLinks returns the clients for calls to other processes and to control.
func newLinks(caller string, control []string, tlsCfg linkTLS) (*link.Client, *remote.Client) {
	links := link.NewClient(link.Config{Clock: clock.System{}, Caller: caller, TLS: tlsCfg.client})
	return links, remote.NewClient(remote.Config{Addresses: control, Link: links, Clock: clock.System{}})
}

// uniqueName returns the name with a random suffix that distinguishes this run of the
// process from others.
func uniqueName(name string) string {
	return fmt.Sprintf("%s-%08x", name, rand.Uint32())
}

// addressStrings converts addresses to strings.
func addressStrings(addresses []flags.Address) []string {
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
