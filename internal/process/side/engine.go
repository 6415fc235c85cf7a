package side

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"cactusline.dev/cactusline/internal/process/engine"
	"cactusline.dev/cactusline/internal/request/chat"
	"cactusline.dev/cactusline/internal/version/ident"
)

const (
	// engineRequestTimeout limits the requests that the engine can answer at
	// once: those for its models, its load and its cache events.
	engineRequestTimeout = 2 * time.Second
	// maxEngineResponseBytes limits the engine's responses to requests of the
	// sidecar itself.
	maxEngineResponseBytes = 64 << 20
)

// fenceRefusedError reports an order that the engine refused because it has
// already seen a higher fence.
type fenceRefusedError struct {
	fence ident.Fence
}

// Error implements error.
func (e *fenceRefusedError) Error() string {
	return fmt.Sprintf("engine refused the order: it has already seen fence %d", e.fence)
}

// listModels returns the models that the engine lists.
func (t *targetClient) listModels(ctx context.Context) ([]ident.ModelName, error) {
	ctx, cancel := context.WithTimeout(ctx, engineRequestTimeout)
	defer cancel()
	var list chat.ModelList
	if err := t.exchangeJSON(ctx, http.MethodGet, "/v1/models", nil, &list); err != nil {
		return nil, fmt.Errorf("list models: %w", err)
	}
	names := make([]ident.ModelName, 0, len(list.Data))
	for _, model := range list.Data {
		names = append(names, model.ID)
	}
	return names, nil
}

// sendOrder sends an order to the engine and returns the resulting deployment. If
// the engine has seen a higher fence, the error is a *fenceRefusedError.
func (t *targetClient) sendOrder(ctx context.Context, order engine.Order) (engine.Deployment, error) {
	var deployment engine.Deployment
	if err := t.exchangeJSON(ctx, http.MethodPost, "/orders", order, &deployment); err != nil {
		return engine.Deployment{}, fmt.Errorf("send order: %w", err)
	}
	return deployment, nil
}

// cacheEvents calls handle with each cache event of the engine whose number is
// higher than after. It decodes the events one by one, because an engine keeps
// very many of them.
func (t *targetClient) cacheEvents(ctx context.Context, after uint64, handle func(engine.Event)) error {
	path := fmt.Sprintf("/cache/events?after=%d", after)
	return t.request(ctx, http.MethodGet, path, nil, func(decoder *json.Decoder) error {
		// Skip to the start of the array of events.
		for {
			token, err := decoder.Token()
			if err != nil {
				return fmt.Errorf("decode cache events: %w", err)
			}
			if token == json.Delim('[') {
				break
			}
		}
		for decoder.More() {
			var e engine.Event
			if err := decoder.Decode(&e); err != nil {
				return fmt.Errorf("decode cache event: %w", err)
			}
			handle(e)
		}
		return nil
	})
}

// exchangeJSON sends reqBody as JSON, unless it is nil, and decodes the response
// into respBody.
func (t *targetClient) exchangeJSON(ctx context.Context, method, path string, reqBody, respBody any) error {
	return t.request(ctx, method, path, reqBody, func(decoder *json.Decoder) error {
		if err := decoder.Decode(respBody); err != nil {
			return fmt.Errorf("decode response of %s: %w", path, err)
		}
		return nil
	})
}

// request sends reqBody as JSON, unless it is nil, and calls read to decode the
// response. The path may include a query.
func (t *targetClient) request(ctx context.Context, method, path string, reqBody any, read func(*json.Decoder) error) error {
	reference, err := url.Parse(path)
	if err != nil {
		return fmt.Errorf("parse path: %w", err)
	}
	address := t.baseURL.JoinPath(reference.Path)
	address.RawQuery = reference.RawQuery
	var body io.Reader = http.NoBody
	if reqBody != nil {
		data, err := json.Marshal(reqBody)
		if err != nil {
			return fmt.Errorf("encode %s: %w", path, err)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, address.String(), body)
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	// Without GetBody the transport cannot retry the request. An order must not
	// be sent twice.
	req.GetBody = nil
	resp, err := t.client.Do(req)
	if err != nil {
		return fmt.Errorf("call engine: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	decoder := json.NewDecoder(io.LimitReader(resp.Body, maxEngineResponseBytes))
	if resp.StatusCode != http.StatusOK {
		return responseError(resp.StatusCode, decoder)
	}
	return read(decoder)
}

// responseError returns the error of a response whose status is not 200. Engines
// return status 409 only to an order whose fence is too low.
func responseError(status int, decoder *json.Decoder) error {
	var refusal engine.Error
	_ = decoder.Decode(&refusal)
	if status == http.StatusConflict {
		return &fenceRefusedError{fence: refusal.Fence}
	}
	return fmt.Errorf("engine returned status %d: %s", status, refusal.Message)
}
