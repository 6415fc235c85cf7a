package side

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"cactusline.dev/cactusline/internal/conn/http1"
	"cactusline.dev/cactusline/internal/conn/sock"
	"cactusline.dev/cactusline/internal/conn/wire"
)

// Header fields that the sidecar sets in requests to its target.
const (
	headerRequest  = "Cactusline-Request"
	headerAttempt  = "Cactusline-Attempt"
	headerPriority = "X-Priority"
	headerTrace    = "Traceparent"
)

const (
	// targetDialTimeout limits a connection attempt, and the whole request of a
	// probe.
	targetDialTimeout = 500 * time.Millisecond
)

// targetClient is the HTTP client for the sidecar's target.
type targetClient struct {
	baseURL *url.URL
	client  *http.Client
}

func newTargetClient(baseURL *url.URL) *targetClient {
	dial := sock.DialContext(&net.Dialer{Timeout: targetDialTimeout})
	return &targetClient{
		baseURL: baseURL,
		client: &http.Client{
			CheckRedirect: returnRedirect,
			Transport: &http.Transport{
				DialContext:        http1.CheckResponses(dial),
				DialTLSContext:     http1.CheckResponses(secure(dial)),
				DisableCompression: true,
				// Targets name no request in their answers. On a connection that is used
				// again, a late second copy of an answer would be taken for the next. The
				// target is on the same VM, so a connection costs little.
				DisableKeepAlives: true,
			},
		},
	}
}

// secure returns a function that dials with dial and authenticates the server.
func secure(dial http1.DialFunc) http1.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, fmt.Errorf("address of target: %w", err)
		}
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		secured := tls.Client(conn, &tls.Config{ServerName: host, MinVersion: tls.VersionTLS12})
		if err := secured.HandshakeContext(ctx); err != nil {
			return nil, errors.Join(fmt.Errorf("handshake with target: %w", err), conn.Close())
		}
		return secured, nil
	}
}

// attemptURL returns the URL of an attempt: the target's base URL followed by
// the path as the caller escaped it, neither cleaned nor decoded.
func (t *targetClient) attemptURL(submit *wire.Submit) (string, error) {
	unescaped, err := url.PathUnescape(submit.GetPath())
	if err != nil {
		return "", fmt.Errorf("unescape path: %w", err)
	}
	address := *t.baseURL
	address.RawPath = strings.TrimSuffix(t.baseURL.EscapedPath(), "/") + submit.GetPath()
	address.Path = strings.TrimSuffix(t.baseURL.Path, "/") + unescaped
	address.RawQuery = submit.GetQuery()
	return address.String(), nil
}

// returnRedirect makes the client return a redirect as the answer. Following it
// is up to the caller.
func returnRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// sendAttempt sends an attempt to the target and returns the response.
func (t *targetClient) sendAttempt(ctx context.Context, submit *wire.Submit, priority int32, traceParent string) (*http.Response, error) {
	address, err := t.attemptURL(submit)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, submit.GetMethod(), address, requestBody(submit))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	req.ContentLength = int64(len(submit.GetBody()))
	for _, h := range submit.GetHeaders() {
		req.Header.Add(h.GetName(), h.GetValue())
	}
	req.Header.Set(headerRequest, submit.GetRequest())
	req.Header.Set(headerAttempt, submit.GetAttempt())
	req.Header.Set(headerPriority, strconv.Itoa(int(priority)))
	if traceParent != "" {
		req.Header.Set(headerTrace, traceParent)
	}
	resp, err := t.client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("send attempt to target: %w", err)
	}
	return resp, nil
}

// requestBody returns the body of an attempt. After a broken connection the
// transport may send a request a second time by itself, if it can get the body
// again or knows that it is empty. For an attempt that may run only once,
// requestBody hides the type of the reader, so that the transport can do neither.
func requestBody(submit *wire.Submit) io.Reader {
	body := bytes.NewReader(submit.GetBody())
	if submit.GetOnce() {
		return struct{ io.Reader }{body}
	}
	return body
}

// notSent reports whether err proves that the request never reached the target,
// since no connection was made.
func notSent(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

// responds reports whether the target answers a HEAD request, with any status or a
// malformed answer. A target that accepts connections and then breaks them does not
// respond.
func (t *targetClient) responds() bool {
	ctx, cancel := context.WithTimeout(context.Background(), targetDialTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodHead, t.baseURL.String(), http.NoBody)
	if err != nil {
		return false
	}
	req.Close = true
	resp, err := t.client.Do(req)
	if err != nil {
		return http1.IsMalformed(err)
	}
	_ = resp.Body.Close()
	return true
}
