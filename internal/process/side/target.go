package side

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
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
		client: &http.Client{Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: targetIdleConns,
			MaxIdleConns:        targetIdleConns,
			IdleConnTimeout:     targetIdleInterval,
			DisableCompression:  true,
		}},
	}
}

// do sends one attempt to the target. The context cancels it.
func (t *targetClient) do(ctx context.Context, submit *wire.Submit, priority int32, traceParent string) (*http.Response, error) {
	address := t.base.JoinPath(submit.GetPath())
	address.RawQuery = submit.GetQuery()
	req, err := http.NewRequestWithContext(ctx, submit.GetMethod(), address.String(), bytes.NewReader(submit.GetBody()))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	for _, h := range submit.GetHeaders() {
		req.Header.Add(h.GetName(), h.GetValue())
	}
	req.Header.Set(headerRequest, submit.GetRequest())
	req.Header.Set(headerAttempt, submit.GetAttempt())
	req.Header.Set(headerPriority, strconv.Itoa(int(priority)))
	if traceParent != "" {
		req.Header.Set(headerTrace, traceParent)
	}
	if submit.GetOnce() {
		// The transport must not send it a second time on a broken
		// connection.
		req.GetBody = nil
	}
	resp, err := t.client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("ask target: %w", err)
	}
	return resp, nil
}

// notSent reports whether err shows that the target never saw the request.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// answers reports whether the target takes connections.
func (t *targetClient) answers() bool {
	conn, err := net.DialTimeout("tcp", t.base.Host, targetDialTimeout)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}
