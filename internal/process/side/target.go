package side

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"cactusline.dev/cactusline/internal/conn/wire"
)

// Header fields that the sidecar adds to what it sends to its target.
const (
	headerRequest  = "Cactusline-Request"
	headerAttempt  = "Cactusline-Attempt"
	headerPriority = "X-Priority"
	headerTrace    = "Traceparent"
)

const (
	targetDialTimeout  = 500 * time.Millisecond
	targetIdleConns    = 512
	targetIdleInterval = 90 * time.Second
)

// targetClient speaks HTTP to the one target beside the sidecar.
type targetClient struct {
	base   *url.URL
	client *http.Client
}

func newTargetClient(base *url.URL) *targetClient {
	dialer := &net.Dialer{Timeout: targetDialTimeout}
	return &targetClient{
		base: base,
		client: &http.Client{
			CheckRedirect: keepRedirect,
			Transport: &http.Transport{
				DialContext:         dialer.DialContext,
				MaxIdleConnsPerHost: targetIdleConns,
				MaxIdleConns:        targetIdleConns,
				IdleConnTimeout:     targetIdleInterval,
				DisableCompression:  true,
			},
		},
	}
}

// address returns the URL of an attempt: the target's base and the path as the
// caller escaped it, neither cleaned nor decoded on the way.
func (t *targetClient) address(submit *wire.Submit) (string, error) {
	plain, err := url.PathUnescape(submit.GetPath())
	if err != nil {
		return "", fmt.Errorf("read path: %w", err)
	}
	address := *t.base
	address.RawPath = strings.TrimSuffix(t.base.EscapedPath(), "/") + submit.GetPath()
	address.Path = strings.TrimSuffix(t.base.Path, "/") + plain
	address.RawQuery = submit.GetQuery()
	return address.String(), nil
}

// keepRedirect makes a redirect the answer, which is for the caller to follow.
func keepRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// do sends one attempt to the target. The context cancels it.
func (t *targetClient) do(ctx context.Context, submit *wire.Submit, priority int32, traceParent string) (*http.Response, error) {
	address, err := t.address(submit)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, submit.GetMethod(), address, bodyOf(submit))
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
		return nil, fmt.Errorf("ask target: %w", err)
	}
	return resp, nil
}

// bodyOf returns the body of a request. On a broken connection the transport
// sends some requests a second time by itself: those whose body it can get
// again or knows to be empty. It must do neither with one that runs only once.
func bodyOf(submit *wire.Submit) io.Reader {
	body := bytes.NewReader(submit.GetBody())
	if submit.GetOnce() {
		return struct{ io.Reader }{body}
	}
	return body
}

// notSent reports whether err shows that the target never saw the request.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// answers reports whether the target answers a request of any kind. One that
// takes connections and breaks them does not.
func (t *targetClient) answers() bool {
	ctx, cancel := context.WithTimeout(context.Background(), targetDialTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodHead, t.base.String(), http.NoBody)
	if err != nil {
		return false
	}
	req.Close = true
	resp, err := t.client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return true
}
