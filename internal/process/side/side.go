// Package side is the sidecar role: the process beside one target that knows
// the truth about it. It is the only one that gives the target work, and so
// decides on admission, keeps what the target answered until the router has
// it, and refuses what may not run.
package side

import (
	"context"
	"fmt"
	"net"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"cactusline.dev/cactusline/internal/conn/link"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/version/ident"
)

// Clock is what the package needs of a clock.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
	Sleep(ctx context.Context, d time.Duration) error
}

// Config makes a Sidecar.
type Config struct {
	// Name is the target's, as in its record.
	Name ident.TargetName
	// Target is the base URL of the target.
	Target *url.URL
	// Listener takes calls of other processes of the system.
	Listener net.Listener
	// Clock is required.
	Clock Clock
	// Logger is required.
	Logger log.Logger
	// Incarnation is this start's number, unique for the target.
	Incarnation ident.Incarnation
}

// Sidecar serves the calls for one target.
type Sidecar struct {
	cfg     Config
	server  *link.Server
	target  *targetClient
	running atomic.Int64
}

// New returns a sidecar; Run starts it.
func New(cfg Config) *Sidecar {
	s := &Sidecar{cfg: cfg, target: newTargetClient(cfg.Target)}
	s.server = link.NewServer(s)
	return s
}

// Run serves until ctx ends.
func (s *Sidecar) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.cfg.Listener.Close() })
	defer stop()
	_ = level.Info(s.cfg.Logger).Log("msg", "sidecar serves", "target", s.cfg.Name, "address", s.cfg.Listener.Addr())
	if err := s.server.Serve(ctx, s.cfg.Listener); err != nil {
		return fmt.Errorf("serve calls: %w", err)
	}
	if err := s.server.Close(); err != nil {
		return fmt.Errorf("close calls: %w", err)
	}
	return nil
}

// ServeCall implements link.Handler.
func (s *Sidecar) ServeCall(ctx context.Context, call *wire.Call, stream *link.Stream) {
	switch body := call.GetBody().(type) {
	case *wire.Call_Submit:
		s.serveSubmit(ctx, call, body.Submit, stream)
	case *wire.Call_Probe:
		_ = stream.Send(&wire.ProbeReply{Load: s.load(), Target: string(s.cfg.Name)})
	}
}

func (s *Sidecar) load() *wire.Load {
	return &wire.Load{
		Requests:    uint32(s.running.Load()),
		Incarnation: uint64(s.cfg.Incarnation),
	}
}
