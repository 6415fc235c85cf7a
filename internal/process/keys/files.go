// Package keys manages the credentials of a process: its TLS certificate, the
// certificate authorities that it trusts and the bearer tokens of the
// administration API. Changed files are reloaded without a restart.
package keys

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"cactusline.dev/cactusline/internal/process/clock"
)

// CheckInterval is the minimum time between two checks for changed files.
const CheckInterval = time.Second

// Clock provides the time for the checks of the files and of certificates.
type Clock interface {
	Now() time.Time
}

// Files names the PEM files of one process.
type Files struct {
	// Cert holds the certificate chain, starting with the process's own
	// certificate.
	Cert string
	// Key holds the private key.
	Key string
	// CA holds the authorities that sign the fleet's certificates. It may be
	// empty if the credentials only serve callers.
	CA string
}

// Config configures Credentials.
type Config struct {
	Files Files
	// Logger receives a line for each reload, successful or not.
	Logger log.Logger
	// Clock is the system clock if nil.
	Clock Clock
}

// Credentials are a certificate, its key and the trusted authorities, as last
// loaded without an error.
type Credentials struct {
	cfg Config

	// mu guards the fields below.
	mu        sync.Mutex
	latest    loadedFiles
	states    fileStates
	lastCheck time.Time
}

// loadedFiles is the content of the files at one load.
type loadedFiles struct {
	cert  *tls.Certificate
	roots *x509.CertPool
}

// fileState identifies a version of a file.
type fileState struct {
	modTime time.Time
	size    int64
}

// fileStates are the states of the certificate, the key and the authorities.
type fileStates [3]fileState

// Open loads the files.
func Open(cfg Config) (*Credentials, error) {
	if cfg.Logger == nil {
		cfg.Logger = log.NewNopLogger()
	}
	if cfg.Clock == nil {
		cfg.Clock = clock.System{}
	}
	c := &Credentials{cfg: cfg, lastCheck: cfg.Clock.Now(), states: cfg.Files.states()}
	loaded, err := cfg.Files.load()
	if err != nil {
		return nil, err
	}
	c.latest = loaded
	return c, nil
}

// Reload loads the files now. If that fails, the credentials do not change.
func (c *Credentials) Reload() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reload(c.cfg.Files.states())
}

// reload loads the files. It stores their states first, so that invalid files are not
// loaded again until they change.
func (c *Credentials) reload(states fileStates) error {
	c.states = states
	loaded, err := c.cfg.Files.load()
	if err != nil {
		_ = level.Error(c.cfg.Logger).Log("Event", "keys not reloaded, keeping the old ones", "Error", err)
		return err
	}
	c.latest = loaded
	_ = level.Info(c.cfg.Logger).Log("Event", "keys reloaded", "File", c.cfg.Files.Cert)
	return nil
}

// current returns the files last loaded without an error. It first reloads
// changed files if a check is due.
func (c *Credentials) current() loadedFiles {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Clock.Now()
	if now.Sub(c.lastCheck) < CheckInterval {
		return c.latest
	}
	c.lastCheck = now
	if states := c.cfg.Files.states(); states != c.states {
		// On failure, reload has logged the error and kept the old files.
		_ = c.reload(states)
	}
	return c.latest
}

func (f Files) states() fileStates {
	var out fileStates
	for i, name := range []string{f.Cert, f.Key, f.CA} {
		if info, err := os.Stat(name); err == nil {
			out[i] = fileState{modTime: info.ModTime(), size: info.Size()}
		}
	}
	return out
}

func (f Files) load() (loadedFiles, error) {
	cert, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return loadedFiles{}, fmt.Errorf("load certificate and key: %w", err)
	}
	m := loadedFiles{cert: &cert}
	if f.CA == "" {
		return m, nil
	}
	text, err := os.ReadFile(f.CA)
	if err != nil {
		return loadedFiles{}, fmt.Errorf("load authorities: %w", err)
	}
	m.roots = x509.NewCertPool()
	if !m.roots.AppendCertsFromPEM(text) {
		return loadedFiles{}, errors.New("load authorities: " + f.CA + " contains no certificate")
	}
	return m, nil
}

// Watch checks the files every CheckInterval until ctx ends. It serves processes
// whose handshakes, which check the files too, are rare.
func (c *Credentials) Watch(ctx context.Context, sleep func(context.Context, time.Duration) error) error {
	for {
		if err := sleep(ctx, CheckInterval); err != nil {
			return err
		}
		c.current()
	}
}
