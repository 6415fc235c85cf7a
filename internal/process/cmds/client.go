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
	requestTimeout = 30 * time.Second
	dialTimeout    = 3 * time.Second
	resendInterval = 250 * time.Millisecond
	maxErrorBytes  = 1 << 20
	// maxResponseBytes bounds the memory for one response.
	maxResponseBytes = 64 << 20
)

// Client calls the administration API. It is embedded in the operator commands.
type Client struct {
	Admin     []string      `help:"URLs of the administration API; the next one is tried when one gives no answer." default:"http://127.0.0.1:8081" env:"CACTUSLINE_ADMIN_URL"`
	TokenFile flags.File    `help:"File with the bearer token."`
	CAFile    flags.File    `name:"ca-file" help:"File with the authority that signs the API's certificate; the system's if empty."`
	Output    string        `help:"Form of the answer." enum:"table,json" default:"table"`
	Patience  time.Duration `help:"How long to go on while control can't be reached or has no quorum." default:"10s" min:"0s"`
}

// apiRequest is a call of the administration API.
type apiRequest struct {
	method string
	path   string
	query  url.Values
	body   []byte
	// change is the ID that makes it safe to resend the call. Calls that only
	// read and membership changes have none.
	change ident.ChangeID
	// extraTimeout is added to requestTimeout.
	extraTimeout time.Duration
}

// call sends a request and decodes the answer. It retries as send does.
func (c *Client) call(env *commandEnv, r apiRequest, answer any) error {
	data, err := c.send(env, r)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	return nil
}

// send sends a request and returns the body of the answer. It resends the request to
// the next address until there is a final answer, which may be an error, or Patience
// has passed. Resending is safe for a change with an ID. Membership changes have none,
// and are resent too.
func (c *Client) send(env *commandEnv, r apiRequest) ([]byte, error) {
	token, err := c.token()
	if err != nil {
		return nil, err
	}
	client, err := c.httpClient()
	if err != nil {
		return nil, err
	}
	if len(c.Admin) == 0 {
		return nil, usageError(errors.New("--admin is empty"))
	}
	// Patience bounds resending, but not a request in progress.
	resendCtx, cancel := context.WithTimeout(env.ctx, c.Patience)
	defer cancel()
	outcomeUnknown := false
	for attempt := 0; ; attempt++ {
		data, err := c.sendOnce(env.ctx, client, c.Admin[attempt%len(c.Admin)], token, r)
		if err == nil {
			return data, nil
		}
		var apiErr *admin.Error
		if errors.As(err, &apiErr) && apiErr.Code != admin.CodeNoQuorum && apiErr.Code != admin.CodeOutcomeUnknown {
			return nil, apiError(apiErr, r.change)
		}
		var lostErr *lostAnswerError
		outcomeUnknown = outcomeUnknown || errors.As(err, &lostErr) || (apiErr != nil && apiErr.Code == admin.CodeOutcomeUnknown)
		if (clock.System{}).Sleep(resendCtx, resendInterval) != nil {
			return nil, c.noAnswerError(err, r, outcomeUnknown)
		}
	}
}

// noAnswerError returns the error for a request without a final answer. If
// outcomeUnknown, the server may have received the request.
func (c *Client) noAnswerError(err error, r apiRequest, outcomeUnknown bool) error {
	if outcomeUnknown && r.method != http.MethodGet {
		hint := "check it with 'cactusline status'"
		if r.change != "" {
			hint = "resend it with --change " + string(r.change)
		}
		return &exitCodeError{code: ExitOutcomeUnknown, err: fmt.Errorf("unknown whether the change was made; %s: %w", hint, err)}
	}
	return &exitCodeError{code: ExitUnavailable, err: fmt.Errorf("no answer; nothing was changed: %w", err)}
}

// lostAnswerError reports that a call was sent but its answer was lost.
type lostAnswerError struct {
	err error
}

// Error implements error.
func (e *lostAnswerError) Error() string { return fmt.Sprintf("answer lost: %v", e.err) }

// Unwrap returns the cause.
func (e *lostAnswerError) Unwrap() error { return e.err }

// sendOnce sends a request to one URL.
func (c *Client) sendOnce(ctx context.Context, client *http.Client, baseURL, token string, r apiRequest) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout+r.extraTimeout)
	defer cancel()
	requestURL := strings.TrimSuffix(baseURL, "/") + r.path
	if len(r.query) > 0 {
		requestURL += "?" + r.query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, r.method, requestURL, bytes.NewReader(r.body))
	if err != nil {
		return nil, usageError(fmt.Errorf("--admin: %w", err))
	}
	if r.change != "" {
		req.Header.Set(admin.HeaderChangeID, string(r.change))
	}
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := client.Do(req)
	if err != nil && notSent(err) {
		return nil, fmt.Errorf("connect to %s: %w", baseURL, err)
	}
	if err != nil {
		return nil, &lostAnswerError{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode / 100 {
	case 2:
	case 4, 5:
		return nil, decodeError(resp)
	default:
		return nil, &lostAnswerError{err: fmt.Errorf("unexpected status %q", resp.Status)}
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return nil, &lostAnswerError{err: err}
	}
	if len(data) > maxResponseBytes {
		return nil, &lostAnswerError{err: fmt.Errorf("response of %s is longer than %d bytes", baseURL, maxResponseBytes)}
	}
	return data, nil
}

// httpClient returns a client that trusts the configured certificate authority.
func (c *Client) httpClient() (*http.Client, error) {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}
	if c.CAFile == "" {
		return &http.Client{Transport: transport}, nil
	}
	text, err := os.ReadFile(string(c.CAFile))
	if err != nil {
		return nil, usageError(fmt.Errorf("--ca-file: %w", err))
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(text) {
		return nil, usageError(fmt.Errorf("--ca-file: %s contains no certificate", c.CAFile))
	}
	transport.TLSClientConfig = &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: roots}
	return &http.Client{Transport: transport}, nil
}

// token returns the bearer token in the token file, empty if no file is set.
func (c *Client) token() (string, error) {
	if c.TokenFile == "" {
		return "", nil
	}
	data, err := os.ReadFile(string(c.TokenFile))
	if err != nil {
		return "", usageError(fmt.Errorf("--token-file: %w", err))
	}
	return strings.TrimSpace(string(data)), nil
}
