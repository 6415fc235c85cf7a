package cmds

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"cactusline.dev/cactusline/internal/process/engine"
	"cactusline.dev/cactusline/internal/process/flags"
	"cactusline.dev/cactusline/internal/process/plain"
	"cactusline.dev/cactusline/internal/version/ident"
)

const standInHeaderTimeout = 5 * time.Second

// EngineCommand runs a stand-in for a model engine.
type EngineCommand struct {
	Listen        flags.Address     `help:"Address for requests." default:"127.0.0.1:9100"`
	Model         []ident.ModelName `help:"Models that it serves." default:"stand-in"`
	Batch         int               `help:"Requests that run at one time." default:"64"`
	StepTime      time.Duration     `help:"Time of one step, in which each running request gains a token."`
	PrefillTokens ident.Tokens      `help:"Prompt tokens that one step reads; 0 for no bound."`
	CacheTokens   ident.Tokens      `help:"Tokens of prefixes that it caches." default:"1048576"`
	AnswerTokens  ident.Tokens      `help:"Length of an answer whose request sets no bound." default:"32"`
	CrashMarker   string            `help:"Text that crashes the engine when a request holds it."`
	CrashTime     time.Duration     `help:"How long it stays down after a crash." default:"1s"`
	CheckFence    bool              `help:"Refuse orders with an old fencing number."`
}

// Run executes the command.
func (c *EngineCommand) Run(env *commandEnv) error {
	listener, err := listen("listen", string(c.Listen))
	if err != nil {
		return err
	}
	return serveEngine(env.ctx, listener, c.config())
}

func (c *EngineCommand) config() engine.Config {
	return engine.Config{
		Models:        c.Model,
		MaxBatchSize:  c.Batch,
		StepTime:      c.StepTime,
		PrefillTokens: c.PrefillTokens,
		CacheTokens:   c.CacheTokens,
		AnswerTokens:  c.AnswerTokens,
		CrashMarker:   c.CrashMarker,
		RestartDelay:  c.CrashTime,
		CheckFencing:  c.CheckFence,
	}
}

func serveEngine(ctx context.Context, listener net.Listener, cfg engine.Config) error {
	e := engine.New(cfg)
	go func() { _ = e.Run(ctx) }()
	return e.Serve(ctx, listener)
}

// ServiceCommand runs a stand-in for a plain HTTP service.
type ServiceCommand struct {
	Listen flags.Address     `help:"Address for requests." default:"127.0.0.1:9200"`
	Kind   ident.ServiceName `help:"What it does: registration or orders." enum:"registration,orders" default:"registration"`
	Delay  time.Duration     `help:"How long each request takes."`
}

// Run executes the command.
func (c *ServiceCommand) Run(env *commandEnv) error {
	listener, err := listen("listen", string(c.Listen))
	if err != nil {
		return err
	}
	return serveHTTP(env.ctx, listener, plain.New(plain.Config{Kind: c.Kind, Delay: c.Delay}))
}

// serveHTTP serves the handler of a stand-in until ctx ends.
func serveHTTP(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: standInHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve stand-in: %w", err)
	}
	return nil
}
