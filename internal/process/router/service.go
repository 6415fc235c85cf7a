package router

import (
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"cactusline.dev/cactusline/internal/conn/guard"
	"cactusline.dev/cactusline/internal/conn/httpd"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/record"
)

// serveModels lists the models for which the customer has routes.
func (r *Router) serveModels(w http.ResponseWriter, req *http.Request) {
	set := r.view.set()
	customer, apiErr := r.authenticate(set, req)
	if apiErr != nil {
		httpd.WriteError(w, req, *apiErr)
		return
	}
	writeModels(w, set, customer)
}

// serveService handles a call to a plain HTTP service.
func (r *Router) serveService(w http.ResponseWriter, req *http.Request) {
	routed, apiErr := r.routeService(w, req, httpd.RequestID(req.Context()))
	if apiErr != nil {
		rejectBeforeClaim(w, req, apiErr)
		return
	}
	r.execute(w, req, routed)
}

// routeService validates a service call and finds its route and pool.
func (r *Router) routeService(w http.ResponseWriter, req *http.Request, id ident.RequestID) (*routedRequest, *httpd.Error) {
	snap := r.view.current.Load()
	set := snap.set
	customer, apiErr := r.authenticate(set, req)
	if apiErr != nil {
		return nil, apiErr
	}
	name := ident.ServiceName(req.PathValue("service"))
	service, ok := set.Service(name)
	if !ok {
		return nil, r.deny(http.StatusNotFound, codeUnknownService, "no service "+string(name))
	}
	route, ok := set.ServiceRoute(customer.Name, name)
	if !ok {
		return nil, r.deny(http.StatusNotFound, codeUnknownService, "no route for service "+string(name))
	}
	path, apiErr := parseServicePath(req)
	if apiErr != nil {
		return nil, apiErr
	}
	body, apiErr := r.readBody(w, req, customer)
	if apiErr != nil {
		return nil, apiErr
	}
	routed := r.newRoutedRequest(id, customer, route, snap.poolsByRoute[route.Name])
	routed.revision = set.Revision()
	routed.submit.Service = string(name)
	routed.submit.Method = req.Method
	routed.submit.Path = path.escaped
	routed.submit.Query = req.URL.RawQuery
	routed.submit.Headers = forwardedHeaders(req.Header)
	routed.submit.Body = body
	routed.submit.Fingerprint = fingerprint(routed.submit)
	routed.submit.Once = service.RunsAtMostOnce(req.Method, path.decoded) || req.Header.Get(httpd.NotRepeatableHeader) == "true"
	routed.submit.LedgerKey = req.Header.Get(httpd.IdempotencyKeyHeader)
	routed.tries.Once = routed.submit.GetOnce()
	routed.tries.LedgerKey = routed.submit.GetLedgerKey()
	return routed, nil
}

// authenticate returns the customer that owns the request's bearer key.
func (r *Router) authenticate(set *record.Set, req *http.Request) (*record.Customer, *httpd.Error) {
	bearer, ok := strings.CutPrefix(req.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return nil, notRunError(http.StatusUnauthorized, codeUnauthorized, "a bearer key is required")
	}
	customer, ok := set.CustomerByKey(record.HashKey(bearer))
	if !ok {
		return nil, r.deny(http.StatusUnauthorized, codeUnauthorized, "the bearer key is unknown")
	}
	return customer, nil
}

// bodyTimeout bounds the time to read a request body.
const bodyTimeout = time.Minute

// memoryRetryAfter is when a caller may retry a request that there was no memory for.
const memoryRetryAfter = time.Second

// readBody reads a request body, up to the smaller of the router's and the
// customer's size limits.
func (r *Router) readBody(w http.ResponseWriter, req *http.Request, customer *record.Customer) ([]byte, *httpd.Error) {
	limit := r.cfg.BodyLimit
	if customer.Limits.Body > 0 {
		limit = min(limit, customer.Limits.Body)
	}
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(r.cfg.Clock.Now().Add(bodyTimeout))
	defer func() { _ = controller.SetReadDeadline(time.Time{}) }()
	body, err := guard.FromContext(req.Context()).ReadAll(http.MaxBytesReader(w, req.Body, int64(limit)), req.ContentLength)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, notRunError(http.StatusRequestEntityTooLarge, codeBodyTooLarge, "the body exceeds the size limit")
	}
	if errors.Is(err, guard.ErrFull) {
		w.Header().Set("Connection", "close")
		apiErr := notRunError(http.StatusServiceUnavailable, codeOverloaded, "this router has no memory for the body")
		apiErr.RetryAfter = httpd.Delay(memoryRetryAfter)
		return nil, apiErr
	}
	if errors.Is(err, guard.ErrGaveWay) {
		w.Header().Set("Connection", "close")
		return nil, notRunError(http.StatusRequestTimeout, codeTimeout, "the body took too long")
	}
	if err != nil {
		return nil, notRunError(http.StatusBadRequest, codeInvalidRequest, "the body could not be read completely")
	}
	return body, nil
}

// consumedHeaders are handled by the router and not forwarded.
var consumedHeaders = [...]string{"Authorization", "Content-Length", "Traceparent", "Tracestate", httpd.NotRepeatableHeader}

// forwardedHeaders returns the header fields to forward to the service.
func forwardedHeaders(header http.Header) []*wire.Header {
	header = header.Clone()
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
	for _, name := range consumedHeaders {
		header.Del(name)
	}
	var forwarded []*wire.Header
	for name, values := range header {
		for _, value := range values {
			forwarded = append(forwarded, &wire.Header{Name: name, Value: strings.ToValidUTF8(value, "?")})
		}
	}
	return forwarded
}

// fingerprint hashes the content of a service call: the customer, the service, the
// method, the path, the query and the body.
func fingerprint(submit *wire.Submit) uint64 {
	digest := xxhash.New()
	for _, part := range []string{submit.GetCustomer(), submit.GetService(), submit.GetMethod(), submit.GetPath(), submit.GetQuery()} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(submit.GetBody())
	return digest.Sum64()
}
