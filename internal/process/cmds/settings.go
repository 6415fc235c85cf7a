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

	"cactusline.dev/cactusline/internal/conn/link"
	"cactusline.dev/cactusline/internal/process/clock"
	"cactusline.dev/cactusline/internal/process/logs"
	"cactusline.dev/cactusline/platform"
)

// settingsInterval is between two looks at the settings file, which may change
// without a signal.
const settingsInterval = time.Second

// readSettings reads the settings file.
func readSettings(path string) (*platform.Settings, error) {
	if path == "" {
		path = platform.SettingsPath()
	}
	settings, err := platform.ReadSettings(path)
	if err != nil {
		return nil, usage(err)
	}
	return settings, nil
}

// platformLogger returns a logger to standard output, which is what the
// platform keeps, and what writes its last lines. It never blocks a request.
func platformLogger(s *scope, role string, settings *platform.Settings) (logger log.Logger, flush func(), err error) {
	queue := logs.NewAsyncWriter(s.stdout)
	s.stderr = queue
	plain, err := newLogger(s, role, string(settings.VM))
	if err != nil {
		return nil, nil, errors.Join(err, queue.Close())
	}
	bounded := logs.NewRateLimited(plain, clock.System{}, logs.DefaultLinesPerSecond)
	_ = level.Info(bounded).Log("msg", "starting", "domain", settings.Domain, "fresh", settings.Bootstrap, "disk", settings.DataDir != "")
	return bounded, func() { _ = queue.Close() }, nil
}

// Bounds of the links between processes on the platform.
const (
	// platformDial bounds the set-up of a link. Its way takes 10 to 25 ms there
	// and back; a VM that has just got power drops what came before, and the
	// first repetition would come a second later.
	platformDial = 300 * time.Millisecond
	// platformPing bounds how long a peer that is silent is waited for.
	platformPing = time.Second
	// platformDeadPeer ends connections that a cut has silenced. Three lost
	// packets in a row, at a retransmission timeout of 200 ms that doubles, stay
	// below it.
	platformDeadPeer = 1500 * time.Millisecond
)

// platformLinks returns the client of calls between processes on the platform.
func platformLinks(settings *platform.Settings) *link.Client {
	return link.NewClient(link.Config{
		Clock: clock.System{}, Caller: string(settings.VM),
		DialTimeout: platformDial, PingTimeout: platformPing, DeadPeerTimeout: platformDeadPeer, SessionsPerPeer: 1,
	})
}

// followSettings calls taken with the settings whenever the file has changed,
// which a signal may tell of, until ctx ends. A file that can't be read changes
// nothing.
func followSettings(ctx context.Context, logger log.Logger, path string, taken func(*platform.Settings)) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	var held *platform.Settings
	for {
		fresh, err := readSettings(path)
		switch {
		case err != nil:
			_ = level.Error(logger).Log("msg", "settings not taken", "err", err)
		case !reflect.DeepEqual(fresh, held):
			if held != nil {
				_ = level.Info(logger).Log("msg", "settings taken", "seeds", len(fresh.Seeds))
			}
			held = fresh
			taken(fresh)
		}
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-clock.System{}.After(settingsInterval):
		}
	}
}
