// Package pool keeps HTTP/1.1 connections to targets and sends one request at a
// time on each. It reports exactly how far an exchange got, which decides
// whether the request may be retried.
package pool

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"cactusline.dev/cactusline/internal/conn/guard"
	"cactusline.dev/cactusline/internal/conn/http1"
	"cactusline.dev/cactusline/internal/version/ident"
)

const (
	// maxInlineBodyBytes is the longest body that is written before the
	// response is read. It fits the smallest send buffer, so that a target that
	// responds early and stops reading can't block the write.
	maxInlineBodyBytes = 8 << 10
	// maxInterimResponses limits the 1xx responses before the final one.
	maxInterimResponses = 8
	// maxUnmatchedResponses limits the responses to other requests that are
	// skipped.
	maxUnmatchedResponses = 3
	// maxUnmatchedBodyBytes limits the body of a skipped response.
	maxUnmatchedBodyBytes = 256 << 10
	// maxRequests bounds the IDs that a connection remembers. The attempts at one request
	// are made within its deadline, in which a connection carries fewer requests.
	maxRequests = 256
)

// Conn is a connection to a target. It carries one exchange at a time.
type Conn struct {
	net.Conn
	reader *http1.Reader
	pool   *Pool
	// Address is the address of the target.
	Address string
	// Reused is true if the connection has carried an exchange before.
	Reused bool
	// idleSince is when the connection became idle.
	idleSince time.Time
	// keepAliveTimeout is the timeout from the target's Keep-Alive header, 0 if
	// absent.
	keepAliveTimeout time.Duration
	// idleTime is how long the connection was idle before this exchange.
	idleTime time.Duration
	// requests are the hashed IDs of the last maxRequests requests, in a ring, and
	// requestCount is the number of all.
	requests     []uint64
	requestCount int
	// A connection is not reused if it is unusable or if a request is still
	// being sent on it.
	unusable atomic.Bool
	sending  atomic.Bool
}

// Request is a request to a target.
type Request struct {
	Method string
	// URI is the path and query as sent by the caller.
	URI    string
	Host   string
	Header http.Header
	Body   guard.Body
}

// UnmatchedResponseError reports that a connection returned only responses to
// other requests.
type UnmatchedResponseError struct {
	Address string
}

// Error implements the error interface.
func (e *UnmatchedResponseError) Error() string {
	return fmt.Sprintf("target %s returned only responses to other requests", e.Address)
}

// recordRequest remembers the ID of a request.
func (c *Conn) recordRequest(id ident.RequestID) {
	if id == "" {
		return
	}
	hash := xxhash.Sum64String(string(id))
	if len(c.requests) < maxRequests {
		c.requests = append(c.requests, hash)
	} else {
		c.requests[c.requestCount%maxRequests] = hash
	}
	c.requestCount++
}

// hasCarried reports whether the connection remembers the ID of a request.
func (c *Conn) hasCarried(id ident.RequestID) bool {
	return id != "" && slices.Contains(c.requests, xxhash.Sum64String(string(id)))
}

// Send writes a request. It reports whether any byte may have reached the
// target.
func (c *Conn) Send(r *Request) (sent bool, err error) {
	head := appendRequestHead(make([]byte, 0, 1<<10), r)
	if r.Body.Len() <= maxInlineBodyBytes {
		n, err := c.Write(append(head, slices.Concat(r.Body...)...))
		if err != nil {
			return n > 0, fmt.Errorf("send request: %w", err)
		}
		return true, nil
	}
	if n, err := c.Write(head); err != nil {
		return n > 0, fmt.Errorf("send request: %w", err)
	}
	// A target may respond before it has read the body, so the response is read
	// while the body is being sent. The connection is not reused until the
	// whole body has been sent. If the write fails, sending stays true and the
	// connection is never reused.
	c.sending.Store(true)
	go func() {
		for _, piece := range r.Body {
			if _, err := c.Write(piece); err != nil {
				return
			}
		}
		c.sending.Store(false)
	}()
	return true, nil
}

func appendRequestHead(dst []byte, r *Request) []byte {
	dst = append(dst, r.Method...)
	dst = append(dst, ' ')
	dst = append(dst, r.URI...)
	dst = append(dst, " HTTP/1.1\r\nHost: "...)
	dst = append(dst, r.Host...)
	dst = append(dst, "\r\n"...)
	for name, values := range r.Header {
		for _, value := range values {
			dst = append(dst, name...)
			dst = append(dst, ": "...)
			dst = append(dst, value...)
			dst = append(dst, "\r\n"...)
		}
	}
	if length := r.Body.Len(); length > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		dst = append(dst, "Content-Length: "...)
		dst = strconv.AppendInt(dst, int64(length), 10)
		dst = append(dst, "\r\n"...)
	}
	return append(dst, "\r\n"...)
}

// Receive reads the final response to the request. It skips responses whose
// headers matches rejects, since they belong to other requests.
func (c *Conn) Receive(method string, matches func(http.Header) bool) (*http.Response, error) {
	response, err := c.receive(method, matches)
	if c.Reused && err == nil {
		c.pool.recordReuseSuccess(c.idleTime)
	}
	if c.Reused && (errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)) {
		c.pool.recordReuseFailure(c.idleTime)
	}
	return response, err
}

func (c *Conn) receive(method string, matches func(http.Header) bool) (*http.Response, error) {
	request := &http.Request{Method: method}
	for range maxUnmatchedResponses + 1 {
		response, err := c.readFinalResponse(request)
		if err != nil {
			return nil, err
		}
		if matches(response.Header) {
			return response, nil
		}
		c.unusable.Store(true)
		if response.Close || EndsWithConnection(response) {
			break
		}
		if _, err := io.CopyN(io.Discard, response.Body, maxUnmatchedBodyBytes); !errors.Is(err, io.EOF) {
			break
		}
	}
	return nil, &UnmatchedResponseError{Address: c.Address}
}

// EndsWithConnection reports whether a response has neither a length nor chunks, so that
// its end is that of the connection.
func EndsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody
}

// readFinalResponse skips interim responses and returns the final one.
func (c *Conn) readFinalResponse(request *http.Request) (*http.Response, error) {
	for range maxInterimResponses {
		response, err := c.reader.ReadResponse(request)
		if err != nil {
			return nil, fmt.Errorf("read response: %w", err)
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
	return nil, errors.New("read response: too many interim responses")
}

// Release returns the connection to the pool once the body of the response has
// been read completely. It closes the connection if it can't be reused.
func (c *Conn) Release(response *http.Response) {
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	if response.Close || !framed || c.unusable.Load() || c.sending.Load() || c.reader.Buffered() > 0 {
		c.Discard()
		return
	}
	c.keepAliveTimeout = parseKeepAliveTimeout(response.Header)
	c.pool.putIdle(c)
}

// Discard closes the connection and removes it from the pool.
func (c *Conn) Discard() {
	c.unusable.Store(true)
	_ = c.Close() // the connection is discarded, so a close error does not matter
	c.pool.removeConn(c)
}

// CloseOnCancel closes the connection when ctx ends, which fails pending reads
// and writes. The caller must call stop before it releases the connection; stop
// returns false if ctx ended first.
func (c *Conn) CloseOnCancel(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, func() {
		c.unusable.Store(true)
		_ = c.Close()
	})
}

// parseKeepAliveTimeout returns how long the target keeps an idle connection
// according to the Keep-Alive header, 0 if it does not say.
func parseKeepAliveTimeout(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, found := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); found && err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}
