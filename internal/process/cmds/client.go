package cmds

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"cactusline.dev/cactusline/internal/process/admin"
	"cactusline.dev/cactusline/internal/process/clock"
	"cactusline.dev/cactusline/internal/process/flags"
	"cactusline.dev/cactusline/internal/version/ident"
)

const (
	askTimeout    = 30 * time.Second
	dialTimeout   = 3 * time.Second
	resendEvery   = 250 * time.Millisecond
	maxErrorBytes = 1 << 20
)

// Client reaches the administration API. It is embedded in the operators'
// verbs.
type Client struct {
	Admin     []string      `help:"URLs of the administration API; the next one is tried when one gives no answer." default:"http://127.0.0.1:8081" env:"CACTUSLINE_ADMIN_URL"`
	TokenFile flags.File    `help:"File with the bearer token."`
	CAFile    flags.File    `name:"ca-file" help:"File with the authority that signs the API's certificate; the system's if empty."`
	Output    string        `help:"Form of the answer." enum:"table,json" default:"table"`
	Patience  time.Duration `help:"How long to go on while control can't be reached or has no quorum." default:"10s" min:"0s"`
}

// request is one call of the API.
type request struct {
	method string
	path   string
	query  url.Values
	body   []byte
	// change is the id under which the call may be sent again; calls that read
	// have none and may be sent again too.
	change ident.ChangeID
	// within is added to the time that one call may take.
	within time.Duration
}

// call makes a call until it is answered, which may be by an error, or
// patience ends, and decodes the answer.
func (c *Client) call(s *scope, r request, answer any) error {
	data, err := c.send(s, r)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	return nil
}

// send makes a call and returns the answer's bytes. Sending again is safe,
// because a change carries its id.
func (c *Client) send(s *scope, r request) ([]byte, error) {
	token, err := c.token()
	if err != nil {
		return nil, err
	}
	client, err := c.http()
	if err != nil {
		return nil, err
	}
	if len(c.Admin) == 0 {
		return nil, usage(errors.New("--admin names no URL"))
	}
	ctx, cancel := context.WithTimeout(s.ctx, c.Patience)
	defer cancel()
	unknown := false
	for turn := 0; ; turn++ {
		data, err := c.once(s.ctx, client, c.Admin[turn%len(c.Admin)], token, r)
		if err == nil {
			return data, nil
		}
		var final *admin.Error
		if errors.As(err, &final) && final.Code != admin.CodeNoQuorum && final.Code != admin.CodeOutcomeUnknown {
			return nil, explained(final, r.change)
		}
		var lost *lostError
		unknown = unknown || errors.As(err, &lost) || (final != nil && final.Code == admin.CodeOutcomeUnknown)
		if (clock.System{}).Sleep(ctx, resendEvery) != nil {
			return nil, c.unanswered(err, r, unknown)
		}
	}
}

// unanswered words the end of patience.
func (c *Client) unanswered(err error, r request, unknown bool) error {
	if unknown && r.method != http.MethodGet {
		next := "look at it with 'cactusline status'"
		if r.change != "" {
			next = "send it again with --change " + string(r.change)
		}
		return &codedError{code: ExitUnknown, err: fmt.Errorf("it is not known whether the change was made; %s: %w", next, err)}
	}
	return &codedError{code: ExitRefused, err: fmt.Errorf("no answer; nothing was changed: %w", err)}
}

// lostError says that a call was sent and its answer lost.
type lostError struct {
	err error
}

// Error names the cause.
func (e *lostError) Error() string { return fmt.Sprintf("answer lost: %v", e.err) }

// Unwrap returns the cause.
func (e *lostError) Unwrap() error { return e.err }

// once makes a call at one URL.
func (c *Client) once(ctx context.Context, client *http.Client, base, token string, r request) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout+r.within)
	defer cancel()
	target := strings.TrimSuffix(base, "/") + r.path
	if len(r.query) > 0 {
		target += "?" + r.query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, r.method, target, bytes.NewReader(r.body))
	if err != nil {
		return nil, usage(fmt.Errorf("--admin: %w", err))
	}
	if r.change != "" {
		req.Header.Set(admin.HeaderChangeID, string(r.change))
	}
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := client.Do(req)
	if err != nil && unsent(err) {
		return nil, fmt.Errorf("ask %s: %w", base, err)
	}
	if err != nil {
		return nil, &lostError{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusBadRequest {
		return nil, readError(resp)
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, &lostError{err: err}
	}
	return data, nil
}

// http returns a client that trusts the configured authority.
func (c *Client) http() (*http.Client, error) {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}
	if c.CAFile == "" {
		return &http.Client{Transport: transport}, nil
	}
	text, err := os.ReadFile(string(c.CAFile))
	if err != nil {
		return nil, usage(fmt.Errorf("--ca-file: %w", err))
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(text) {
		return nil, usage(fmt.Errorf("--ca-file: %s holds no certificate", c.CAFile))
	}
	transport.TLSClientConfig = &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: roots}
	return &http.Client{Transport: transport}, nil
}

// token reads the bearer token, empty if no file is named.
func (c *Client) token() (string, error) {
	if c.TokenFile == "" {
		return "", nil
	}
	data, err := os.ReadFile(string(c.TokenFile))
	if err != nil {
		return "", usage(fmt.Errorf("--token-file: %w", err))
	}
	return strings.TrimSpace(string(data)), nil
}
