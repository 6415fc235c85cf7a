// Package pool keeps HTTP/1.1 connections to targets and exchanges one request
// after the other on each. It tells exactly how far an exchange came, which
// decides whether a request may be sent again.
package pool

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	readBufferBytes = 4 << 10
	// inlineBodyBytes is the longest body that is written before the answer is
	// read. It fits the smallest send buffer, so that a target which answers
	// early and stops reading can't block the write.
	inlineBodyBytes = 8 << 10
	// maxInterim bounds the 1xx answers before the final one.
	maxInterim = 8
	// maxForeign bounds the answers to other requests that are skipped.
	maxForeign = 3
	// maxForeignBytes bounds the body of an answer that is skipped.
	maxForeignBytes = 256 << 10
)

// Conn is one connection to a target. One exchange at a time may use it.
type Conn struct {
	net.Conn
	reader *bufio.Reader
	pool   *Pool
	// Address is the target's.
	Address string
	// Reused says that the connection has carried an exchange before.
	Reused bool
	// idleSince and keep say until when the target keeps the connection.
	idleSince time.Time
	keep      time.Duration
	// idled is how long the connection was idle before this exchange.
	idled time.Duration
	// spoiled connections are not used again, nor those on which a request is
	// still being sent.
	spoiled atomic.Bool
	sending atomic.Bool
}

// Request is what is sent to a target.
type Request struct {
	Method string
	// URI is the path and query as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
}

// ForeignError says that a connection brought answers to other requests only.
type ForeignError struct {
	Address string
}

// Error names the target.
func (e *ForeignError) Error() string {
	return fmt.Sprintf("target %s answers other requests than the one sent", e.Address)
}

// Send writes a request. It reports whether any byte may have reached the
// target.
func (c *Conn) Send(r *Request) (sent bool, err error) {
	head := appendHead(make([]byte, 0, 1<<10), r)
	if len(r.Body) <= inlineBodyBytes {
		n, err := c.Write(append(head, r.Body...))
		if err != nil {
			return n > 0, fmt.Errorf("send request: %w", err)
		}
		return true, nil
	}
	if n, err := c.Write(head); err != nil {
		return n > 0, fmt.Errorf("send request: %w", err)
	}
	// A target may answer before it has read the body, so that the answer is
	// read meanwhile. The connection is not used again until the body is out.
	c.sending.Store(true)
	go func() {
		if _, err := c.Write(r.Body); err == nil {
			c.sending.Store(false)
		}
	}()
	return true, nil
}

func appendHead(to []byte, r *Request) []byte {
	to = append(to, r.Method...)
	to = append(to, ' ')
	to = append(to, r.URI...)
	to = append(to, " HTTP/1.1\r\nHost: "...)
	to = append(to, r.Host...)
	to = append(to, "\r\n"...)
	for name, values := range r.Header {
		for _, value := range values {
			to = append(to, name...)
			to = append(to, ": "...)
			to = append(to, value...)
			to = append(to, "\r\n"...)
		}
	}
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		to = append(to, "Content-Length: "...)
		to = strconv.AppendInt(to, int64(len(r.Body)), 10)
		to = append(to, "\r\n"...)
	}
	return append(to, "\r\n"...)
}

// Receive reads the final answer to the request. Answers for which own returns
// false belong to other requests and are skipped.
func (c *Conn) Receive(method string, own func(http.Header) bool) (*http.Response, error) {
	answer, err := c.receive(method, own)
	if c.Reused && err == nil {
		c.pool.kept(c.idled)
	}
	if c.Reused && (errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)) {
		c.pool.lost(c.idled)
	}
	return answer, err
}

func (c *Conn) receive(method string, own func(http.Header) bool) (*http.Response, error) {
	request := &http.Request{Method: method}
	for range maxForeign + 1 {
		answer, err := c.final(request)
		if err != nil {
			return nil, err
		}
		if own(answer.Header) {
			return answer, nil
		}
		c.spoiled.Store(true)
		if answer.Close || answer.ContentLength < 0 && len(answer.TransferEncoding) == 0 {
			break
		}
		if _, err := io.CopyN(io.Discard, answer.Body, maxForeignBytes); !errors.Is(err, io.EOF) {
			break
		}
	}
	return nil, &ForeignError{Address: c.Address}
}

// final reads answers up to one that is not interim.
func (c *Conn) final(request *http.Request) (*http.Response, error) {
	for range maxInterim {
		answer, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, fmt.Errorf("read answer: %w", err)
		}
		if answer.StatusCode >= http.StatusOK {
			return answer, nil
		}
	}
	return nil, errors.New("read answer: too many interim answers")
}

// Release gives the connection back after an answer whose body was read whole, or
// closes it where it can't be used again.
func (c *Conn) Release(answer *http.Response) {
	framed := answer.ContentLength >= 0 || len(answer.TransferEncoding) > 0
	if answer.Close || !framed || c.spoiled.Load() || c.sending.Load() || c.reader.Buffered() > 0 {
		c.Discard()
		return
	}
	c.keep = keepOf(answer.Header)
	c.pool.put(c)
}

// Discard closes the connection.
func (c *Conn) Discard() {
	c.spoiled.Store(true)
	_ = c.Close() // nothing is left to be sent
	c.pool.forget(c)
}

// CloseOnCancel ends the reads and writes of the connection when ctx ends. The caller
// calls stop before it gives the connection back; false means that ctx ended
// first.
func (c *Conn) CloseOnCancel(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, func() {
		c.spoiled.Store(true)
		_ = c.Close()
	})
}

// keepOf returns how long the target says that it keeps an idle connection, 0
// where it does not.
func keepOf(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, found := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); found && err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}
