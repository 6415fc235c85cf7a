package cmds

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/go-kit/log"

	"cactusline.dev/cactusline/internal/conn/link"
	"cactusline.dev/cactusline/internal/conn/remote"
	"cactusline.dev/cactusline/internal/process/clock"
	"cactusline.dev/cactusline/internal/process/logs"
)

// newLogger returns the logger of a role.
func newLogger(s *scope, role, name string) (log.Logger, error) {
	logger, err := logs.New(logs.Config{Writer: s.stderr, Level: s.level, Clock: clock.System{}})
	if err != nil {
		return nil, &codedError{code: ExitUsage, err: err}
	}
	return log.With(logger, "role", role, "process", name), nil
}

// listen opens a TCP listener.
func listen(flag, address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("--%s: %w", flag, err)
	}
	return listener, nil
}

// newLinks returns the client of calls to other processes, and of control.
func newLinks(caller string, control []string) (*link.Client, *remote.Client) {
	links := link.NewClient(link.Config{Clock: clock.System{}, Caller: caller})
	return links, remote.NewClient(remote.Config{Addresses: control, Link: links, Clock: clock.System{}})
}

// startName makes a process name unique to this start.
func startName(name string) string {
	return fmt.Sprintf("%s-%08x", name, rand.Uint32())
}
