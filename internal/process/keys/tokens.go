package keys

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"cactusline.dev/cactusline/internal/process/clock"
	"cactusline.dev/cactusline/internal/version/exact"
)

// Access is the access level that a bearer token grants.
type Access string

// Access levels of the administration API.
const (
	// AccessOperator allows reading and making changes.
	AccessOperator Access = "Operator"
	// AccessMonitor allows reading.
	AccessMonitor Access = "Monitor"
)

// CanWrite reports whether the access level allows changes.
func (a Access) CanWrite() bool { return a == AccessOperator }

// Grant is an entry of a token file: the holder of a token and its access level.
type Grant struct {
	Name   string
	Access Access
	// Hash is the token's hash, as returned by HashToken.
	Hash string
}

// TokenFile is the JSON content of a token file.
type TokenFile struct {
	Tokens []Grant
}

// TokensConfig configures Tokens.
type TokensConfig struct {
	// File is the path of a file that holds a TokenFile.
	File string
	// Logger receives a line for each failed reload.
	Logger log.Logger
	// Clock is the system clock if nil.
	Clock Clock
}

// Tokens looks up the bearer tokens of the administration API. A lookup reloads
// a changed file if the last check was at least CheckInterval ago. If the file is
// invalid, the old tokens stay valid.
type Tokens struct {
	cfg TokensConfig

	// mu guards the fields below.
	mu        sync.Mutex
	grants    []Grant
	states    fileStates
	lastCheck time.Time
}

const tokenBytes = 32

// NewToken returns a random token.
func NewToken() string {
	var data [tokenBytes]byte
	_, _ = rand.Read(data[:])
	return hex.EncodeToString(data[:])
}

// HashToken returns the hash that a token file holds in place of the token.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// BearerToken returns the bearer token in a request's header, or the empty string
// if there is none.
func BearerToken(header http.Header) string {
	scheme, token, _ := strings.Cut(header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}

// OpenTokens loads the token file.
func OpenTokens(cfg TokensConfig) (*Tokens, error) {
	if cfg.Logger == nil {
		cfg.Logger = log.NewNopLogger()
	}
	if cfg.Clock == nil {
		cfg.Clock = clock.System{}
	}
	t := &Tokens{cfg: cfg, lastCheck: cfg.Clock.Now(), states: Files{Cert: cfg.File}.states()}
	grants, err := readTokens(cfg.File)
	if err != nil {
		return nil, err
	}
	t.grants = grants
	return t, nil
}

// Lookup returns the grant for a token and reports whether there is one.
func (t *Tokens) Lookup(token string) (Grant, bool) {
	hash := []byte(HashToken(token))
	for _, g := range t.current() {
		if subtle.ConstantTimeCompare(hash, []byte(g.Hash)) == 1 {
			return g, true
		}
	}
	return Grant{}, false
}

// current returns the grants, after reloading a changed file if a check is due.
func (t *Tokens) current() []Grant {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Clock.Now()
	if now.Sub(t.lastCheck) < CheckInterval {
		return t.grants
	}
	t.lastCheck = now
	states := Files{Cert: t.cfg.File}.states()
	if states == t.states {
		return t.grants
	}
	t.states = states
	grants, err := readTokens(t.cfg.File)
	if err != nil {
		_ = level.Error(t.cfg.Logger).Log("Event", "tokens not reloaded, keeping the old ones", "Error", err)
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
	if err := exact.Unmarshal(text, &file); err != nil {
		return nil, fmt.Errorf("read tokens: %w", err)
	}
	for i, g := range file.Tokens {
		if g.Name == "" || len(g.Hash) != sha256.Size*2 || (g.Access != AccessOperator && g.Access != AccessMonitor) {
			return nil, fmt.Errorf("read tokens: entry %d needs a name, an access level (Operator or Monitor) and a hash", i+1)
		}
	}
	return file.Tokens, nil
}
