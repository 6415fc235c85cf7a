package keys

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"cactusline.dev/cactusline/internal/process/clock"
)

// Access is what a bearer token allows.
type Access string

// Kinds of access to the administration API.
const (
	// AccessOperator allows reads and changes.
	AccessOperator Access = "Operator"
	// AccessMonitor allows reads.
	AccessMonitor Access = "Monitor"
)

// MayChange reports whether the access allows changes.
func (a Access) MayChange() bool { return a == AccessOperator }

// Grant is one entry of a token file: who holds a token and what it allows.
type Grant struct {
	Name   string
	Access Access
	// Hash of the token, as Hash returns it.
	Hash string
}

// TokenFile is the JSON of a token file.
type TokenFile struct {
	Tokens []Grant
}

// TokensConfig configures Tokens.
type TokensConfig struct {
	// File holds a TokenFile.
	File string
	// Logger receives a line for each reload, good or failed.
	Logger log.Logger
	// Clock is the system's if nil.
	Clock Clock
}

// Tokens knows the bearer tokens of the administration API. A changed file is
// read within CheckInterval of the next use; a broken one changes nothing.
type Tokens struct {
	cfg TokensConfig

	// mu guards what follows.
	mu      sync.Mutex
	grants  []Grant
	seen    stamps
	checked time.Time
}

const tokenBytes = 32

// NewToken draws a token.
func NewToken() string {
	var data [tokenBytes]byte
	_, _ = rand.Read(data[:])
	return hex.EncodeToString(data[:])
}

// HashToken returns the hash under which a token stands in a file.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Bearer returns the bearer token of a request's headers, or empty.
func Bearer(header http.Header) string {
	scheme, token, _ := strings.Cut(header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}

// OpenTokens reads the token file.
func OpenTokens(cfg TokensConfig) (*Tokens, error) {
	if cfg.Logger == nil {
		cfg.Logger = log.NewNopLogger()
	}
	if cfg.Clock == nil {
		cfg.Clock = clock.System{}
	}
	t := &Tokens{cfg: cfg, checked: cfg.Clock.Now(), seen: Files{Cert: cfg.File}.stamps()}
	grants, err := readTokens(cfg.File)
	if err != nil {
		return nil, err
	}
	t.grants = grants
	return t, nil
}

// Lookup returns the grant of a token, and whether there is one.
func (t *Tokens) Lookup(token string) (Grant, bool) {
	hash := []byte(HashToken(token))
	for _, g := range t.current() {
		if subtle.ConstantTimeCompare(hash, []byte(g.Hash)) == 1 {
			return g, true
		}
	}
	return Grant{}, false
}

func (t *Tokens) current() []Grant {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Clock.Now()
	if now.Sub(t.checked) < CheckInterval {
		return t.grants
	}
	t.checked = now
	seen := Files{Cert: t.cfg.File}.stamps()
	if seen == t.seen {
		return t.grants
	}
	t.seen = seen
	grants, err := readTokens(t.cfg.File)
	if err != nil {
		_ = level.Error(t.cfg.Logger).Log("Event", "tokens not reloaded, the old ones stay", "Error", err)
		return t.grants
	}
	t.grants = grants
	return grants
}

func readTokens(name string) ([]Grant, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("read tokens: %w", err)
	}
	var file TokenFile
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, fmt.Errorf("read tokens: %w", err)
	}
	for i, g := range file.Tokens {
		if g.Name == "" || len(g.Hash) != sha256.Size*2 || (g.Access != AccessOperator && g.Access != AccessMonitor) {
			return nil, fmt.Errorf("read tokens: entry %d needs a name, an access of Operator or Monitor, and a hash", i+1)
		}
	}
	return file.Tokens, nil
}
