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
	// engineAskTimeout bounds a question that the engine answers from memory.
	engineAskTimeout = 2 * time.Second
	// engineAnswerBytes bounds an engine's answer to the sidecar itself.
	engineAnswerBytes = 64 << 20
)

// orderRefusedError says that the engine has seen a higher fence.
type orderRefusedError struct {
	fence ident.Fence
}

// Error implements error.
func (e *orderRefusedError) Error() string {
	return fmt.Sprintf("engine refused the order: it has seen fence %d", e.fence)
}

// models returns the models that the engine lists.
func (t *targetClient) models(ctx context.Context) ([]ident.ModelName, error) {
	ctx, cancel := context.WithTimeout(ctx, engineAskTimeout)
	defer cancel()
	var list chat.ModelList
	if err := t.exchange(ctx, http.MethodGet, "/v1/models", nil, &list); err != nil {
		return nil, fmt.Errorf("list models: %w", err)
	}
	names := make([]ident.ModelName, 0, len(list.Data))
	for _, model := range list.Data {
		names = append(names, model.ID)
	}
	return names, nil
}

// order gives the engine an order. An older fence than the engine has seen
// yields an *orderRefusedError.
func (t *targetClient) order(ctx context.Context, order engine.Order) (engine.Deployment, error) {
	var answer engine.Deployment
	if err := t.exchange(ctx, http.MethodPost, "/orders", order, &answer); err != nil {
		return engine.Deployment{}, fmt.Errorf("order: %w", err)
	}
	return answer, nil
}

// events reads the engine's cache events above a number and passes on one by
// one, since an engine keeps very many.
func (t *targetClient) events(ctx context.Context, after uint64, take func(engine.Event)) error {
	path := fmt.Sprintf("/cache/events?after=%d", after)
	return t.ask(ctx, http.MethodGet, path, nil, func(decoder *json.Decoder) error {
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
			take(e)
		}
		return nil
	})
}

// exchange sends in as JSON, unless it is nil, and reads the answer into out.
func (t *targetClient) exchange(ctx context.Context, method, path string, in, out any) error {
	return t.ask(ctx, method, path, in, func(decoder *json.Decoder) error {
		if err := decoder.Decode(out); err != nil {
			return fmt.Errorf("decode answer of %s: %w", path, err)
		}
		return nil
	})
}

// ask sends in as JSON, unless it is nil, and has the answer read. The path
// may have a query.
func (t *targetClient) ask(ctx context.Context, method, path string, in any, read func(*json.Decoder) error) error {
	reference, err := url.Parse(path)
	if err != nil {
		return fmt.Errorf("parse path: %w", err)
	}
	address := t.base.JoinPath(reference.Path)
	address.RawQuery = reference.RawQuery
	var body io.Reader = http.NoBody
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("encode %s: %w", path, err)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, address.String(), body)
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	// The transport must not send an order a second time by itself.
	req.GetBody = nil
	resp, err := t.client.Do(req)
	if err != nil {
		return fmt.Errorf("ask engine: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	decoder := json.NewDecoder(io.LimitReader(resp.Body, engineAnswerBytes))
	if resp.StatusCode != http.StatusOK {
		return refusalOf(resp.StatusCode, decoder)
	}
	return read(decoder)
}

func refusalOf(status int, decoder *json.Decoder) error {
	var refusal engine.Error
	_ = decoder.Decode(&refusal)
	if status == http.StatusConflict {
		return &orderRefusedError{fence: refusal.Fence}
	}
	return fmt.Errorf("engine answered %d: %s", status, refusal.Message)
}
