package router

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"cactusline.dev/cactusline/internal/conn/httpd"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/record"
)

// serveModels lists the models that the customer has routes for.
func (r *Router) serveModels(w http.ResponseWriter, req *http.Request) {
	set := r.view.set()
	customer, failed := authenticate(set, req)
	if failed != nil {
		httpd.WriteError(w, req, *failed)
		return
	}
	writeModels(w, set, customer)
}

// serveService answers a call of a plain service.
func (r *Router) serveService(w http.ResponseWriter, req *http.Request) {
	c, failed := r.readService(w, req, httpd.RequestID(req.Context()))
	if failed != nil {
		writeEarly(w, req, failed)
		return
	}
	r.answer(w, req, c)
}

// readService checks a call of a plain service and finds its pool.
func (r *Router) readService(w http.ResponseWriter, req *http.Request, id ident.RequestID) (*call, *httpd.Error) {
	snap := r.view.current.Load()
	set := snap.set
	customer, failed := authenticate(set, req)
	if failed != nil {
		return nil, failed
	}
	name := ident.ServiceName(req.PathValue("service"))
	service, ok := set.Service(name)
	if !ok {
		return nil, refusal(http.StatusNotFound, codeNoService, "no service "+string(name))
	}
	route, ok := set.ServiceRoute(customer.Name, name)
	if !ok {
		return nil, refusal(http.StatusNotFound, codeNoService, "no route for service "+string(name))
	}
	path, failed := pathOf(req)
	if failed != nil {
		return nil, failed
	}
	body, failed := r.readBody(w, req, customer)
	if failed != nil {
		return nil, failed
	}
	c := r.newCall(id, customer, route, snap.routes[route.Name])
	c.revision = set.Revision()
	c.submit.Service = string(name)
	c.submit.Method = req.Method
	c.submit.Path = path.escaped
	c.submit.Query = req.URL.RawQuery
	c.submit.Headers = passedHeaders(req.Header)
	c.submit.Body = body
	c.submit.Fingerprint = fingerprint(c.submit)
	c.submit.Once = service.RunsAtMostOnce(req.Method, path.plain) || req.Header.Get(httpd.NotRepeatableHeader) == "true"
	c.submit.LedgerKey = req.Header.Get(httpd.IdempotencyKeyHeader)
	c.tries.Once = c.submit.GetOnce()
	c.tries.LedgerKey = c.submit.GetLedgerKey()
	return c, nil
}

// authenticate finds the customer that owns the request's bearer key.
func authenticate(set *record.Set, req *http.Request) (*record.Customer, *httpd.Error) {
	bearer, ok := strings.CutPrefix(req.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return nil, refusal(http.StatusUnauthorized, codeUnauthorized, "a bearer key is needed")
	}
	customer, ok := set.CustomerByKey(record.HashKey(bearer))
	if !ok {
		return nil, refusal(http.StatusUnauthorized, codeUnauthorized, "the bearer key is not known")
	}
	return customer, nil
}

// bodyTimeout bounds the reading of one body.
const bodyTimeout = time.Minute

// readBody reads the body within the bounds of the router and the customer.
func (r *Router) readBody(w http.ResponseWriter, req *http.Request, customer *record.Customer) ([]byte, *httpd.Error) {
	limit := r.cfg.BodyLimit
	if customer.Limits.Body > 0 {
		limit = min(limit, customer.Limits.Body)
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(r.cfg.Clock.Now().Add(bodyTimeout))
	defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, int64(limit)))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, refusal(http.StatusRequestEntityTooLarge, codeTooLarge, "the body is longer than allowed")
	}
	if err != nil {
		return nil, refusal(http.StatusBadRequest, codeInvalid, "the body ended early")
	}
	return body, nil
}

// ownHeaders are read by the router and not passed on.
var ownHeaders = [...]string{"Authorization", "Content-Length", "Traceparent", "Tracestate", httpd.NotRepeatableHeader}

// passedHeaders returns the header fields that go to the service.
func passedHeaders(header http.Header) []*wire.Header {
	header = header.Clone()
	for _, name := range hopHeaders {
		header.Del(name)
	}
	for _, name := range ownHeaders {
		header.Del(name)
	}
	var passed []*wire.Header
	for name, values := range header {
		for _, value := range values {
			passed = append(passed, &wire.Header{Name: name, Value: strings.ToValidUTF8(value, "?")})
		}
	}
	return passed
}

// fingerprint hashes what a service call asks for.
func fingerprint(submit *wire.Submit) uint64 {
	digest := xxhash.New()
	for _, part := range []string{submit.GetCustomer(), submit.GetService(), submit.GetMethod(), submit.GetPath(), submit.GetQuery()} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(submit.GetBody())
	return digest.Sum64()
}
