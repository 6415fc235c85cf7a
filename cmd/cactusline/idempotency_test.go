package main_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/plain"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/record"
)

// TestRequestWithLostAnswerIsNotResent has a service run a non-repeatable request
// and then break the connection. The sidecar keeps that connection open between
// requests, and its HTTP client library resends some requests by itself. The request
// must run only once, and its outcome must be reported as unknown.
func TestRequestWithLostAnswerIsNotResent(t *testing.T) {
	for _, body := range []string{"", "deposit"} {
		t.Run("body "+body, func(t *testing.T) {
			orders := plain.New(plain.Config{Kind: plain.Orders, Fault: func(r *http.Request) plain.Fault {
				if r.Method == http.MethodPost {
					return plain.FaultLostAnswer
				}
				return plain.FaultNone
			}})
			server := httptest.NewServer(orders)
			defer server.Close()
			f := startFleet(t, fleetConfig{controls: 1, routers: 1})
			f.addOrdersService(plain.Orders, server)
			c := newCaller(f.routerAddresses[0])
			path := "/services/orders/deposits"
			await(t, startTimeout, "the router reaches the service", func() bool {
				return c.callService(t, http.MethodGet, path+"/1", "", "").outcome == outcomeRan
			})
			r := c.callService(t, http.MethodPost, path, "key-1", body)
			assert.Check(t, r.outcome == outcomeUnknown, "%v", r)
			assert.Equal(t, orders.Runs("key-1"), 1)
			r = c.callService(t, http.MethodPost, path, "key-1", body)
			assert.Check(t, r.outcome == outcomeUnknown, "%v", r)
			assert.Equal(t, orders.Runs("key-1"), 1)
		})
	}
}

// TestEarlyRefusalDoesNotClaimNotRun runs a non-repeatable request and sends its key
// again for a service that does not exist and with a body that exceeds the default
// limit of 8 MiB. Neither reply may claim that the request was not run. A refused
// request without a key is reported as not run.
func TestEarlyRefusalDoesNotClaimNotRun(t *testing.T) {
	f := startFleet(t, fleetConfig{controls: 1, routers: 1})
	c := newCaller(f.routerAddresses[0])
	assert.Equal(t, c.register(t.Context(), "key-1", nil).outcome, outcomeRan)
	r := c.callService(t, http.MethodPost, "/services/retired/bibs", "key-1", "")
	assert.Check(t, r.status == http.StatusNotFound && r.outcome == outcomeUnknown, "%v", r)
	r = c.callService(t, http.MethodPost, "/services/registration/bibs", "key-1", strings.Repeat("x", 9<<20))
	assert.Check(t, r.status == http.StatusRequestEntityTooLarge && r.outcome == outcomeUnknown, "%v", r)
	r = c.callService(t, http.MethodPost, "/services/retired/bibs", "", "")
	assert.Check(t, r.status == http.StatusNotFound && r.outcome == outcomeNotRun, "%v", r)
}

// addOrdersService adds the orders service, which the given test server
// implements.
func (f *fleet) addOrdersService(name ident.ServiceName, server *httptest.Server) {
	f.t.Helper()
	f.startSidecar(record.Target{Name: "orders-1", Service: name}, strings.TrimPrefix(server.URL, "http://"))
	f.submit(
		&record.Service{Name: name, NotRepeatable: []string{"POST /deposits"}},
		&record.Route{Name: string(name), Service: name},
		&f.targets[len(f.targets)-1],
	)
}

// callService sends one request with any method, path and body to a service.
func (c *caller) callService(t *testing.T, method, path, key, body string) *reply {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+c.router+path, strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+callerKey)
	if key != "" {
		req.Header.Set(plain.IdempotencyKeyHeader, key)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return &reply{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return &reply{status: resp.StatusCode, outcome: resp.Header.Get(headerOutcome), text: string(text), err: err}
}
