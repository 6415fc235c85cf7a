package cmds

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"cactusline.dev/cactusline/internal/conn/guard"
	"cactusline.dev/cactusline/internal/conn/link"
	"cactusline.dev/cactusline/internal/process/clock"
	"cactusline.dev/cactusline/internal/process/logs"
	"cactusline.dev/cactusline/platform"
)

// settingsPollInterval is the interval between reads of the settings file, which may
// change without a signal.
const settingsPollInterval = time.Second

// readSettings reads the settings file.
func readSettings(path string) (*platform.Settings, error) {
	if path == "" {
		path = platform.SettingsPath()
	}
	settings, err := platform.ReadSettings(path)
	if err != nil {
		return nil, usageError(err)
	}
	return settings, nil
}

// platformLogger returns a rate-limited logger to standard output, which the platform
// stores, and a function that flushes it. It also sets env.stderr to the
// asynchronous writer, so that logging never blocks and can't delay requests.
func platformLogger(env *commandEnv, role string, settings *platform.Settings) (logger log.Logger, flush func(), err error) {
	writer := logs.NewAsyncWriter(env.stdout)
	env.stderr = writer
	unlimited, err := newLogger(env, role, string(settings.VM))
	if err != nil {
		return nil, nil, errors.Join(err, writer.Close())
	}
	limited := logs.NewRateLimited(unlimited, clock.System{}, logs.DefaultLinesPerSecond)
	_ = level.Info(limited).Log("msg", "starting", "domain", settings.Domain, "fresh", settings.Bootstrap, "disk", settings.DataDir != "")
	return limited, func() { _ = writer.Close() }, nil
}

// platformGuard returns the budget of the callers of a process, from the bounds of the
// settings.
func platformGuard(settings *platform.Settings, logger log.Logger, cfg guard.Config) *guard.Budget {
	cfg.Memory, cfg.MaxFDs, cfg.Logger = settings.Memory, settings.MaxFDs, logger
	bounds := guard.New(cfg)
	bounds.SetMemoryLimit()
	return bounds
}

// Timeouts of the links between processes on the platform.
const (
	// platformDialTimeout bounds connecting. The round-trip time is 10 to 25 ms,
	// but a VM that has just powered on has dropped earlier packets, and TCP
	// first retransmits only after a second. Dialing again is faster.
	platformDialTimeout = 300 * time.Millisecond
	// platformPingTimeout is how long a peer may be silent.
	platformPingTimeout = time.Second
	// platformDeadPeerTimeout closes connections that a network partition has
	// cut. It is longer than three consecutive packet losses take, with a
	// retransmission timeout that starts at 200 ms and doubles.
	platformDeadPeerTimeout = 1500 * time.Millisecond
	// platformMaxQuiet is how long a connection may have received nothing to be used for
	// another call. Connections may fall silent for good while new ones work, and a new
	// one takes a round trip.
	platformMaxQuiet = time.Second
)

// platformLinks returns the client for calls between processes on the platform.
func platformLinks(settings *platform.Settings) *link.Client {
	return link.NewClient(link.Config{
		Clock: clock.System{}, Caller: string(settings.VM),
		DialTimeout: platformDialTimeout, PingTimeout: platformPingTimeout, DeadPeerTimeout: platformDeadPeerTimeout, MaxQuiet: platformMaxQuiet, SessionsPerPeer: 1,
	})
}

// surviveHangups keeps SIGHUP from ending this process while followSettings does not run, as
// between two lives of a core.
func surviveHangups() { signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP) }

// followSettings calls apply with the settings at first and whenever the file has
// changed, until ctx ends. It polls the file, and rereads it at once on SIGHUP. If the
// file can't be read, the current settings stay.
func followSettings(ctx context.Context, logger log.Logger, path string, apply func(*platform.Settings)) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	var current *platform.Settings
	for {
		newSettings, err := readSettings(path)
		switch {
		case err != nil:
			_ = level.Error(logger).Log("msg", "settings not applied", "err", err)
		case !reflect.DeepEqual(newSettings, current):
			if current != nil {
				_ = level.Info(logger).Log("msg", "settings applied", "seeds", len(newSettings.Seeds))
			}
			current = newSettings
			apply(newSettings)
		}
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-clock.System{}.After(settingsPollInterval):
		}
	}
}
