package cmds

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

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
// platform keeps.
func platformLogger(s *scope, role string, settings *platform.Settings) (log.Logger, error) {
	s.stderr = s.stdout
	return newLogger(s, role, string(settings.VM))
}

// followSettings calls taken with the settings whenever the file has changed,
// which a signal may tell of, until ctx ends. A file that can't be read changes
// nothing.
func followSettings(ctx context.Context, logger log.Logger, path string, taken func(*platform.Settings)) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
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
		case <-ticker.C:
		}
	}
}
