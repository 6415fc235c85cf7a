// Package keys holds the keys of a process: its TLS certificate and the
// authorities that it trusts, reloaded without a restart, and the bearer tokens
// of the administration API.
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

// CheckInterval is the least time between two looks at the files.
const CheckInterval = time.Second

// Clock tells when the files are due for a look.
type Clock interface {
	Now() time.Time
}

// Files names the PEM files of one process.
type Files struct {
	// Cert holds the certificate chain, the process's own first.
	Cert string
	// Key holds the private key.
	Key string
	// CA holds the authorities that sign the certificates of the fleet. It
	// may be empty for a pair that serves callers only.
	CA string
}

// Config configures a Pair.
type Config struct {
	Files Files
	// Logger receives a line for each reload, good or failed.
	Logger log.Logger
	// Clock is the system's if nil.
	Clock Clock
}

// Pair is a certificate, its key and the trusted authorities, as the files
// last held them whole.
type Pair struct {
	cfg Config

	// mu guards what follows.
	mu      sync.Mutex
	now     material
	seen    stamps
	checked time.Time
}

// material is what one reading of the files gave.
type material struct {
	cert  *tls.Certificate
	roots *x509.CertPool
}

// stamp tells two states of a file apart.
type stamp struct {
	changed time.Time
	size    int64
}

// stamps are those of the certificate, the key and the authorities.
type stamps [3]stamp

// Open reads the files.
func Open(cfg Config) (*Pair, error) {
	if cfg.Logger == nil {
		cfg.Logger = log.NewNopLogger()
	}
	if cfg.Clock == nil {
		cfg.Clock = clock.System{}
	}
	p := &Pair{cfg: cfg, checked: cfg.Clock.Now(), seen: cfg.Files.stamps()}
	now, err := cfg.Files.load()
	if err != nil {
		return nil, err
	}
	p.now = now
	return p, nil
}

// Reload reads the files now. On an error the pair stays as it was.
func (p *Pair) Reload() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reload(p.cfg.Files.stamps())
}

func (p *Pair) reload(seen stamps) error {
	p.seen = seen
	now, err := p.cfg.Files.load()
	if err != nil {
		_ = level.Error(p.cfg.Logger).Log("Event", "keys not reloaded, the old ones stay", "Error", err)
		return err
	}
	p.now = now
	_ = level.Info(p.cfg.Logger).Log("Event", "keys reloaded", "File", p.cfg.Files.Cert)
	return nil
}

// current returns the newest whole material, after a look at the files if one
// is due.
func (p *Pair) current() material {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Clock.Now()
	if now.Sub(p.checked) < CheckInterval {
		return p.now
	}
	p.checked = now
	if seen := p.cfg.Files.stamps(); seen != p.seen {
		// A failure has been logged, and the old material stays.
		_ = p.reload(seen)
	}
	return p.now
}

func (f Files) stamps() stamps {
	var out stamps
	for i, name := range []string{f.Cert, f.Key, f.CA} {
		if info, err := os.Stat(name); err == nil {
			out[i] = stamp{changed: info.ModTime(), size: info.Size()}
		}
	}
	return out
}

func (f Files) load() (material, error) {
	cert, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return material{}, fmt.Errorf("load certificate and key: %w", err)
	}
	m := material{cert: &cert}
	if f.CA == "" {
		return m, nil
	}
	text, err := os.ReadFile(f.CA)
	if err != nil {
		return material{}, fmt.Errorf("load authorities: %w", err)
	}
	m.roots = x509.NewCertPool()
	if !m.roots.AppendCertsFromPEM(text) {
		return material{}, errors.New("load authorities: " + f.CA + " holds no certificate")
	}
	return m, nil
}

// Watch looks at the files each CheckInterval until ctx ends, for processes
// whose handshakes are rare.
func (p *Pair) Watch(ctx context.Context, sleep func(context.Context, time.Duration) error) error {
	for {
		if err := sleep(ctx, CheckInterval); err != nil {
			return err
		}
		p.current()
	}
}
